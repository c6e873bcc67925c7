"""Thrift `AgentService` of one agent."""

from typing import Protocol

from eelgrassdale.clock import Clock
from eelgrassdale.node.handler import RuntimeHandler
from eelgrassdale.node.runtime import NodeRuntime
from eelgrassdale.wire import (
    CallRequest,
    ChunkAnswer,
    ChunkRequest,
    Cursor,
    Envelope,
    ManifestAnswer,
    NodeStatus,
    PollAnswer,
    ProbeAnswer,
    SubmitAnswer,
)
from eelgrassdale_agent.gate import AdmissionGate
from eelgrassdale_agent.pauses import PauseGuard
from eelgrassdale_agent.requestadmission import RequestAdmission
from eelgrassdale_agent.streams import StreamTable


class WeightsProvider(Protocol):
    """Interface of `eelgrassdale_agent.transfer.WeightsTask` used here."""

    def read_chunk(self, request: ChunkRequest) -> ChunkAnswer: ...
    def read_manifest(self, manifest: str) -> ManifestAnswer: ...
    def load_state(self) -> str: ...
    def facts(self) -> dict[str, str]: ...


class AgentHandler(RuntimeHandler):
    """Dispatches each Thrift call to the component that answers it.

    Parameters
    ----------
    runtime : NodeRuntime
        Configuration and membership.
    gate : AdmissionGate
        Admission decisions and headroom.
    pause_guard : PauseGuard
        Detects process pauses before requests are admitted.
    request_admission : RequestAdmission
        Admits requests.
    streams : StreamTable
        Answer streams of the entry nodes.
    weights : WeightsProvider
        Chunks that the agent holds, and its load state.
    incarnation : int
        Incarnation of the agent.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        *,
        runtime: NodeRuntime,
        gate: AdmissionGate,
        pause_guard: PauseGuard,
        request_admission: RequestAdmission,
        streams: StreamTable,
        weights: WeightsProvider,
        incarnation: int,
        clock: Clock,
    ) -> None:
        super().__init__(runtime=runtime)
        self._gate = gate
        self._pause_guard = pause_guard
        self._request_admission = request_admission
        self._streams = streams
        self._weights = weights
        self._incarnation = incarnation
        self._clock = clock

    def submit(self, envelope: Envelope, request: CallRequest) -> SubmitAnswer:
        """Admit or refuse a request, without waiting for its answer."""
        received_at = self._clock.monotonic()
        self._runtime.record_sender(envelope)
        self._pause_guard.check_before_admission()
        return self._request_admission.submit(
            envelope, request, received_at=received_at
        )

    def poll(
        self, envelope: Envelope, cursors: list[Cursor], wait_ms: int
    ) -> PollAnswer:
        """Return the frames after the cursors, waiting for at least one."""
        self._runtime.record_sender(envelope)
        frames = self._streams.poll(
            cursors or [],
            sender=envelope.sender,
            sender_incarnation=envelope.incarnation or 0,
            wait_seconds=(wait_ms or 0) / 1000,
        )
        return PollAnswer(
            incarnation=self._incarnation, frames=frames, headroom=self._headroom()
        )

    def cancel(self, envelope: Envelope, request_id: str, attempt: int) -> None:
        """Cancel a request whose caller has gone away."""
        self._runtime.record_sender(envelope)
        self._streams.cancel((request_id, attempt), sender=envelope.sender)

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Answer a health probe."""
        answer = self._runtime.probe(envelope)
        answer.headroom = self._headroom()
        answer.load_state = self._weights.load_state()
        return answer

    def status(self, envelope: Envelope) -> NodeStatus:
        """Return counters and facts."""
        self._gate.update_gauges()
        self._request_admission.update_gauges()
        answer = self._runtime.status(envelope)
        answer.facts = {
            **(answer.facts or {}),
            "load_state": self._weights.load_state(),
            **self._weights.facts(),
            "model_version": self._gate.model_version(),
        }
        return answer

    def read_chunk(self, envelope: Envelope, request: ChunkRequest) -> ChunkAnswer:
        """Return a chunk of weights to a peer."""
        self._runtime.record_sender(envelope)
        return self._weights.read_chunk(request)

    def read_manifest(self, envelope: Envelope, manifest: str) -> ManifestAnswer:
        """Return a manifest to a peer."""
        self._runtime.record_sender(envelope)
        return self._weights.read_manifest(manifest)

    def _headroom(self) -> dict[str, object]:
        service = self._gate.service()
        return {service: self._gate.headroom()} if service else {}
