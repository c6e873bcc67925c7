"""Tests of reading objects from another gateway."""

import asyncio
import zlib

import pytest

from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway.messages import ObjectPage, ObjectRecord, encode_struct
from eelgrassdale_gateway.objecthttp import ObjectClient, ObjectQuery
from eelgrassdale_gateway.objects import StoreUnavailable


@pytest.mark.parametrize("spec", [b"{", b"\xff", None])
@pytest.mark.parametrize("since", [None, 3])
def test_malformed_object_counts_as_a_failed_read(spec, since):
    """Guards against an object of another gateway that ends the task that reads it."""
    record = ObjectRecord(name="a", revision=4, spec=spec, status=b"{}")
    page = encode_struct(ObjectPage(revision=4, records=[record], changed_at=4))

    async def answer(exchange):
        await exchange.respond(200, (), zlib.compress(page))

    async def run():
        server = HttpServer(handler=answer)
        address = await server.start("127.0.0.1", 0)
        client = ObjectClient()
        query = ObjectQuery(kind="k", since=since)
        try:
            with pytest.raises(StoreUnavailable) as caught:
                await (client.list if since is None else client.watch)(address, query)
            return caught.value.is_store_failure
        finally:
            server.stop_listening()
            server.abort_all()

    assert asyncio.run(run()) is False
