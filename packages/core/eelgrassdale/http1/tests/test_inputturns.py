"""Tests that costly input of many callers leaves the event loop to the others."""

import asyncio

import pytest

from eelgrassdale.http1 import CallerLimits, HttpServer
from eelgrassdale.http1.chunkedcoding import MAX_CHUNKS_PER_PIECE, ChunkDecoder
from eelgrassdale.http1.inputturns import InputTurns

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = 40_000 * b"1\r\nx\r\n"
TEST_TIMEOUT_SECONDS = 30


def test_one_waiter_goes_on_in_each_turn():
    async def run():
        turns, order, at = InputTurns(), [], 0

        async def wait(number):
            await turns.wait()
            order.append((number, at))

        tasks = [asyncio.ensure_future(wait(number)) for number in range(5)]
        tasks[2].cancel()
        while not all(task.done() for task in tasks):
            at += 1
            await asyncio.sleep(0)
        return order

    order = asyncio.run(run())
    assert [number for number, _ in order] == [0, 1, 3, 4]
    assert len({at for _, at in order}) == 4


@pytest.mark.parametrize("callers", [1, 40])
def test_bodies_in_small_chunks_cost_one_piece_in_each_turn(monkeypatch, callers):
    """Guards against a crowd whose bodies leave no time for ordinary requests.

    100 bodies in chunks of one byte left them without an answer for 15 s. Each
    connection decoded a piece in each turn of the event loop.
    """
    pieces = []
    decode = ChunkDecoder.decode

    def count_decode(self, buffer, *, limit):
        had_many = self.has_many_chunks
        data = decode(self, buffer, limit=limit)
        if had_many and len(data) >= MAX_CHUNKS_PER_PIECE:
            pieces[-1] += 1
        return data

    monkeypatch.setattr(ChunkDecoder, "decode", count_decode)

    async def respond(exchange):
        await exchange.respond(200, (), b"")

    async def count_turns():
        while True:
            pieces.append(0)
            await asyncio.sleep(0)

    async def send(address):
        _, writer = await asyncio.open_connection(*address)
        writer.write(HEAD + CHUNKS)
        return writer

    async def run():
        server = HttpServer(handler=respond)
        address = await server.start("127.0.0.1", 0)
        counting = asyncio.ensure_future(count_turns())
        writers = [await send(address) for _ in range(callers)]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while sum(pieces) < 60:
                await asyncio.sleep(0)
        counting.cancel()
        for writer in writers:
            writer.transport.abort()
        server.stop_listening()
        server.abort_all()

    asyncio.run(run())
    assert max(pieces) == 1


def test_body_that_keeps_coming_is_refused_after_its_time():
    """Guards against a deadline that is looked at only where no byte comes."""
    limits = CallerLimits(body_seconds=0.2, body_bytes=1_000_000_000)

    async def run():
        server = HttpServer(handler=None, limits=lambda: limits)
        address = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(HEAD)

        async def send():
            while True:
                writer.write(b"8000\r\n" + 0x8000 * b"x" + b"\r\n")
                await writer.drain()

        sending = asyncio.ensure_future(send())
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            answer = await reader.read(100)
        sending.cancel()
        writer.transport.abort()
        server.stop_listening()
        server.abort_all()
        return answer

    assert asyncio.run(run()).startswith(b"HTTP/1.1 408")
