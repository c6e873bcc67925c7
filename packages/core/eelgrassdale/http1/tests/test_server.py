"""Tests of the server against raw sockets."""

import asyncio

import pytest

from eelgrassdale.http1 import ByteBudget, CallerLimits, HttpServer

TEST_TIMEOUT_SECONDS = 5


def serve(handler, client, limits=None):
    """Run `client(reader, writer, server)` against a server and return its result."""

    async def run():
        server = HttpServer(handler=handler, limits=lambda: limits or CallerLimits())
        host, port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(host, port)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                return await client(reader, writer, server)
        finally:
            writer.close()
            server.stop_listening()
            server.abort_all()

    return asyncio.run(run())


async def echo(exchange):
    await exchange.respond(200, (("x-seen", exchange.request.target),), b"hello")


def endless_handler():
    """Return a handler that waits to be cancelled, and events of its start and end."""
    started, ended = asyncio.Event(), asyncio.Event()

    async def handler(_exchange):
        started.set()
        try:
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)
        finally:
            ended.set()

    return handler, started, ended


def test_pipelined_requests_are_answered_in_order():
    async def client(reader, writer, _server):
        writer.write(
            b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n"
        )
        writer.write(b"Connection: close\r\n\r\n")
        return await reader.read()

    data = serve(echo, client)
    assert data.index(b"x-seen: /1") < data.index(b"x-seen: /2")
    assert data.count(b"HTTP/1.1 200") == 2


def test_handler_is_cancelled_when_its_caller_disconnects():
    """Otherwise work continues for a caller that closed its connection."""
    handler, handler_started, handler_ended = endless_handler()

    async def client(_reader, writer, _server):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await handler_started.wait()
        writer.close()
        await handler_ended.wait()
        return True

    assert serve(handler, client)


def test_unfinished_response_does_not_look_complete():
    async def handler(exchange):
        await exchange.start(200, ())
        await exchange.write(b"part")
        raise ConnectionResetError("source gone")

    async def client(reader, writer, _server):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        data = b""
        try:
            while part := await reader.read(1000):
                data += part
        except ConnectionResetError:
            pass
        return data

    assert b"0\r\n\r\n" not in serve(handler, client)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", b"413"),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", b"408"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", b"408"),
    ],
)
def test_invalid_requests_never_reach_a_handler(data, status):
    limits = CallerLimits(
        header_bytes=2000, body_bytes=1000, header_seconds=0.2, body_seconds=0.2
    )

    async def handler(exchange):
        pytest.fail(f"handled {exchange.request}")

    async def client(reader, writer, _server):
        writer.write(data)
        return await reader.read()

    assert serve(handler, client, limits).startswith(b"HTTP/1.1 " + status)


def test_chunked_body_above_the_limit_is_refused():
    async def client(reader, writer, _server):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(b"64\r\n" + b"x" * 100 + b"\r\n" + b"64\r\n" + b"x" * 100)
        return await reader.read()

    data = serve(echo, client, CallerLimits(body_bytes=150))
    assert data.startswith(b"HTTP/1.1 413")


def test_bodies_of_all_callers_share_a_bounded_memory():
    """Guards against memory that grows with the number of callers that send bodies."""

    async def run():
        release = asyncio.Event()

        async def handler(exchange):
            await release.wait()
            await exchange.respond(200)

        server = HttpServer(handler=handler, body_memory=ByteBudget(limit=1500))
        address = await server.start("127.0.0.1", 0)

        async def post():
            reader, writer = await asyncio.open_connection(*address)
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
            writer.write(head + b"x" * 1000)
            status_line = await reader.readline()
            writer.close()
            return status_line.split()[1]

        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            first = asyncio.ensure_future(post())
            while not server.active_requests:
                await asyncio.sleep(0.01)
            second = await post()
            release.set()
            results = await first, second, await post()
            while server.body_memory.used:
                await asyncio.sleep(0.01)
        server.stop_listening()
        server.abort_all()
        return results

    assert asyncio.run(run()) == (b"200", b"503", b"200")


def test_draining_server_sends_connection_close():
    async def client(reader, writer, server):
        server.start_draining()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        return await reader.read()

    data = serve(echo, client)
    assert b"connection: close" in data
    assert data.endswith(b"hello")


def test_aborting_a_connection_whose_handler_runs_cancels_the_handler(caplog):
    """Guards against an internal error in the task that waits for the handler."""
    handler, handler_started, handler_ended = endless_handler()

    async def client(_reader, writer, server):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await handler_started.wait()
        server.abort_all()
        await handler_ended.wait()
        await asyncio.sleep(0.05)

    serve(handler, client)
    assert caplog.text == ""


@pytest.mark.parametrize("arrival", ["in the kernel", "received"])
def test_request_that_crosses_a_graceful_stop_is_answered(arrival):
    """Guards against requests that a planned stop cuts off as they arrive."""
    requests = 20

    async def run():
        server = HttpServer(handler=echo)
        address = await server.start("127.0.0.1", 0)
        conns = [await asyncio.open_connection(*address) for _ in range(requests)]
        idle = await asyncio.open_connection(*address)
        for reader, writer in (*conns, idle):
            writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            await reader.readuntil(b"hello")
        server.start_draining()
        for _, writer in conns:
            writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
        if arrival == "received":
            await asyncio.sleep(0)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await server.stop_listening_gracefully()
            answers = [await reader.read() for reader, _ in conns]
            idle_answer = await idle[0].read()
            for _, writer in (*conns, idle):
                writer.close()
            while server.busy_connections:
                await asyncio.sleep(0.01)
        return answers, idle_answer

    answers, idle_answer = asyncio.run(run())
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert idle_answer == b""


def test_idle_connection_is_closed_after_the_idle_timeout():
    async def client(reader, _writer, _server):
        return await reader.read()

    assert serve(echo, client, CallerLimits(idle_seconds=0.1)) == b""


def test_aborting_a_connection_during_a_read_logs_no_unhandled_error(caplog):
    """Guards against an internal error in the task whose read was cancelled."""

    async def client(_reader, writer, server):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        server.abort_all()
        await asyncio.sleep(0.05)

    serve(echo, client)
    assert "Unhandled" not in caplog.text
