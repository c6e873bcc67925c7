"""Finds out whether a backend server has ended or only closed a connection.

A connection also ends where a sound server resets it, has too many, or loses one
answer. A process that has ended refuses connections.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import structlog
from attrs import frozen

from eelgrassdale.http1 import ClientConnection, ConnectFailed, connect
from eelgrassdale_gateway.model import BackendServer, Incarnation

# A host that runs refuses or accepts within the round trip of the slowest links.
CONNECT_SECONDS = 0.25
MAX_REMEMBERED_ENDS = 256

Address = tuple[str, int]

log = structlog.get_logger(__name__)


async def open_connection(address: Address) -> ClientConnection:
    """Open a connection; raises `ConnectFailed`."""
    return await connect(address, timeout=CONNECT_SECONDS)


@frozen(kw_only=True)
class _Check:
    """A connection that is being opened; `begun_at` is in the event loop's time."""

    begun_at: float
    task: "asyncio.Task[bool]"


class ServerEndDetector:
    """Tells which incarnations of backend servers have ended.

    Requests that lose their connections at the same time share one check.

    Parameters
    ----------
    open_connection : callable
        Opens a connection to an address; raises `ConnectFailed`.
    """

    def __init__(
        self,
        *,
        open_connection: Callable[
            [Address], Awaitable[ClientConnection]
        ] = open_connection,
    ) -> None:
        self._open_connection = open_connection
        self._checks: dict[Incarnation, _Check] = {}
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()

    async def has_ended(self, server: BackendServer) -> bool:
        """Return whether a server that closed a connection just now has ended."""
        asked_at = asyncio.get_running_loop().time()
        while server.incarnation not in self._ended:
            check = self._checks.get(server.incarnation)
            if check is None or check.task.done():
                check = self._start_check(server)
            has_ended = await asyncio.shield(check.task)
            # A server that was found running before may have ended since.
            if check.begun_at >= asked_at:
                return has_ended
        return True

    def _start_check(self, server: BackendServer) -> "_Check":
        incarnation = server.incarnation
        check = _Check(
            begun_at=asyncio.get_running_loop().time(),
            task=asyncio.ensure_future(self._check(server)),
        )
        self._checks[incarnation] = check
        check.task.add_done_callback(lambda _: self._forget(incarnation, check))
        return check

    def _forget(self, incarnation: Incarnation, check: "_Check") -> None:
        if self._checks.get(incarnation) is check:
            del self._checks[incarnation]

    async def _check(self, server: BackendServer) -> bool:
        try:
            conn = await self._open_connection(server.address)
        except ConnectFailed as exc:
            if not isinstance(exc.__cause__, ConnectionRefusedError):
                return False
            self._remember(server.incarnation)
            log.info(
                "backend server ended", server=server.id, born=server.started_at_ms
            )
            return True
        conn.close()
        return False

    def _remember(self, incarnation: Incarnation) -> None:
        self._ended[incarnation] = None
        while len(self._ended) > MAX_REMEMBERED_ENDS:
            self._ended.popitem(last=False)
