"""Tests that every end of a request leaves a line with its id and the reason.

Guards against a complaint about a request of which no log says anything.
"""

import asyncio

import pytest
from structlog.testing import capture_logs

from eelgrassdale.http1 import ExchangeBroken, Request, connect
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.tests.lab import Backend, answer, play, replying
from eelgrassdale_gateway.tests.test_forwarding import close, refusing, stream_of

SILENT_SECONDS = 5


async def silent(_req, _writer):
    await asyncio.sleep(SILENT_SECONDS)


async def ask_plain(lab, reply=None, **more):
    await lab.start("plain", Backend(reply=reply or replying(answer)))
    await lab.ask("/unsafe/", **more)


async def without_configuration(lab):
    lab.address = await lab.server.start("127.0.0.1", 0)
    await lab.ask("/unsafe/")


async def leaving(lab):
    await lab.start("plain", Backend(reply=replying(answer)))
    lab.server.handler = lab.forwarder.refuse_leaving
    await lab.ask("/unsafe/")


async def broken_stream(lab):
    await lab.start("engine", Backend(reply=stream_of(0, 2, is_cut=True)))
    with pytest.raises(ExchangeBroken):
        await lab.ask("/once/", seconds=6, t_model="m")


async def service_without_servers(lab):
    await lab.start("engine", Backend(reply=replying(answer)))
    await lab.ask("/unsafe/")


async def version_missing(lab):
    await lab.start("engine", Backend(reply=stream_of(0, 1)), versions={})
    await lab.ask("/stream/", seconds=3, t_model="m")


async def caller_leaves(lab):
    backend = Backend(reply=silent)
    await lab.start("plain", backend)
    conn = await connect(lab.address, timeout=1)
    headers = (("host", "h"), ("t-request", "r-1"), ("t-key", "key-1"))
    await conn.send(Request(method="POST", target="/unsafe/", headers=headers))
    while not backend.seen:
        await asyncio.sleep(0.01)
    conn.close()
    while lab.dispatcher.loads.own_loads():
        await asyncio.sleep(0.01)


SCENES = {
    ResultCode.OK: ask_plain,
    ResultCode.SERVER_BUSY: lambda lab: ask_plain(lab, replying(refusing)),
    ResultCode.BACKEND_FAILED: lambda lab: ask_plain(lab, close),
    ResultCode.DEADLINE_EXCEEDED: lambda lab: ask_plain(lab, silent, seconds=0.3),
    ResultCode.UNKNOWN_API_KEY: lambda lab: ask_plain(lab, t_key="wrong"),
    ResultCode.UNKNOWN_ROUTE: lambda lab: ask_plain(lab, host="other"),
    ResultCode.NOT_READY: without_configuration,
    ResultCode.LEAVING: leaving,
    ResultCode.QUEUE_FULL: version_missing,
    ResultCode.NO_BACKEND_SERVER: service_without_servers,
    ResultCode.ANSWER_TRUNCATED: broken_stream,
    ResultCode.CALLER_CANCELLED: caller_leaves,
}


@pytest.mark.parametrize("code", SCENES, ids=lambda code: code.name)
def test_every_result_code_has_a_line_with_the_request_and_what_decided_it(code):
    with capture_logs() as lines:
        play(SCENES[code])
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
