"""Tests of reads that are cancelled with their connection."""

import asyncio

import pytest

from eelgrassdale.http1.receiving import Receiver


@pytest.mark.parametrize("turns", [0, 1, 5])
def test_read_after_the_connection_was_closed_says_so(turns):
    """Guards against two reads at once, whose error no task expects."""

    async def scenario():
        receiver = Receiver(reader=asyncio.StreamReader())
        receiver.pending_read()
        await asyncio.sleep(0)
        receiver.cancel_read()
        for _ in range(turns):
            await asyncio.sleep(0)
        with pytest.raises(ConnectionAbortedError):
            await receiver.receive(timeout=0.1)

    asyncio.run(scenario())
