"""Tests of the server against raw sockets."""

import asyncio
import contextlib
import socket
import time

import pytest

from eelgrassdale.http1 import CallerBudget, CallerLimits, HttpServer

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

        share = CallerBudget(byte_limit=4000).share(reserved=1.0)
        server = HttpServer(handler=handler, share=share)
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
            while share.bytes.used:
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


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("turns", range(8))
def test_request_that_is_handled_during_a_graceful_stop_is_answered(is_kept, turns):
    """Guards against requests that are passed on by a process that ends.

    A request of a connection that was being opened, or that arrived in the last turn
    of the event loop before the end, was handled and got no byte of an answer.
    """
    handled = []

    async def respond(exchange):
        handled.append(exchange)
        await asyncio.sleep(0.05)
        await exchange.respond(200, (), b"hello")

    async def run():
        server = HttpServer(handler=respond)
        address = await server.start("127.0.0.1", 0)
        with socket.create_connection(address) as sock:
            if is_kept:
                await asyncio.sleep(0.05)
            sock.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            for _ in range(turns):
                await asyncio.sleep(0)
            await stop_gracefully(server)
            sock.settimeout(TEST_TIMEOUT_SECONDS)
            return await asyncio.to_thread(receive_all, sock)

    answer = asyncio.run(run())
    assert not handled or answer.startswith(b"HTTP/1.1 200")
    assert not handled or answer.endswith(b"hello")


def receive_all(sock):
    """Return what a socket receives until its connection ends."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := sock.recv(65_536):
            data += part
    return data


def test_request_that_is_read_as_the_process_ends_is_refused_and_not_handled():
    """Guards against a request that is passed on and cut off by the exit."""

    async def client(reader, writer, server):
        writer.write(b"GET / HTTP/1.1\r\n")
        await asyncio.sleep(0.05)
        server.start_draining()
        server.takes_requests = False
        writer.write(b"Host: a\r\n\r\n")
        return await reader.read()

    assert serve(echo, client).startswith(b"HTTP/1.1 503")


def test_request_of_a_connection_that_was_closed_is_not_handled():
    """Guards against work for a caller that cannot get its result."""
    handled = []

    async def respond(exchange):
        handled.append(exchange)

    async def client(_reader, writer, server):
        await asyncio.sleep(0.05)
        (conn,) = server._connections
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        while not conn._protocol.unread:
            await asyncio.sleep(0)
        conn._writer.close()
        await asyncio.sleep(0.05)

    serve(respond, client)
    assert handled == []


def test_idle_connection_is_closed_after_the_idle_timeout():
    async def client(reader, _writer, _server):
        return await reader.read()

    assert serve(echo, client, CallerLimits(idle_seconds=0.1)) == b""


@pytest.mark.parametrize("request_count", [1, 2])
def test_request_sent_in_time_is_answered_though_the_server_was_late(request_count):
    """Guards against an idle timeout that cuts a request which waits to be read."""

    async def client(reader, writer, _server):
        for _ in range(request_count):
            await asyncio.sleep(0.1)
            writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            # Blocks the event loop of the server, too.
            time.sleep(0.3)
            await reader.readuntil(b"hello")
        return True

    assert serve(echo, client, CallerLimits(idle_seconds=0.2))


def test_aborting_a_connection_during_a_read_logs_no_unhandled_error(caplog):
    """Guards against an internal error in the task whose read was cancelled."""

    async def client(_reader, writer, server):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        server.abort_all()
        await asyncio.sleep(0.05)

    serve(echo, client)
    assert "Unhandled" not in caplog.text


SLOW_READER_BUFFER_BYTES = 16_384
# Segments of an ordinary network path, with which the kernel's buffers fill sooner.
SEGMENT_BYTES = 1_460


class SlowReader:
    """A caller that takes what has come after a pause, with a small buffer."""

    def __init__(self, address):
        self._sock = socket.socket()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._sock.connect(address)
        self._sock.setblocking(False)

    async def read_response(self, *, size, headers=b"", pauses):
        """Ask, pause for the given seconds, and return whether the body was whole."""
        loop = asyncio.get_running_loop()
        request = b"GET / HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n"
        await loop.sock_sendall(self._sock, request)
        data = b""
        for seconds in pauses:
            await asyncio.sleep(seconds)
            data += await loop.sock_recv(self._sock, 65_536)
        while data.partition(b"\r\n\r\n")[2] != size * b"x":
            try:
                part = await loop.sock_recv(self._sock, 65_536)
            except ConnectionError:
                part = b""
            if not part:
                return False
            data += part
        return True

    def close(self):
        self._sock.close()


def read_slowly(*, sizes, pauses, headers=b"", stop=None):
    """Return the sizes of the responses that slow readers did not get whole."""

    async def respond(exchange):
        size = int(exchange.request.header("x-size"))
        await exchange.respond(200, (), size * b"x")

    async def run():
        server = HttpServer(handler=respond)
        address = await server.start("127.0.0.1", 0)
        readers = [SlowReader(address) for _ in sizes]
        try:
            reads = [
                asyncio.ensure_future(
                    reader.read_response(
                        size=size,
                        headers=b"X-Size: %d\r\n" % size + headers,
                        pauses=pauses,
                    )
                )
                for reader, size in zip(readers, sizes, strict=True)
            ]
            await asyncio.sleep(0.3)
            if stop is not None:
                await stop(server)
            results = await asyncio.gather(*reads)
            return [
                size
                for size, is_whole in zip(sizes, results, strict=True)
                if not is_whole
            ]
        finally:
            for reader in readers:
                reader.close()
            server.stop_listening()
            server.abort_all()

    return asyncio.run(run())


async def stop_gracefully(server):
    """Stop as a program does that exits once no connection is busy."""
    server.start_draining()
    await server.stop_listening_gracefully()
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while server.busy_connections:
            await asyncio.sleep(0.05)
            server.close_unused()
    server.takes_requests = False
    # As many turns as the tasks of a program may take to end.
    for _ in range(10):
        await asyncio.sleep(0)
    server.abort_all()


@pytest.mark.parametrize("headers", [b"", b"Connection: close\r\n"])
def test_response_that_is_read_slowly_is_whole_though_the_connection_ends(headers):
    """Guards against the last bytes of a response that a close discards.

    They were cut in a planned stop, and where the caller asks for the close. Which
    sizes are cut depends on the buffers of the kernel.
    """
    stop = None if headers else stop_gracefully
    sizes = [1_000, *range(20_000, 400_000, 5_000)]
    assert read_slowly(sizes=sizes, pauses=[1.2, 1.2], headers=headers, stop=stop) == []


def test_reader_that_pauses_within_the_limit_is_not_reset():
    """Guards against a kernel limit that undercuts that for stalled readers."""
    assert read_slowly(sizes=8 * [80_000], pauses=[6.0]) == []
