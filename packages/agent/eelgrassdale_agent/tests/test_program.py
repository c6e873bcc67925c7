"""Tests of the order in which an agent stops."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from eelgrassdale.catalog import Configuration, DataCentre, Service, ServiceKind, Vm
from eelgrassdale.tests.ports import free_address
from eelgrassdale.wire import CallRequest, Cursor, Envelope
from eelgrassdale_agent.program import Agent
from eelgrassdale_agent.settings import AgentSettings

NAME, DATA_CENTRE, SERVICE = "vm-1", "a", "portal"
UNUSED_URL = "http://127.0.0.1:9"


def new_configured_agent():
    """Return an agent of a plain, idempotent service, which is not started."""
    agent = Agent(
        cfg=AgentSettings(
            name=NAME,
            data_centre=DATA_CENTRE,
            region="north",
            node_address=free_address(),
            backend_url=UNUSED_URL,
            object_api_url=UNUSED_URL,
            vm_list_url=UNUSED_URL,
        )
    )
    cfg = Configuration(
        generation=1,
        services={SERVICE: Service(name=SERVICE, kind=ServiceKind.PLAIN)},
        data_centres={DATA_CENTRE: DataCentre(name=DATA_CENTRE, region="north")},
        vms={NAME: Vm(name=NAME, data_centre=DATA_CENTRE, service=SERVICE)},
    )
    agent.gate.configure(cfg, agent=NAME, data_centre=DATA_CENTRE)
    return agent


def test_stop_waits_for_a_request_that_is_being_admitted():
    # Guards against a stop that ends the process between the admission of a request
    # and the start of its stream, which left the request without an answer.
    agent = new_configured_agent()
    admitted, may_continue = threading.Event(), threading.Event()
    open_stream = agent.streams.open

    def open_late(*args, **kwargs):
        admitted.set()
        may_continue.wait(10)
        open_stream(*args, **kwargs)

    agent.streams.open = open_late
    envelope = Envelope(
        sender="e", incarnation=1, remaining_ms=5000, traceparent="", generation=1
    )
    request = CallRequest(
        request_id="r", attempt=1, service_name=SERVICE, method="POST", path="/p"
    )
    with ThreadPoolExecutor() as pool:
        answer = pool.submit(agent.handler.submit, envelope, request)
        assert admitted.wait(5)
        stopped = pool.submit(agent.stop)
        with pytest.raises(TimeoutError):
            stopped.result(timeout=0.5)
        may_continue.set()
        assert answer.result(timeout=5).code == 0
        frames, offset = [], 0
        while not any(frame.is_last for frame in frames):
            cursor = Cursor(
                request_id="r", attempt=1, offset=offset, window_bytes=65536
            )
            frames = agent.handler.poll(envelope, [cursor], 1000).frames
            offset += sum(len(frame.data or b"") for frame in frames)
        stopped.result(timeout=10)
