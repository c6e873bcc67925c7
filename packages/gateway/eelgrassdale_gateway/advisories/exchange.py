"""Tells other gateways what backend servers say of themselves.

What is new goes to all peers. Gateways that were away learn of it when a peer first
hears from them, and from the samples that each gateway sends to a random peer. A sample
has a bounded size, so the traffic does not grow with the number of servers.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from random import Random

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.advisories.state import AdvisoryRegistry
from eelgrassdale_gateway.advisories.statements import Leaving, RateLimit, Statement
from eelgrassdale_gateway.broadcasting import Broadcaster
from eelgrassdale_gateway.messages import AdvisoryNotice, ServerAdvisory, encode
from eelgrassdale_gateway.model import Incarnation

# The first sending waits for the next interval, so that the platform's list of servers
# may make it needless.
INTERVAL_SECONDS = 0.25
SAMPLE_INTERVAL_SECONDS = 1.0
# Keeps a datagram within the size that networks carry in a few packets.
MAX_ADVISORIES_PER_DATAGRAM = 32
# Largest age that fits into a message.
MAX_AGE_MS = 2**31 - 1

Address = tuple[str, int]


class AdvisoryExchange:
    """Sends the advisories that one gateway heard, and applies those of others.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    registry : AdvisoryRegistry
        What this gateway knows.
    peers : callable
        Returns the addresses of the other gateways.
    send : callable
        Sends a datagram to an address.
    is_listed_as_leaving : callable
        Returns whether the platform's list shows that a backend server leaves; other
        gateways then need not be told.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: AdvisoryRegistry,
        peers: Callable[[], Collection[Address]],
        send: Callable[[bytes, Address], None],
        is_listed_as_leaving: Callable[[Incarnation], bool] = lambda _server: False,
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._peers = peers
        self._send = send
        self._is_listed_as_leaving = is_listed_as_leaving
        self._rng = Random(seed)
        self._broadcaster: Broadcaster[Statement] = Broadcaster(
            peers=peers, send=send, encode=self._encode
        )
        registry.subscribe(self._broadcaster.add)

    async def run(self) -> None:
        """Send news and samples until cancelled."""
        sample_at = self._clock.monotonic()
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.send_news()
            if self._clock.monotonic() >= sample_at:
                sample_at = self._clock.monotonic() + SAMPLE_INTERVAL_SECONDS
                self.send_sample()

    def send_news(self) -> None:
        """Send what was not sent often enough yet to all peers."""
        self._broadcaster.discard(self._is_known_by_list)
        self._broadcaster.send_pending()

    def send_sample(self) -> None:
        """Send one datagram of what is in force to a random peer."""
        peers = list(self._peers())
        known = self._untold_by_list()
        if peers and known:
            size = min(len(known), MAX_ADVISORIES_PER_DATAGRAM)
            for data in self._encode(self._rng.sample(known, size)):
                self._send(data, self._rng.choice(peers))

    def send_all(self, address: Address) -> None:
        """Send all that is in force to a peer that may not know it."""
        for data in self._encode(self._untold_by_list()):
            self._send(data, address)

    def handle(self, message: AdvisoryNotice) -> None:
        """Apply what a peer heard."""
        now = self._clock.monotonic()
        for statement in _decode(message, now):
            self._registry.merge(statement, now=now)

    def _untold_by_list(self) -> list[Statement]:
        known = self._registry.all(now=self._clock.monotonic())
        return [x for x in known if not self._is_known_by_list(x)]

    def _is_known_by_list(self, statement: Statement) -> bool:
        return self._is_listed_as_leaving(statement.incarnation)

    def _encode(self, statements: Iterable[Statement]) -> Iterator[bytes]:
        now = self._clock.monotonic()
        entries = [_encode_statement(statement, now) for statement in statements]
        for start in range(0, len(entries), MAX_ADVISORIES_PER_DATAGRAM):
            batch = entries[start : start + MAX_ADVISORIES_PER_DATAGRAM]
            yield encode(AdvisoryNotice(advisories=batch))


def _encode_statement(statement: Statement, now: float) -> ServerAdvisory:
    server, started_at_ms = statement.incarnation
    entry = ServerAdvisory(
        server=server,
        started_at_ms=started_at_ms,
        age_ms=min(MAX_AGE_MS, max(0, round((now - statement.heard_at) * 1000))),
    )
    match statement:
        case Leaving():
            entry.is_leaving = True
        case RateLimit(per_second=per_second):
            entry.is_limited = per_second is not None
            entry.rate_limit = per_second or 0.0
    return entry


def _decode(message: AdvisoryNotice, now: float) -> Iterator[Statement]:
    """Yield the valid statements of a message."""
    for entry in (message.advisories or ())[:MAX_ADVISORIES_PER_DATAGRAM]:
        if not entry.server:
            continue
        incarnation = (entry.server, entry.started_at_ms or 0)
        heard_at = now - max(0, entry.age_ms or 0) / 1000
        if entry.is_leaving:
            yield Leaving(incarnation=incarnation, heard_at=heard_at)
        elif entry.is_limited is not None and _is_valid_rate(entry.rate_limit):
            yield RateLimit(
                incarnation=incarnation,
                per_second=entry.rate_limit if entry.is_limited else None,
                heard_at=heard_at,
            )


def _is_valid_rate(rate: float | None) -> bool:
    return rate is not None and math.isfinite(rate) and rate >= 0
