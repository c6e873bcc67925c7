"""Tests of what is refused or closed first when callers exceed their limits."""

import asyncio
import contextlib
import socket

import pytest

from eelgrassdale.http1 import CallerBudget, CallerLimits, HttpServer

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMITS = CallerLimits(idle_seconds=5.0)


class Servers:
    """Two servers of one budget: `busy` waits for `release`, `calm` answers at once."""

    def __init__(self, **limits):
        self.budget = CallerBudget(**limits)
        self.release = asyncio.Event()
        self.handled = 0
        self.busy = self._server(self._wait, reserved=0.4, forwards=True)
        self.calm = self._server(self._answer, reserved=0.2)
        self._writers = []

    def _server(self, handler, **share):
        share = self.budget.share(**share)
        return HttpServer(handler=handler, limits=lambda: LIMITS, share=share)

    async def _wait(self, exchange):
        self.handled += 1
        await self.release.wait()
        await exchange.respond(200)

    async def _answer(self, exchange):
        await exchange.respond(200)

    async def start(self):
        self.addresses = {
            server: await server.start("127.0.0.1", 0)
            for server in (self.busy, self.calm)
        }

    async def send(self, server, data, pause=0.05):
        """Open a connection and send bytes; return its reader."""
        reader, writer = await asyncio.open_connection(*self.addresses[server])
        self._writers.append(writer)
        writer.write(data)
        await asyncio.sleep(pause)
        return reader

    def stop(self):
        for writer in self._writers:
            writer.close()
        for server in (self.busy, self.calm):
            server.stop_listening()
            server.abort_all()


async def status_of(reader):
    """Return the status of a response, or 0 if the connection ended without one."""
    with contextlib.suppress(ConnectionError):
        return int((await reader.readline() or b"- 0").split()[1])
    return 0


def run(scenario, **limits):
    async def run_scenario():
        servers = Servers(**limits)
        await servers.start()
        try:
            async with asyncio.timeout(8):
                return await scenario(servers)
        finally:
            servers.stop()

    return asyncio.run(run_scenario())


def test_largest_and_slowest_body_is_refused_first():
    """Guards against ordinary callers that pay for a body which never ends."""

    async def scenario(servers):
        hog = await servers.send(servers.busy, HEAD % 60_000 + b"x" * 50_000)
        small = await servers.send(servers.busy, HEAD % 2000 + b"x" * 1000)
        servers.release.set()
        late = await servers.send(servers.busy, HEAD % 20_000 + b"x" * 20_000)
        statuses = await status_of(hog), await status_of(late)
        servers._writers[1].write(b"x" * 1000)
        return *statuses, await status_of(small), servers.handled

    assert run(scenario, byte_limit=100_000) == (503, 200, 200, 2)


def test_running_request_is_never_cut_and_others_are_refused():
    """Guards against a refusal of work that a backend server already runs."""

    async def scenario(servers):
        running = await servers.send(servers.busy, HEAD % 30_000 + b"x" * 30_000)
        refused = await servers.send(servers.busy, HEAD % 30_000 + b"x" * 30_000)
        refused_status = await status_of(refused)
        # Pipelined bytes are held back, not answered by closing the connection.
        servers._writers[0].write(HEAD % 90_000 + b"x" * 90_000)
        await asyncio.sleep(0.1)
        servers.release.set()
        return refused_status, await status_of(running), servers.handled

    assert run(scenario, byte_limit=100_000) == (503, 200, 1)


@pytest.mark.parametrize("is_idle", [True, False])
def test_other_ports_are_reachable_while_one_is_crowded(is_idle):
    """Guards against a readiness port that no longer answers, which ends the VM."""

    async def scenario(servers):
        data = b"" if is_idle else HEAD % 3000 + b"x" * 2900
        for _ in range(60):
            await asyncio.wait_for(servers.send(servers.busy, data, 0.01), 1)
        return await status_of(await servers.send(servers.calm, GET))

    assert run(scenario, byte_limit=100_000, connection_limit=40) == 200


def test_connection_that_never_asked_is_closed_before_an_ordinary_one():
    async def scenario(servers):
        kept = await servers.send(servers.calm, GET)
        assert await status_of(kept) == 200
        for _ in range(30):
            await servers.send(servers.calm, b"", 0.01)
        used = servers.budget.used_connections()
        servers._writers[0].write(GET)
        await kept.readuntil(b"HTTP/1.1 200")
        return used <= 20, servers.budget.closed_connections >= 10

    assert run(scenario, connection_limit=20) == (True, True)


def test_request_without_a_descriptor_for_its_backend_is_refused():
    """Guards against attempts that fail for a lack of descriptors."""

    async def scenario(servers):
        readers = [await servers.send(servers.busy, b"") for _ in range(4)]
        for writer in servers._writers:
            writer.write(GET)
            await asyncio.sleep(0.05)
        refused_status = await status_of(readers.pop())
        servers.release.set()
        statuses = [await status_of(reader) for reader in readers]
        return refused_status, statuses, servers.handled

    # One is reserved for the other server, and four and three are in use here.
    assert run(scenario, connection_limit=8) == (503, [200] * 3, 3)


def test_end_of_a_response_is_left_to_its_reader():
    """Guards against responses of finished requests that are cut for newcomers."""

    async def respond(exchange):
        transport = exchange._connection._transport
        await exchange.start(200, ())
        while not transport.get_write_buffer_size():
            await exchange.write(b"x" * 30_000)
        await exchange.finish()

    async def scenario(servers):
        servers.calm.handler = respond
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            # With a small window, so that the end of the response stays at the server.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, servers.addresses[servers.calm])
            await loop.sock_sendall(sock, GET)
            while not any(conn.has_been_answered for conn in servers.calm._connections):
                await asyncio.sleep(0.01)
            assert servers.calm.busy_connections == 1
            servers.calm.handler = servers._answer
            for _ in range(20):
                await servers.send(servers.calm, GET, 0.01)
            received = b""
            while part := await loop.sock_recv(sock, 1_000_000):
                received = received[-4:] + part
                if received.endswith(b"0\r\n\r\n"):
                    return True
        return False

    assert run(scenario, connection_limit=10)


def test_everything_is_released_in_the_end():
    """Guards against a budget that shrinks with each caller."""

    async def scenario(servers):
        servers.release.set()
        for data in (b"", GET, GET[:10], HEAD % 9 + b"x", HEAD % 9000 + b"x" * 9000):
            for server in (servers.busy, servers.calm):
                await servers.send(server, data * 3)
        servers.stop()
        budget = servers.budget
        while budget.used_connections() or budget.used_bytes():
            await asyncio.sleep(0.02)
        return budget.forwarded_requests

    assert run(scenario) == 0
