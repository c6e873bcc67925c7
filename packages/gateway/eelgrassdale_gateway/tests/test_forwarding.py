"""Tests of forwarding against backend servers that fail in many ways."""

import asyncio

import pytest

from eelgrassdale.http1 import ExchangeBroken, Request, connect
from eelgrassdale_gateway.tests.lab import (
    SECONDS,
    Backend,
    answer,
    chunk,
    event,
    play,
    replying,
    stream_head,
)


def refusing(req):
    return answer(req, b"", "503 Service Unavailable", "T-Not-Run: 1")


def test_request_reaches_the_backend_server_unchanged_but_for_our_headers():
    async def scene(lab):
        backend = Backend(reply=replying(answer))
        await lab.start("plain", backend)
        head, body = await lab.ask("/unsafe/x?y=%20z", t_account="forged", x_own="1")
        return head, body, backend.seen[0]

    head, body, req = play(scene)
    assert (head.status, body, head.header("t-signature")) == (200, b"ok", "seal")
    assert req["line"] == "POST /unsafe/x?y=%20z HTTP/1.1"
    assert (req["body"], req["x-own"], req["t-server"]) == (b"body", "1", "s-0")
    assert req["t-account"] == "acme"
    assert "t-key" not in req
    assert 1000 < int(req["t-time-left"]) <= 2000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/", "key-1", 404), ("/safe/", "wrong", 401), ("/safe/", "", 401)],
)
def test_improper_requests_are_refused_by_the_gateway(path, key, status):
    async def scene(lab):
        backend = Backend(reply=replying(answer))
        await lab.start("plain", backend)
        head, _ = await lab.ask(path, t_key=key)
        return head.status, backend.seen

    assert play(scene) == (status, [])


def test_gateway_without_a_configuration_says_not_ready():
    """A new process must not answer 401 or 404 for what may be allowed."""

    async def scene(lab):
        lab.address = await lab.server.start("127.0.0.1", 0)
        head, _ = await lab.ask("/safe/")
        return head.status

    assert play(scene) == 503


async def close(_req, writer):
    writer.close()


async def cut(req, writer):
    writer.write(answer(req)[:-1])
    writer.close()


async def crossed(req, writer):
    writer.write(answer(req | {"t-request": "r-other"}))


async def unsigned(req, writer):
    writer.write(answer(req).replace(b"T-Signature: seal\r\n", b""))


async def garbage(_req, writer):
    writer.write(b"\x00\x01 no answer\r\n\r\n")


async def plain_503(req, writer):
    writer.write(answer(req, b"", "503 Service Unavailable"))


LOST = [close, cut, crossed, unsigned, garbage, plain_503]


@pytest.mark.parametrize("reply", LOST)
def test_work_that_may_have_run_is_not_repeated_and_not_called_refused(reply):
    async def scene(lab):
        backends = [Backend(reply=reply), Backend(reply=reply)]
        await lab.start("plain", *backends)
        head, _ = await lab.ask("/unsafe/")
        return head, sum(len(backend.seen) for backend in backends)

    head, arrivals = play(scene)
    assert head.status == 502
    assert head.header("t-signature") == ""
    assert arrivals == 1


@pytest.mark.parametrize("reply", LOST)
def test_idempotent_work_is_repeated_at_another_backend_server(reply):
    async def scene(lab):
        bad, good = Backend(reply=reply), Backend(reply=replying(answer))
        await lab.start("plain", bad, good)
        results = [await lab.ask("/safe/", method="GET") for _ in range(6)]
        return [head.status for head, _ in results], len(bad.seen)

    statuses, failures = play(scene)
    assert statuses == [200] * 6
    assert failures >= 1


def test_refused_work_goes_to_another_backend_server():
    async def scene(lab):
        full, free = Backend(reply=replying(refusing)), Backend(reply=replying(answer))
        await lab.start("plain", full, free)
        heads = [(await lab.ask("/unsafe/"))[0].status for _ in range(6)]
        return heads, len(full.seen), len(free.seen)

    heads, refused, ran = play(scene)
    assert heads == [200] * 6
    assert refused >= 1
    assert ran == 6


def test_refusal_by_all_backend_servers_says_not_run_and_when_to_return():
    async def scene(lab):
        backends = [Backend(reply=replying(refusing)) for _ in range(2)]
        await lab.start("plain", *backends)
        return (await lab.ask("/unsafe/"))[0]

    head = play(scene)
    assert head.status == 503
    assert 0 < float(head.header("retry-after")) <= 2 / 3


def test_answer_to_an_earlier_request_does_not_reach_the_next_caller():
    """A late second answer arrives where the next one is expected."""

    async def reply(req, writer):
        writer.write(answer(req, b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer(req, b"late"))

    async def scene(lab):
        backend = Backend(reply=reply)
        await lab.start("plain", backend)
        bodies = []
        for number in range(3):
            _, body = await lab.ask("/safe/", method="GET", t_request=f"r-{number}")
            bodies.append(body)
            await asyncio.sleep(0.02)
        return bodies

    assert play(scene) == [b"first"] * 3


def test_failure_of_the_backend_server_keeps_status_and_signature():
    async def scene(lab):
        failed = replying(lambda req: answer(req, b"why", "500 Internal Server Error"))
        backend = Backend(reply=failed)
        await lab.start("plain", backend)
        return await lab.ask("/unsafe/")

    head, body = play(scene)
    assert (head.status, head.header("t-signature"), body) == (500, "seal", b"why")


def test_silent_backend_server_gives_504_at_the_time_limit_of_the_caller():
    async def silent(_req, _writer):
        await asyncio.sleep(5)

    async def scene(lab):
        backend = Backend(reply=silent)
        await lab.start("plain", backend)
        head, _ = await lab.ask("/unsafe/", seconds=0.3)
        return head.status, len(backend.seen)

    assert play(scene) == (504, 1)


def test_caller_that_leaves_ends_its_work_at_the_backend_server():
    async def silent(_req, _writer):
        await asyncio.sleep(0)

    async def scene(lab):
        backend = Backend(reply=silent)
        await lab.start("plain", backend)
        conn = await connect(lab.address, timeout=1)
        headers = (("host", "h"), ("t-request", "r"), ("t-key", "key-1"))
        await conn.send(Request(method="POST", target="/unsafe/", headers=headers))
        while not backend.seen:
            await asyncio.sleep(0.01)
        conn.close()
        await backend.closed.wait()
        return lab.dispatcher.loads.own_loads()

    assert play(scene) == {}


def stream_of(first, last, *, is_cut=False):
    async def reply(req, writer):
        begin = int(req.get("t-last-event", first - 1)) + 1
        writer.write(stream_head(req))
        for number in range(begin, last + 1):
            writer.write(chunk(event(number)))
        if is_cut:
            writer.write(chunk(b"id: 99\nda"))
            await writer.drain()
            writer.close()
        else:
            writer.write(chunk(b""))

    return reply


def test_broken_stream_is_continued_behind_its_last_whole_event():
    async def scene(lab):
        bad = Backend(reply=stream_of(0, 2, is_cut=True))
        good = Backend(reply=stream_of(0, 5))
        await lab.start("engine", bad, good)
        bodies = [
            (await lab.ask("/stream/", seconds=6, t_model="m", t_tokens="100,9"))[1]
            for _ in range(5)
        ]
        return bodies, len(bad.seen)

    bodies, failures = play(scene)
    assert bodies == [b"".join(event(number) for number in range(6))] * 5
    assert failures >= 1


def test_broken_stream_is_continued_before_its_pause_is_too_long():
    """A stream that broke late was treated as late, and waited behind others."""

    async def breaking(req, writer):
        writer.write(stream_head(req) + chunk(event(0)))
        await writer.drain()
        await asyncio.sleep(0.7)
        writer.close()

    async def busy(req, writer):
        if "t-last-event" in req:
            await stream_of(0, 3)(req, writer)
            return
        writer.write(stream_head(req) + chunk(event(0)))
        await asyncio.sleep(SECONDS)

    async def scene(lab):
        good = Backend(reply=busy)
        bad = Backend(reply=breaking)
        await lab.start("engine", bad)
        asked = asyncio.ensure_future(lab.ask("/stream/", seconds=6, t_model="m"))
        while not bad.seen:
            await asyncio.sleep(0.01)
        await lab.add("engine", "s-9", good)
        # Late requests may not take the place above the slots.
        for _ in range(4):
            lab.dispatcher.loads.sent("s-9", tokens=0, now=0.0)
        begun_at = asyncio.get_running_loop().time()
        _, body = await asked
        return body, asyncio.get_running_loop().time() - begun_at

    body, seconds = play(scene)
    assert body == b"".join(event(number) for number in range(4))
    assert seconds < 2.0


def test_continued_stream_with_a_gap_is_broken_off():
    async def gap(req, writer):
        writer.write(stream_head(req) + chunk(event(4)) + chunk(b""))

    async def scene(lab):
        bad = Backend(reply=stream_of(0, 2, is_cut=True))
        await lab.start("engine", bad, Backend(reply=gap))
        asked = [lab.ask("/stream/", seconds=6, t_model="m") for _ in range(6)]
        return await asyncio.gather(*asked, return_exceptions=True)

    results = play(scene)
    broken = [result for result in results if isinstance(result, ExchangeBroken)]
    whole = [result for result in results if result not in broken]
    assert broken
    assert all(body == event(4) for _, body in whole)


def test_stream_that_may_not_be_resumed_is_broken_off_visibly():
    async def scene(lab):
        backends = [Backend(reply=stream_of(0, 2, is_cut=True)) for _ in range(2)]
        await lab.start("engine", *backends)
        with pytest.raises(ExchangeBroken):
            await lab.ask("/once/", seconds=6, t_model="m")
        return sum(len(backend.seen) for backend in backends)

    assert play(scene) == 1


def test_request_waits_for_a_version_and_is_refused_without_one():
    async def scene(lab):
        backend = Backend(reply=stream_of(0, 1))
        await lab.start("engine", backend, versions={})
        head, _ = await lab.ask("/stream/", seconds=6, t_model="m")
        return head.status, backend.seen

    assert play(scene) == (503, [])
