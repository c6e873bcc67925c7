"""Tests of reading objects from another gateway."""

import asyncio
import random
import zlib

import pytest

from eelgrassdale.clock import ManualClock
from eelgrassdale.http1 import HttpServer
from eelgrassdale_gateway import objecthttp
from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.messages import ObjectPage, ObjectRecord, encode_struct
from eelgrassdale_gateway.objecthttp import ObjectClient, ObjectQuery, ObjectServer
from eelgrassdale_gateway.objects import (
    Change,
    HistoryGone,
    StoredObject,
    StoreUnavailable,
)


@pytest.mark.parametrize("spec", [b"{", b"\xff", None])
@pytest.mark.parametrize("since", [None, 3])
def test_malformed_object_counts_as_a_failed_read(spec, since):
    """Guards against an object of another gateway that ends the task that reads it."""
    record = ObjectRecord(name="a", revision=4, spec=spec, status=b"{}")
    page = encode_struct(ObjectPage(revision=4, records=[record], changed_at=4))

    assert asyncio.run(fail_to_read(page, since=since)) is False


@pytest.mark.parametrize("era", ["x", "-1", "2147483649"])
def test_copy_with_an_invalid_era_counts_as_a_failed_read(era):
    """Guards against positions that do not exist, which no later one would exceed."""
    page = encode_struct(ObjectPage(revision=4, records=[], changed_at=4))
    headers = (("copy-era", era),)
    assert asyncio.run(fail_to_read(page, headers=headers)) is False


def test_copies_of_two_eras_at_one_revision_differ():
    """Guards against an encoded copy that is still served after a restoration.

    Nor does a follower from the earlier era wait for changes.
    """
    change_log = ChangeLog()
    server = ObjectServer(
        change_logs=lambda: {"k": change_log},
        reads_from_store=lambda kind: True,
        gateways=list,
        clock=ManualClock(),
    )

    async def run():
        http_server = HttpServer(handler=server.handle)
        address = await http_server.start("127.0.0.1", 0)
        listings = []
        try:
            for era, name in ((0, "lost"), (2**31, "kept")):
                item = StoredObject(name=name, revision=3)
                change_log.replace({name: item}, Position(era, 5))
                query = ObjectQuery(kind="k", era=era)
                listings.append(await ObjectClient().list(address, query))
            with pytest.raises(HistoryGone):
                await ObjectClient().watch(address, ObjectQuery(kind="k", since=9))
        finally:
            http_server.stop_listening()
            http_server.abort_all()
        return [(lst.objects[0].name, lst.position, at) for lst, at in listings]

    assert asyncio.run(run()) == [
        ("lost", (0, 5), (0, 3)),
        ("kept", (2**31, 5), (2**31, 3)),
    ]


def test_encoded_pages_take_a_bounded_number_of_bytes(monkeypatch):
    """Guards against a number of pages as the bound, where each may have megabytes."""
    monkeypatch.setattr(objecthttp, "MAX_CACHED_BYTES", 30_000)
    change_log = ChangeLog()
    server = ObjectServer(
        change_logs=lambda: {"k": change_log},
        reads_from_store=lambda kind: True,
        gateways=list,
        clock=ManualClock(),
    )
    sizes = []
    for revision in range(5, 12):
        # Incompressible, so that each page has 13 kB.
        spec = random.Random(revision).randbytes(6_000).hex()
        item = StoredObject(name="o", revision=revision, spec=spec)
        change_log.replace({"o": item}, Position(0, revision))
        for since in (None, *range(5)):
            query = ObjectQuery(kind="k", since=since)
            server._encoded_page(query, change_log, [Change(object=item)])
            sizes.append(sum(map(len, server._page_cache.values())))
    assert max(sizes) <= 30_000
    assert {key[2].revision for key in server._page_cache} == {11}


async def fail_to_read(page, *, since=None, headers=()):
    """Read a page that is no valid one; return whether it counts as a store failure."""

    async def answer(exchange):
        await exchange.respond(200, headers, zlib.compress(page))

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
