"""Tests of client connections against peers that misbehave."""

import asyncio
import socket
import struct

import pytest

from eelgrassdale.http1 import (
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    Request,
    connect,
)

REQUEST = Request(method="GET", target="/", headers=(("host", "a"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def run_against_peer(answers, client, *, reset=False, hold=False):
    """Run `client(address)` against a peer that sends one response per request.

    After the last response the peer waits for the client to close if `hold`
    is true, and closes the connection with a reset if `reset` is true.
    """

    async def run():
        async def answer_all(reader, writer):
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

        async def peer(reader, writer):
            try:
                await answer_all(reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        async with server, asyncio.timeout(5):
            return await client(server.sockets[0].getsockname())

    return asyncio.run(run())


async def send_and_read(address):
    conn = await connect(address, timeout=1)
    try:
        await conn.send(REQUEST)
        head = await conn.head(timeout=1)
        return head, await conn.body(limit=1000, timeout=1), conn
    except ExchangeFailed:
        conn.close()
        raise


async def release_one(pool, address):
    conn = await pool.acquire(address)
    await conn.send(REQUEST)
    await conn.head(timeout=1)
    await conn.body(limit=1000, timeout=1)
    pool.release(conn)
    return conn


def test_response_without_length_ends_when_the_connection_closes():
    async def client(address):
        return (await send_and_read(address))[1]

    assert run_against_peer([b"HTTP/1.1 200 OK\r\n\r\nwhole"], client) == b"whole"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200",
        b"no answer\r\n\r\n",
        *(
            b"HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n" % status
            for status in (b"000", b"099", b"600", b"999", b"abc", b"")
        ),
        b"HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"",
    ],
)
def test_truncated_or_invalid_response_is_an_error(answer):
    async def client(address):
        with pytest.raises(ExchangeFailed):
            await send_and_read(address)

    run_against_peer([answer], client)


def test_response_without_length_ended_by_a_reset_is_an_error():
    async def client(address):
        with pytest.raises(ExchangeFailed):
            await send_and_read(address)

    run_against_peer([b"HTTP/1.1 200 OK\r\n\r\npart"], client, reset=True)


def test_connection_with_bytes_after_a_response_is_not_reused():
    """Otherwise a surplus response would be matched to the next request."""

    async def client(address):
        _, body, conn = await send_and_read(address)
        return body, conn.release()

    assert run_against_peer([OK + OK], client, hold=True) == (b"ok", False)


def test_idle_connection_that_received_bytes_is_not_reused():
    async def client(address):
        pool = ConnectionPool(connect_seconds=1)
        first = await release_one(pool, address)
        while first.is_idle():
            await asyncio.sleep(0.01)
        second = await pool.acquire(address)
        return first is second

    assert run_against_peer([OK], client) is False


def test_pool_reuses_idle_connections_except_for_fresh_ones():
    async def client(address):
        pool = ConnectionPool(connect_seconds=1)
        first = await release_one(pool, address)
        fresh = await pool.acquire(address, fresh=True)
        try:
            return await pool.acquire(address) is first, fresh is first
        finally:
            fresh.close()
            first.close()

    assert run_against_peer([OK], client, hold=True) == (True, False)


def test_connection_that_its_server_closed_is_closed_though_it_is_not_used_again():
    async def client(address):
        conn = await release_one(ConnectionPool(connect_seconds=1), address)
        while not conn.is_closed():
            await asyncio.sleep(0.05)

    run_against_peer([OK], client)


def test_idle_connections_are_closed_when_the_event_loop_ends():
    """Otherwise their finalizers raise errors whenever they are collected."""

    async def client(address):
        return await release_one(ConnectionPool(connect_seconds=1), address)

    assert run_against_peer([OK], client, hold=True).is_closed()


def test_refused_connection_raises_connect_failed():
    async def run():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = sock.getsockname()
        with pytest.raises(ConnectFailed):
            await connect(address, timeout=1)

    asyncio.run(run())


def test_unresponsive_peer_causes_a_timeout():
    async def client(address):
        conn = await connect(address, timeout=1)
        await conn.send(REQUEST)
        with pytest.raises(TimeoutError):
            await conn.head(timeout=0.05)
        conn.close()

    run_against_peer([b""], client, hold=True)
