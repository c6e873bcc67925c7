"""The list of entry nodes for callers, and the keys issued with it."""

import secrets
from collections.abc import Callable

from expression import Error, Ok, Result

from eelgrassdale.catalog import Configuration
from eelgrassdale.clock import Clock
from eelgrassdale.hashing import rendezvous_order
from eelgrassdale.membership.members import Member, MembersView
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.routing.choice import Location
from eelgrassdale.routing.keys import IssuedKey, format_key
from eelgrassdale.spread.replica import Replica

NONCE_BYTES = 12
MAX_ENTRIES = 16


def preferred_entry_nodes(
    *, cfg: Configuration, entries: tuple[Member, ...], location: Location, topic: str
) -> list[Member]:
    """Return the entry nodes that callers should use, in order of preference.

    Nodes in a data centre that is out of service are omitted. Nodes in the data
    centre of `location` come first, then those in its region, then the others. Within
    each group rendezvous hashing of `topic` gives the order, so that callers of
    different nodes fail over to different nodes.
    """
    usable = {m.name: m for m in entries if cfg.is_in_service(m.data_centre)}
    order = [usable[name] for name in rendezvous_order(key=topic, members=usable)]
    return sorted(order, key=lambda member: _distance(member, location))


class EntryNodeDirectory:
    """Builds responses of `/v1/entries`; safe to use from any thread."""

    def __init__(
        self,
        *,
        name: str,
        location: Location,
        clock: Clock,
        replica: Replica,
        members: MembersView,
        key_agents: Callable[[str], list[tuple[str, int]]],
        is_leaving: Callable[[], bool],
        keep_seconds: int,
        key_seconds: int,
    ) -> None:
        self._name = name
        self._location = location
        self._clock = clock
        self._replica = replica
        self._members = members
        self._key_agents = key_agents
        self._is_leaving = is_leaving
        self._keep_seconds = keep_seconds
        self._key_seconds = key_seconds

    def entries(self, *, service: str, keys: int) -> Result[dict, ResultError]:
        """Return the response body with `keys` issued keys, or an error."""
        cfg = self._replica.current()
        if cfg.generation == 0:
            return Error(ResultError(code=ResultCode.NOT_READY))
        if (keys or service) and service not in cfg.services:
            return Error(ResultError(code=ResultCode.UNKNOWN_SERVICE))
        issued = self._issue_keys(service, keys) if keys else []
        if keys and not issued:
            return Error(ResultError(code=ResultCode.NO_BACKEND_SERVER))
        found = preferred_entry_nodes(
            cfg=cfg,
            entries=self._live_entry_nodes(),
            location=self._location,
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

    def _issue_keys(self, service: str, count: int) -> list[str]:
        key_agents = self._key_agents(service)
        if not key_agents:
            return []
        now_ms = int(self._clock.now().timestamp() * 1000)
        start = secrets.randbelow(len(key_agents))
        return [
            format_key(
                IssuedKey(
                    service=service,
                    agent=key_agents[(start + index) % len(key_agents)][0],
                    incarnation=key_agents[(start + index) % len(key_agents)][1],
                    expires_at_ms=now_ms + self._key_seconds * 1000,
                    nonce=secrets.token_hex(NONCE_BYTES),
                )
            )
            for index in range(count)
        ]


def _distance(member: Member, location: Location) -> int:
    if member.data_centre == location.data_centre:
        return 0
    return 1 if member.region == location.region else 2
