"""Tests that each way a request can end is logged with its id and the reason.

Guards against requests that fail without any log line about them.
"""

import asyncio

import pytest
from structlog.testing import capture_logs

from eelgrassdale.clock import SystemClock
from eelgrassdale.http1 import ExchangeFailed, Request, connect
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.stopschedule import StopSchedule
from eelgrassdale_gateway.tests.harness import (
    ScriptedBackend,
    reply_with,
    run_scenario,
    signed_response,
)
from eelgrassdale_gateway.tests.test_forwarding import (
    close_connection,
    refusal,
    stream_reply,
)

SILENCE_SECONDS = 5


async def no_reply(_req, _writer):
    await asyncio.sleep(SILENCE_SECONDS)


async def send_to_plain_service(harness, reply=None, **options):
    await harness.start(
        "plain", ScriptedBackend(reply=reply or reply_with(signed_response))
    )
    await harness.send_request("/unsafe/", **options)


async def send_without_configuration(harness):
    harness.address = await harness.server.start("127.0.0.1", 0)
    await harness.send_request("/unsafe/")


async def send_while_stopping(harness):
    await harness.start("plain", ScriptedBackend(reply=reply_with(signed_response)))
    now = SystemClock().monotonic()
    schedule = StopSchedule(started_at=now - 10.0, ends_at=now + 0.1)
    harness.forwarder.start_stopping(schedule)
    await harness.send_request("/unsafe/")


async def read_broken_stream(harness):
    await harness.start(
        "engine", ScriptedBackend(reply=stream_reply(0, 2, is_truncated=True))
    )
    with pytest.raises(ExchangeFailed):
        await harness.send_request("/once/", seconds=6, t_model="m")


async def send_to_service_without_servers(harness):
    await harness.start("engine", ScriptedBackend(reply=reply_with(signed_response)))
    await harness.send_request("/unsafe/")


async def send_without_loaded_version(harness):
    await harness.start(
        "engine", ScriptedBackend(reply=stream_reply(0, 1)), versions={}
    )
    await harness.send_request("/stream/", seconds=3, t_model="m")


async def disconnect_caller(harness):
    backend = ScriptedBackend(reply=no_reply)
    await harness.start("plain", backend)
    conn = await connect(harness.address, timeout=1)
    headers = (("host", "h"), ("t-request", "r-1"), ("t-key", "key-1"))
    await conn.send(Request(method="POST", target="/unsafe/", headers=headers))
    while not backend.received:
        await asyncio.sleep(0.01)
    conn.close()
    while harness.dispatcher.loads.own_loads():
        await asyncio.sleep(0.01)


SCENARIOS = {
    ResultCode.OK: send_to_plain_service,
    ResultCode.SERVER_BUSY: lambda harness: send_to_plain_service(
        harness, reply_with(refusal)
    ),
    ResultCode.BACKEND_FAILED: lambda harness: send_to_plain_service(
        harness, close_connection
    ),
    ResultCode.DEADLINE_EXCEEDED: lambda harness: send_to_plain_service(
        harness, no_reply, seconds=0.3
    ),
    ResultCode.UNKNOWN_API_KEY: lambda harness: send_to_plain_service(
        harness, t_key="wrong"
    ),
    ResultCode.UNKNOWN_ROUTE: lambda harness: send_to_plain_service(
        harness, host="other"
    ),
    ResultCode.NOT_READY: send_without_configuration,
    ResultCode.LEAVING: send_while_stopping,
    ResultCode.QUEUE_FULL: send_without_loaded_version,
    ResultCode.NO_BACKEND_SERVER: send_to_service_without_servers,
    ResultCode.ANSWER_TRUNCATED: read_broken_stream,
    ResultCode.CALLER_CANCELLED: disconnect_caller,
}


@pytest.mark.parametrize("code", SCENARIOS, ids=lambda code: code.name)
def test_every_result_code_is_logged_with_request_id_and_reason(code):
    with capture_logs() as lines:
        run_scenario(SCENARIOS[code])
    ends = [line for line in lines if line["event"] == "request ended"]
    assert [(line["request"], line["code"]) for line in ends] == [("r-1", code.name)]
    end = ends[0]
    if end["service"]:
        assert end["seconds"] >= 0
        assert end["allowed"] > 0
        assert end["sends"] >= 0
    failed = [line for line in lines if line["event"] == "attempt failed"]
    for line in failed:
        assert line["request"] == "r-1"
        assert line["reason"]
