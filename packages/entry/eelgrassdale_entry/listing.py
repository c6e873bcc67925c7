"""The list of entry nodes and the keys issued with it."""

import secrets
from collections.abc import Callable

from expression import Error, Ok, Result

from eelgrassdale.catalog import Configuration
from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.membership.members import Member, MembersView
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.choice import Place
from eelgrassdale.routing.entries import IssuedKey, format_key
from eelgrassdale.spread.replica import Replica

NONCE_BYTES = 12
MAX_ENTRIES = 16


def preferred_entries(
    *, cfg: Configuration, entries: tuple[Member, ...], place: Place, topic: str
) -> list[Member]:
    """Return the entry nodes that callers should use, best first.

    Nodes in a data centre that is out are left out. The own data centre comes
    first, then the region, then the others; the order within each follows
    `topic`, so that callers of different nodes fail over to different ones.
    """
    usable = {m.name: m for m in entries if cfg.is_in_service(m.data_centre)}
    order = [usable[name] for name in rendezvous_order(topic=topic, members=usable)]
    return sorted(order, key=lambda member: _distance(member, place))


class Listing:
    """Answers of `/v1/entries`; safe to use from every thread."""

    def __init__(
        self,
        *,
        name: str,
        place: Place,
        clock: Clock,
        replica: Replica,
        members: MembersView,
        offers: Callable[[str], list[tuple[str, int]]],
        is_leaving: Callable[[], bool],
        keep_seconds: int,
        key_seconds: int,
    ) -> None:
        self._name = name
        self._place = place
        self._clock = clock
        self._replica = replica
        self._members = members
        self._offers = offers
        self._is_leaving = is_leaving
        self._keep_seconds = keep_seconds
        self._key_seconds = key_seconds

    def entries(self, *, service: str, keys: int) -> Result[dict, ResultError]:
        """Return the body of the answer, or why no keys can be issued."""
        cfg = self._replica.current()
        if cfg.generation == 0:
            return Error(ResultError(code=ResultCode.NOT_READY))
        if (keys or service) and service not in cfg.services:
            return Error(ResultError(code=ResultCode.UNKNOWN_SERVICE))
        issued = self._issue(service, keys) if keys else []
        if keys and not issued:
            return Error(ResultError(code=ResultCode.NO_BACKEND_SERVER))
        found = preferred_entries(
            cfg=cfg,
            entries=self._live_entry_nodes(),
            place=self._place,
            topic=self._name,
        )
        return Ok(
            {
                "entries": [
                    {"address": m.caller_address, "data_centre": m.data_centre}
                    for m in found[:MAX_ENTRIES]
                ],
                "keep_seconds": self._keep_seconds,
                "keys": issued,
            }
        )

    def _live_entry_nodes(self) -> tuple[Member, ...]:
        live = self._members.current().live_entry_nodes()
        if not self._is_leaving():
            return live
        return tuple(member for member in live if member.name != self._name)

    def _issue(self, service: str, count: int) -> list[str]:
        offers = self._offers(service)
        if not offers:
            return []
        now_ms = int(self._clock.now().timestamp() * 1000)
        start = secrets.randbelow(len(offers))
        return [
            format_key(
                IssuedKey(
                    service=service,
                    agent=offers[(start + index) % len(offers)][0],
                    incarnation=offers[(start + index) % len(offers)][1],
                    expires_at_ms=now_ms + self._key_seconds * 1000,
                    nonce=secrets.token_hex(NONCE_BYTES),
                )
            )
            for index in range(count)
        ]


def _distance(member: Member, place: Place) -> int:
    if member.data_centre == place.data_centre:
        return 0
    return 1 if member.region == place.region else 2
