"""Property tests of what decodes the messages of other processes."""

import asyncio
import json
import zlib
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassdale_gateway.eventstream import EventSplitter, InvalidEventStream
from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.messages import (
    AdvisoryNotice,
    GatewayEntry,
    GatewayList,
    Heartbeat,
    KindRevision,
    ObjectPage,
    ObjectRecord,
    PeerAddress,
    ServerAdvisory,
    ServerLoad,
    ServerNotice,
    WaitingCount,
    encode,
    encode_struct,
)
from eelgrassdale_gateway.objecthttp import ObjectClient, ObjectQuery
from eelgrassdale_gateway.objects import HistoryGone, StoreUnavailable
from eelgrassdale_gateway.tests.test_peers import FakeNetwork

SEEDED = settings(derandomize=True, max_examples=200, deadline=None)
NUMBERS = st.none() | st.integers(-5, 2**31 - 1)
TEXTS = st.none() | st.sampled_from(["", "a", "s-1", "n1"])
JSON = st.none() | st.sampled_from([b"", b"{", b"{}", b"[7]", b"\xff", b"[" * 5000])
RECORDS = st.builds(
    ObjectRecord,
    name=TEXTS,
    revision=NUMBERS,
    spec=JSON,
    status=JSON,
    is_deleted=st.none() | st.booleans(),
)
PAGES = st.builds(
    ObjectPage,
    revision=NUMBERS,
    records=st.none() | st.lists(RECORDS, max_size=2),
    changed_at=NUMBERS,
    outage_ms=NUMBERS,
)
ENTRIES = st.builds(
    GatewayEntry, name=TEXTS, host=TEXTS, port=NUMBERS, data_centre=TEXTS, region=TEXTS
)
GATEWAYS = st.builds(GatewayList, gateways=st.lists(ENTRIES, max_size=2))


def few(message, **fields):
    return st.lists(st.builds(message, **fields), max_size=2)


HEARTBEATS = st.builds(
    Heartbeat,
    name=TEXTS,
    incarnation=NUMBERS,
    sequence=NUMBERS,
    is_leaving=st.none() | st.booleans(),
    caller_host=TEXTS,
    caller_port=NUMBERS,
    data_centre=TEXTS,
    region=TEXTS,
    loads=few(ServerLoad, server=TEXTS, requests=NUMBERS, tokens=NUMBERS),
    known=few(PeerAddress, name=TEXTS, host=TEXTS, port=NUMBERS),
    revisions=st.none() | few(KindRevision, kind=TEXTS, revision=NUMBERS, era=NUMBERS),
    live_members=st.none() | st.lists(st.integers(0, 9), max_size=2),
    waiting=st.none()
    | few(WaitingCount, service_name=TEXTS, data_centre=TEXTS, requests=NUMBERS),
)
NOTICES = st.builds(
    ServerNotice,
    host=TEXTS,
    port=NUMBERS,
    incarnation=NUMBERS,
    sequence=NUMBERS,
    is_open=st.none() | st.booleans(),
    model=TEXTS,
    version=NUMBERS,
) | st.builds(
    AdvisoryNotice,
    advisories=st.none() | few(ServerAdvisory, server=TEXTS, age_ms=NUMBERS),
)


@SEEDED
@given(st.lists(HEARTBEATS | NOTICES | st.binary(max_size=60), max_size=6))
def test_datagrams_of_any_content_leave_a_gateway_working(messages):
    """Guards against a message that makes later heartbeats or loads wrong."""
    wire = FakeNetwork()
    node, other = wire.add("a"), wire.add("b")
    for message in messages:
        data = message if isinstance(message, bytes) else encode(message)
        node.datagram_received(data, ("c", 1))
    # The sender's name may be that of the sound gateway; that one comes later.
    other.loads.record_send("s-9", tokens=5, now=0.0)
    other.table.add(("a", 1))
    wire.run(rounds=12)
    assert "b" in {peer.info.name for peer in node.table.live()}
    assert node.loads.server_load("s-9", now=wire.clock.monotonic()) == Load(
        requests=1, tokens=5
    )
    assert all(None not in item for item in node.newest_positions().items())


def read(answer, use):
    """Use an object client whose next response has this body."""
    client = ObjectClient()

    async def call(_address, _req, *, limit):
        return SimpleNamespace(status=200, headers=()), answer

    client._pool.call = call
    try:
        return asyncio.run(use(client))
    except (StoreUnavailable, HistoryGone):
        return None


@SEEDED
@given(PAGES.map(encode_struct).map(zlib.compress) | st.binary(max_size=40))
def test_pages_of_another_gateway_are_valid_or_refused(answer):
    query = ObjectQuery(kind="k", since=None)
    listing = read(answer, lambda client: client.list(("h", 1), query))
    changes = read(answer, lambda client: client.watch(("h", 1), query))
    if listing is not None:
        assert isinstance(listing[1], int)
        for item in listing[0].objects:
            assert isinstance(item.name, str)
            json.dumps((item.spec, item.status))
    for found in (listing[0] if listing else None, changes):
        assert found is None or isinstance(found.revision, int)


@SEEDED
@given(GATEWAYS.map(encode_struct) | st.binary(max_size=40))
def test_gateways_of_another_gateway_are_valid_or_refused(answer):
    for gateway in read(answer, lambda client: client.gateways(("h", 1))) or ():
        host, port = gateway.address
        assert isinstance(host, str)
        assert isinstance(port, int)


PIECES = st.sampled_from(
    [b"id: 1", b"id: \xb2", b"data: x", b"\n", b"\r\n", b"\n\n", b":", b"\0", b"error"]
)


@SEEDED
@given(st.lists(PIECES | st.binary(max_size=8), max_size=30))
def test_events_are_the_bytes_that_were_sent(pieces):
    splitter = EventSplitter()
    out = b""
    try:
        for piece in pieces:
            out += b"".join(event.data for event in splitter.feed(piece))
    except InvalidEventStream:
        pass
    assert b"".join(pieces).startswith(out)
