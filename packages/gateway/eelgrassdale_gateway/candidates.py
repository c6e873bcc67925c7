"""Backend servers that may take requests of one service, during one pass.

A pass over the queue of a service places several requests. The servers that may run
them, and their loads, are looked up once for each model and set of regions, not once
for each request, so that the cost of a pass grows with the requests that are placed,
and not with the product of waiting requests and servers.
"""

import math
from collections.abc import Callable, Hashable, Iterable

from attrs import define, field, frozen

from eelgrassdale_gateway.advisories import StartForecast
from eelgrassdale_gateway.model import BackendServer, Service
from eelgrassdale_gateway.placement import (
    Candidate,
    preferred_candidates,
    request_limit,
)


@frozen(kw_only=True)
class FreeSlots:
    """Candidates with free slots for requests of one kind, and the slots' number."""

    candidates: list[Candidate]
    count: int


@define(kw_only=True)
class CandidateGroup:
    """The servers for the requests of one model that allow the same regions.

    `has_servers` is true if any server may run the requests, now or soon. `usable`
    are the ids of the servers that accept requests and hold a version that may
    serve, `candidates` those of them that may get one more request now, by id.
    `forecast` says when requests that wait can start, if all of them take none now.
    """

    service: Service
    has_servers: bool
    usable: frozenset[str]
    forecast: StartForecast | None = None
    candidates: dict[str, Candidate]
    _open: list[Candidate] | None = field(default=None, init=False)
    _free: dict[Hashable, FreeSlots] = field(factory=dict, init=False)

    @property
    def slots(self) -> int:
        """Number of slots of the candidates."""
        return sum(max(c.server.slots, 1) for c in self.candidates.values())

    @property
    def taken_share(self) -> float:
        """Share of the candidates' slots that are known to be taken."""
        taken = sum(
            min(c.load.requests - c.unseen_requests, max(c.server.slots, 1))
            for c in self.candidates.values()
        )
        return taken / max(1, self.slots)

    def free_slots(
        self, limit: Callable[[BackendServer], float], *, key: Hashable
    ) -> FreeSlots:
        """Return the open candidates with fewer requests than a limit.

        They are kept until a load changes, under a `key` that stands for the limit.
        """
        free = self._free.get(key)
        if free is None:
            count = 0
            candidates = []
            for candidate in self.open_candidates(frozenset()):
                free_count = limit(candidate.server) - candidate.load.requests
                if free_count > 0:
                    candidates.append(candidate)
                    count += math.ceil(free_count)
            free = self._free[key] = FreeSlots(candidates=candidates, count=count)
        return free

    def earliest_start(self) -> float:
        """Return when the next waiting request can start, on the monotonic clock.

        It is minus infinity if that is not known.
        """
        return self.forecast.next_at if self.forecast else float("-inf")

    def take_start(self) -> None:
        """Count the earliest start as taken by a request that goes on waiting."""
        if self.forecast:
            self.forecast.take()

    def open_candidates(
        self, excluded: frozenset[str], *, is_strict: bool = False
    ) -> list[Candidate]:
        """Return the candidates among which one request is placed.

        Those without capacity for any request are left out, and so are avoided ones
        unless all are avoided. Servers in `excluded` are returned only if no other is
        usable, and never if `is_strict`.
        """
        if excluded and (is_strict or not self.usable <= excluded):
            return self._select_open(
                c for c in self.candidates.values() if c.server.id not in excluded
            )
        if self._open is None:
            self._open = self._select_open(self.candidates.values())
        return self._open

    def replace(self, server_id: str, candidate: Candidate | None) -> None:
        """Replace a candidate whose load changed; None removes it."""
        if server_id not in self.candidates:
            return
        if candidate is None:
            del self.candidates[server_id]
        else:
            self.candidates[server_id] = candidate
        self._open = None
        self._free.clear()

    def _select_open(self, candidates: Iterable[Candidate]) -> list[Candidate]:
        return [
            c
            for c in preferred_candidates(candidates)
            if c.load.requests < request_limit(self.service, c.server)
        ]
