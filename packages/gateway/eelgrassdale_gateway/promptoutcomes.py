"""Records what attempts tell of their prompts: sound answers and ended servers."""

import asyncio

from eelgrassdale.clock import Clock
from eelgrassdale_gateway.calls import Call
from eelgrassdale_gateway.model import BackendServer
from eelgrassdale_gateway.outcomes import Lost, Outcome
from eelgrassdale_gateway.quarantine import PromptQuarantine
from eelgrassdale_gateway.retryrules import (
    is_sound_answer,
    lost_its_server,
    lost_server_as_answer_began,
)
from eelgrassdale_gateway.serverends import ServerEndDetector


class PromptOutcomes:
    """Passes the outcomes of attempts on to the quarantine of prompts."""

    def __init__(
        self,
        *,
        clock: Clock,
        quarantine: PromptQuarantine,
        server_ends: ServerEndDetector,
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._server_ends = server_ends
        self._recordings: set[asyncio.Task[None]] = set()

    async def record(self, call: Call, server: BackendServer, outcome: Outcome) -> None:
        """Record an outcome, also if the caller closes its connection meanwhile."""
        parts = call.admitted.quarantine_parts
        if not parts:
            return
        if not lost_its_server(outcome):
            if is_sound_answer(outcome):
                self._quarantine.record_answer(parts)
            return
        task = asyncio.ensure_future(self._record_lost_server(parts, server, outcome))
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)
        if isinstance(outcome, Lost):
            # Whether the request may be retried depends on it.
            await asyncio.shield(task)

    def is_suspect(self, call: Call, outcome: Outcome) -> bool:
        """Return whether the request may have ended its server, and may end others."""
        return lost_its_server(outcome) and self._quarantine.is_suspect(
            call.admitted.quarantine_parts,
            has_answer_begun=lost_server_as_answer_began(call, outcome),
        )

    async def _record_lost_server(
        self, parts: frozenset[str], server: BackendServer, outcome: Outcome
    ) -> None:
        lost_at = self._clock.monotonic()
        if await self._server_ends.has_ended(server):
            server_id, started_at_ms = server.incarnation
            self._quarantine.record_crash(
                f"{server_id}/{started_at_ms}", parts, at=lost_at
            )
        elif is_sound_answer(outcome):
            self._quarantine.record_answer(parts)
