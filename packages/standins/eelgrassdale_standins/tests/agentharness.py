"""Test harness for an agent process: its configuration, calls and streams."""

import time

from eelgrassdale.catalog import DataCentre, Service, ServiceKind, Vm
from eelgrassdale.catalog.encoding import encode_object
from eelgrassdale.hashing import digest_of
from eelgrassdale.routing.keys import IssuedKey, format_key
from eelgrassdale.spread.replica import head_digest_of
from eelgrassdale.wire import (
    CallRequest,
    ConfigDelta,
    ConfigObject,
    Cursor,
    Envelope,
    NodeConnection,
)
from eelgrassdale_standins.control import get_counts, http_url, is_healthy
from eelgrassdale_standins.processes import (
    Command,
    PortReservation,
    Process,
    program_arguments,
    standin_arguments,
    wait_until,
)

NAME = "vm-a"
DATA_CENTRE_NAME = "xela"
CALL_TIMEOUT_SECONDS = 10.0
UNUSED_URL = "http://127.0.0.1:9"
PRELOAD_OPTIONS = ("--preload", "v1:manifest-1:weights-1", "--token-ms", 1)

MODEL_SERVICE = Service(
    name="drafting",
    kind=ServiceKind.MODEL,
    model_version="v1",
    cold_slots=2,
    max_slots=8,
)
PLAIN_SERVICE = Service(
    name="desk", kind=ServiceKind.PLAIN, idempotent=False, cold_slots=2, max_slots=4
)


class AgentHarness:
    """An agent process and the address of its stand-in backend server.

    Parameters
    ----------
    address : str
        Node address of the agent.
    backend : str
        Address of the stand-in of its backend server.
    log : Path
        Log of the process.
    service : Service
        Service that the agent serves.
    options : sequence
        Additional command line options of the agent.
    """

    def __init__(self, *, address, backend, log, service, options=()):
        self.address = address
        self.backend = backend
        self.service = service
        self.generation = 0
        required_options = {
            "--name": NAME,
            "--data-centre": DATA_CENTRE_NAME,
            "--region": "occidente",
            "--node-address": address,
            "--backend-url": http_url(backend),
            "--object-api-url": UNUSED_URL,
            "--vm-list-url": UNUSED_URL,
        }
        flat_options = [part for pair in required_options.items() for part in pair]
        arguments = program_arguments("eelgrassdale-agent", [*flat_options, *options])
        self.process = Process(Command(name="agent", arguments=arguments, log=log))
        self.conn = NodeConnection(address=address)

    def wait_ready(self):
        """Wait until the agent answers probes."""
        wait_until(self._answers, timeout_seconds=20, description="probe of the agent")

    def call(
        self,
        name,
        *arguments,
        remaining_ms=20_000,
        sender="entry-1",
        timeout_seconds=CALL_TIMEOUT_SECONDS,
    ):
        """Call the agent as an entry node."""
        envelope = Envelope(
            sender=sender,
            incarnation=1,
            remaining_ms=remaining_ms,
            traceparent="",
            generation=self.generation,
        )
        return self.conn.call(
            name, envelope, *arguments, timeout_seconds=timeout_seconds
        )

    def configure(self, *, data_centre=None, vm=None):
        """Push a configuration with the agent's service as the next generation."""
        self.generation += 1
        data_centre = data_centre or DataCentre(
            name=DATA_CENTRE_NAME, region="occidente"
        )
        vm = vm or Vm(
            name=NAME, data_centre=DATA_CENTRE_NAME, service=self.service.name
        )
        encoded = [encode_object(obj) for obj in (data_centre, vm, self.service)]
        changed = [
            ConfigObject(name=obj.name, digest=digest_of(obj.body), body=obj.body)
            for obj in encoded
        ]
        digests = {obj.name: obj.digest for obj in changed}
        delta = ConfigDelta(
            base=0,
            generation=self.generation,
            head_digest=head_digest_of(digests),
            changed=changed,
            removed=[],
            members_version=0,
            members=b"",
        )
        assert self.call("push", delta) == self.generation

    def headroom(self):
        """Return the headroom of the agent's service."""
        return self.call("probe").headroom[self.service.name]

    def wait_accepting(self):
        """Wait until the agent accepts requests."""
        wait_until(
            lambda: self.headroom().accepting,
            timeout_seconds=10,
            description="agent accepts",
        )

    def build_request(self, request_id, **values):
        """Return a request to the agent's service, with `values` set in it."""
        call_request = CallRequest(
            request_id=request_id,
            attempt=1,
            service_name=self.service.name,
            account="brand",
            priority=1,
            method="POST",
            path="/reserve",
            headers={},
            body=b'{"prompt": "draft a letter", "max_tokens": 20}',
            prompt_tokens=4,
            max_tokens=20,
            idempotent=self.service.idempotent,
            key="",
            model_version="",
            resume_offset=0,
            window_bytes=65536,
            resume_text="",
        )
        for name, value in values.items():
            setattr(call_request, name, value)
        return call_request

    def issue_key(self, *, nonce="n1", lifetime_seconds=60):
        """Return an idempotency key for the current incarnation of the agent."""
        return format_key(
            IssuedKey(
                service=self.service.name,
                agent=NAME,
                incarnation=self.call("probe").incarnation,
                expires_at_ms=int((time.time() + lifetime_seconds) * 1000),
                nonce=nonce,
            )
        )

    def read_answer(self, request_id, *, offset=0, seconds=20.0, sender="entry-1"):
        """Return the rest of a stream's answer from `offset` and its last frame."""
        data = b""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            cursor = Cursor(
                request_id=request_id,
                attempt=1,
                offset=offset + len(data),
                window_bytes=65536,
            )
            answer = self.call("poll", [cursor], 1000, sender=sender)
            for frame in answer.frames:
                assert frame.offset == offset + len(data)
                data += frame.data
                if frame.is_last:
                    return data, frame
        raise AssertionError(f"no end of stream {request_id} within {seconds} s")

    def count_runs(self):
        """Return the number of requests that the backend server ran."""
        return get_counts(self.backend).get("requests", 0)

    def count_running(self):
        """Return the number of requests running in the engine."""
        return get_counts(self.backend)["running"]

    def counters(self):
        """Return the agent's counters."""
        return self.call("status").counters

    def admission_trace(self):
        """Return the complete lines of the recorded admission trace."""
        text = self.process.command.log.read_text()
        return [
            line
            for line in text[: text.rfind("\n")].splitlines()
            if line.startswith(('{"settings"', '{"event"'))
        ]

    def close(self):
        """Kill the process."""
        self.conn.close()
        self.process.resume()
        self.process.kill()

    def _answers(self):
        try:
            return bool(self.call("probe").incarnation)
        except Exception:
            return False


class AgentHarnessFactory:
    """Starts agents with stand-in backend servers and ends all of them.

    Parameters
    ----------
    directory : Path
        Directory of the logs.
    """

    def __init__(self, *, directory):
        self._directory = directory
        self._ports = PortReservation()
        self._harnesses = []
        self._standins = []

    def start_model(self, service, *, engine_options=(), agent_options=()):
        """Start an agent beside an engine that has weights loaded."""
        return self._start(
            service, "engine", (*PRELOAD_OPTIONS, *engine_options), agent_options
        )

    def start_plain(self, service):
        """Start an agent beside a plain service."""
        return self._start(service, "plainservice", (), ())

    def close(self):
        """Kill all processes."""
        for harness in self._harnesses:
            harness.close()
        for standin in self._standins:
            standin.kill()
        self._ports.close()

    def _start(self, service, module, options, agent_options):
        backend = self._ports.new_address()
        log = self._directory / f"{len(self._standins)}-{module}.log"
        arguments = standin_arguments(module, backend, *options)
        self._standins.append(
            Process(Command(name=module, arguments=arguments, log=log))
        )
        harness = AgentHarness(
            address=self._ports.new_address(),
            backend=backend,
            log=self._directory / f"{len(self._harnesses)}-agent.log",
            service=service,
            options=agent_options,
        )
        self._harnesses.append(harness)
        harness.wait_ready()
        wait_until(
            lambda: is_healthy(backend),
            timeout_seconds=20,
            description=f"health of {module}",
        )
        harness.configure()
        harness.wait_accepting()
        return harness
