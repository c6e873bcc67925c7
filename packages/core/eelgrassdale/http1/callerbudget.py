"""Bounds what the callers of all servers of a process take of it together.

A process has one `CallerBudget`. Each of its servers has a share: a part that no other
server can take, and what the others leave of the rest. When bytes or connections run
out, those callers are closed first that hold most for longest. A connection whose
request was handed to a handler is never closed for it.
"""

import asyncio
import heapq
from collections.abc import Callable, Iterator
from typing import Protocol

import structlog
from attrs import define, field

from eelgrassdale.http1.inputturns import InputTurns

DEFAULT_BYTE_LIMIT = 67_108_864
DEFAULT_CONNECTION_LIMIT = 16_384
# Part of a limit that is freed at a time, since the search looks at all connections.
FREED_FRACTION = 1 / 32
LOG_INTERVAL_SECONDS = 1.0

log = structlog.get_logger(__name__)


@define(kw_only=True, eq=False)
class SharedLimit:
    """A number of units, parts of which are reserved for shares.

    `outside` returns the units that are used beside the shares.

    Examples
    --------
    >>> limit = SharedLimit(limit=10)
    >>> first, second = limit.share(reserved=2), limit.share(reserved=2)
    >>> first.try_add(9), first.try_add(8), second.try_add(3), second.try_add(2)
    (False, True, False, True)

    """

    limit: int
    outside: Callable[[], int] = field(default=lambda: 0)
    # Units used or reserved by all shares.
    committed: int = field(default=0, init=False)

    def share(self, *, reserved: int) -> "LimitShare":
        """Return a share that has `reserved` units for itself."""
        self.committed += reserved
        return LimitShare(total=self, reserved=reserved)

    def has_room(self, units: int = 0) -> bool:
        """Return whether so many more units fit beside what is used and reserved."""
        return self.committed + units + self.outside() <= self.limit


@define(kw_only=True, eq=False)
class LimitShare:
    """The units that one server uses of a limit."""

    total: SharedLimit
    reserved: int
    used: int = field(default=0, init=False)

    @property
    def is_above_reserved(self) -> bool:
        """Whether units are used that other shares could have."""
        return self.used > self.reserved

    def try_add(self, units: int) -> bool:
        """Use so many more units if they fit; fewer always do."""
        growth = self._growth(units)
        if growth > 0 and not self.total.has_room(growth):
            return False
        self.add(units)
        return True

    def add(self, units: int) -> None:
        """Use so many more units, or fewer, whether they fit or not."""
        self.total.committed += self._growth(units)
        self.used += units

    def _growth(self, units: int) -> int:
        after = max(self.used + units, self.reserved)
        return after - max(self.used, self.reserved)


class Member(Protocol):
    """A connection, as a share sees it."""

    charged_bytes: int
    since: float
    has_been_answered: bool

    @property
    def can_be_closed(self) -> bool:
        """Whether no handler has a request of it, or only its response is unread."""
        ...

    def refuse(self) -> None:
        """Drop what was received, and refuse the request that is being read."""
        ...

    def close_for_room(self) -> bool:
        """Close the connection at once; False if that would cut off a request."""
        ...

    def hold_back(self) -> None:
        """Receive nothing more until the request that is handled has ended."""
        ...


class CallerBudget:
    """Bytes and connections of all callers of a process.

    Parameters
    ----------
    byte_limit : int
        Bytes received and not yet released, and bytes of responses not yet sent.
    connection_limit : int
        Connections of callers, requests that are being forwarded, each of which takes
        a connection to a backend server, and idle connections to these.
    idle_backend_connections : callable
        Returns the number of idle connections to backend servers.
    close_idle_backend_connections : callable
        Closes at most so many of them, and returns how many.
    """

    def __init__(
        self,
        *,
        byte_limit: int = DEFAULT_BYTE_LIMIT,
        connection_limit: int = DEFAULT_CONNECTION_LIMIT,
        idle_backend_connections: Callable[[], int] = lambda: 0,
        close_idle_backend_connections: Callable[[int], int] = lambda _: 0,
    ) -> None:
        self.close_idle_backend_connections = close_idle_backend_connections
        self._idle_backend_connections = idle_backend_connections
        self.bytes = SharedLimit(limit=byte_limit)
        self.connections = SharedLimit(
            limit=connection_limit, outside=self._backend_connections
        )
        self.input_turns = InputTurns()
        self.shares: list[ServerShare] = []
        self.forwarded_requests = 0
        # Numbers since the start of the process.
        self.refused_requests = 0
        self.closed_connections = 0
        self.accept_errors = 0
        self._logged_at: dict[str, float] = {}

    def share(self, *, reserved: float, forwards: bool = False) -> "ServerShare":
        """Return the share of a server, with a fraction of the limits for itself.

        `forwards` says that its requests take connections to backend servers.
        """
        share = ServerShare(
            budget=self,
            bytes=self.bytes.share(reserved=int(reserved * self.bytes.limit)),
            connections=self.connections.share(
                reserved=int(reserved * self.connections.limit)
            ),
            forwards=forwards,
        )
        self.shares.append(share)
        return share

    def used_bytes(self) -> int:
        """Return the bytes that all callers hold."""
        return sum(share.bytes.used for share in self.shares)

    def used_connections(self) -> int:
        """Return the connections of all callers."""
        return sum(share.connections.used for share in self.shares)

    def log_exhausted(self, limit: str, **fields: object) -> None:
        """Log that a limit was reached, once a second at most for each limit."""
        now = asyncio.get_running_loop().time()
        if now - self._logged_at.get(limit, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[limit] = now
        log.warning(
            "callers closed or refused",
            limit=limit,
            refused_requests=self.refused_requests,
            closed_connections=self.closed_connections,
            accept_errors=self.accept_errors,
            bytes=self.used_bytes(),
            connections=self.used_connections(),
            **fields,
        )

    def _backend_connections(self) -> int:
        return self.forwarded_requests + self._idle_backend_connections()


@define(kw_only=True, eq=False)
class ServerShare:
    """What the callers of one server hold."""

    budget: CallerBudget
    bytes: LimitShare
    connections: LimitShare
    forwards: bool = False
    members: set[Member] = field(factory=set)

    def charge(self, member: Member, held: int) -> None:
        """Charge a connection with the bytes that it holds in place of the last ones.

        If they do not fit, others are refused, or else the connection itself. If it
        can't be, since its request is handled, it is charged and held back.
        """
        delta = held - member.charged_bytes
        if self.bytes.try_add(delta):
            member.charged_bytes = held
            return
        self._free_bytes(delta)
        if not member.can_be_closed:
            self.recharge(member, held)
            member.hold_back()
        elif member.charged_bytes and self.bytes.try_add(held - member.charged_bytes):
            member.charged_bytes = held
        elif member.charged_bytes or not self.bytes.try_add(held):
            self._refuse(member)
        else:
            member.charged_bytes = held

    def recharge(self, member: Member, held: int) -> None:
        """Charge a connection with what it holds, whether it fits or not."""
        self.bytes.add(held - member.charged_bytes)
        member.charged_bytes = held

    def release_bytes(self, member: Member) -> None:
        """Release all bytes of a connection."""
        self.recharge(member, 0)

    def admit_connection(self) -> bool:
        """Count a new connection, if need be in place of an idle or slow one."""
        if self.connections.try_add(1):
            return True
        self._free_connections()
        return self.connections.try_add(1)

    def release_connection(self) -> None:
        """Count a connection no more."""
        self.connections.add(-1)

    def begin_request(self) -> bool:
        """Count a request that is handed to a handler, if a backend connection fits."""
        if not self.forwards:
            return True
        if not self.budget.connections.has_room(1):
            self._free_connections()
            if not self.budget.connections.has_room(1):
                return False
        self.budget.forwarded_requests += 1
        return True

    def end_request(self) -> None:
        """Count a request no more."""
        self.budget.forwarded_requests -= self.forwards

    def _free_bytes(self, needed: int) -> None:
        now = asyncio.get_running_loop().time()
        to_free = needed + int(FREED_FRACTION * self.budget.bytes.limit)
        candidates = [
            member
            for share in self._sharers("bytes")
            for member in share.members
            if member.charged_bytes and member.can_be_closed
        ]
        candidates.sort(key=lambda m: m.charged_bytes * (now - m.since), reverse=True)
        for member in candidates:
            if to_free <= 0:
                break
            to_free -= member.charged_bytes
            self._refuse(member)

    def _refuse(self, member: Member) -> None:
        self.budget.refused_requests += 1
        member.refuse()
        self.budget.log_exhausted("bytes")

    def _free_connections(self) -> None:
        count = 1 + int(FREED_FRACTION * self.budget.connections.limit)
        if self.budget.close_idle_backend_connections(count):
            return
        candidates = (
            member
            for share in self._sharers("connections")
            for member in share.members
            if member.can_be_closed
        )
        for member in heapq.nsmallest(
            count, candidates, key=lambda m: (m.has_been_answered, m.since)
        ):
            self.budget.closed_connections += member.close_for_room()
        self.budget.log_exhausted("connections")

    def _sharers(self, name: str) -> Iterator["ServerShare"]:
        """Return this share, and those that use more than is reserved for them."""
        for share in self.budget.shares:
            if share is self or getattr(share, name).is_above_reserved:
                yield share
