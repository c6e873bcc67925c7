"""Tests of client connections against peers that misbehave."""

import asyncio
import socket
import struct

import pytest

from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    ExchangeBroken,
    Request,
    connect,
)

REQUEST = Request(method="GET", target="/", headers=(("host", "a"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def talk(answers, client, *, reset=False, hold=False):
    """Run `client(address)` against a peer that sends one answer for each request."""

    async def run():
        async def peer(reader, writer):
            for answer in answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
            if hold:
                await reader.read()
            if reset:
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        async with server, asyncio.timeout(5):
            return await client(server.sockets[0].getsockname())

    return asyncio.run(run())


async def fetch(address):
    conn = await connect(address, timeout=1)
    await conn.send(REQUEST)
    head = await conn.head(timeout=1)
    return head, await conn.body(limit=1000, timeout=1), conn


def test_answer_without_a_length_ends_with_its_connection():
    async def client(address):
        return (await fetch(address))[1]

    assert talk([b"HTTP/1.1 200 OK\r\n\r\nwhole"], client) == b"whole"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200",
        b"no answer\r\n\r\n",
        b"",
    ],
)
def test_answer_that_is_cut_off_is_not_complete(answer):
    async def client(address):
        with pytest.raises(ExchangeBroken):
            await fetch(address)

    talk([answer], client)


def test_answer_without_a_length_that_is_reset_is_not_complete():
    async def client(address):
        with pytest.raises(ExchangeBroken):
            await fetch(address)

    talk([b"HTTP/1.1 200 OK\r\n\r\npart"], client, reset=True)


def test_connection_with_bytes_behind_an_answer_is_not_used_again():
    """A second answer would be taken for the one to the next request."""

    async def client(address):
        _, body, conn = await fetch(address)
        return body, conn.release()

    assert talk([OK + OK], client, hold=True) == (b"ok", False)


def test_idle_connection_that_receives_bytes_is_not_used_again():
    async def client(address):
        pool = ConnectionPool(connect_seconds=1)
        first = await pool.acquire(address)
        await first.send(REQUEST)
        await first.head(timeout=1)
        await first.body(limit=1000, timeout=1)
        pool.release(first)
        while first.is_quiet():
            await asyncio.sleep(0.01)
        second = await pool.acquire(address)
        return first is second

    assert talk([OK], client) is False


def test_connection_is_used_again_and_a_fresh_one_is_not():
    async def client(address):
        pool = ConnectionPool(connect_seconds=1)
        first = await pool.acquire(address)
        await first.send(REQUEST)
        await first.head(timeout=1)
        await first.body(limit=1000, timeout=1)
        pool.release(first)
        fresh = await pool.acquire(address, fresh=True)
        return await pool.acquire(address) is first, fresh is first

    assert talk([OK], client, hold=True) == (True, False)


def test_refused_connection_means_that_nothing_was_sent():
    async def run():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = sock.getsockname()
        with pytest.raises(ConnectFailed):
            await connect(address, timeout=1)

    asyncio.run(run())


def test_silent_peer_ends_in_a_timeout():
    async def client(address):
        conn = await connect(address, timeout=1)
        await conn.send(REQUEST)
        with pytest.raises(TimeoutError):
            await conn.head(timeout=0.05)
        conn.close()

    talk([b""], client, hold=True)
