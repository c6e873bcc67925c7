"""Tests of the admission of requests."""

from eelgrassdale.admission.events import Outcome
from eelgrassdale.clock import ManualClock
from eelgrassdale.results import ResultCode
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.wire import CallRequest, Envelope
from eelgrassdale_agent.answers import BufferBudget
from eelgrassdale_agent.requestadmission import RequestAdmission
from eelgrassdale_agent.streams import StreamTable


class RefusingGate:
    """Refuses every request and records the values of the last event."""

    def is_model(self):
        return False

    def headroom(self):
        return None

    def apply(self, _kind, **values):
        self.values = values
        return Outcome(code=ResultCode.SERVER_BUSY)


def test_time_since_arrival_is_subtracted_from_the_deadline():
    # If the process pauses between the arrival and the admission of a request, the
    # request must not run past its deadline.
    clock, monitor, gate = (
        ManualClock(),
        InvariantMonitor(metrics=Metrics()),
        RefusingGate(),
    )
    clock.advance(seconds=5.0)
    request_admission = RequestAdmission(
        gate=gate,
        job_runner=None,
        streams=StreamTable(incarnation=1, clock=clock, monitor=monitor, max_streams=1),
        budget=BufferBudget(max_bytes=0, max_answers=0),
        max_retained_bytes=0,
        incarnation=1,
        clock=clock,
        metrics=Metrics(),
        monitor=monitor,
    )
    request = CallRequest(request_id="r", attempt=1, service_name="s", body=b"")
    envelope = Envelope(sender="e", incarnation=1, remaining_ms=3000)
    request_admission.submit(envelope, request, received_at=3.0)
    assert gate.values["remaining_ms"] == 1000
