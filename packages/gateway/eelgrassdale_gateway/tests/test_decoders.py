"""Property tests of what decodes the messages of other processes."""

import asyncio
import json
import zlib
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from thriftpy2.thrift import TType

from eelgrassdale_gateway import messages as m
from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.objecthttp import ObjectClient, ObjectQuery
from eelgrassdale_gateway.objects import HistoryGone, StoreUnavailable
from eelgrassdale_gateway.tests.test_peers import FakeNetwork

SEEDED = settings(derandomize=True, max_examples=200, deadline=None)
JSON = (b"", b"{", b"{}", b"[7]", b"\xff", b"[" * 5000)
VALUES = {
    TType.BOOL: st.booleans(),
    TType.I32: st.integers(-5, 2**31 - 1),
    TType.I64: st.integers(-5, 2**62),
    TType.DOUBLE: st.floats(),
    TType.STRING: st.sampled_from(["", "a", "s-1", "n1"]),
    TType.BINARY: st.sampled_from(JSON),
}


def structs(cls):
    """Return messages of a class, any of whose fields may be missing."""
    fields = {spec[1]: values(spec) for spec in cls.thrift_spec.values()}
    optional = {
        name: st.one_of(st.none(), *[value] * 7) for name, value in fields.items()
    }
    return st.builds(cls, **optional)


def values(spec):
    """Return values of a field with this entry in the specification of its struct."""
    if spec[0] == TType.STRUCT:
        return structs(spec[2])
    if spec[0] == TType.LIST:
        of = spec[2] if isinstance(spec[2], tuple) else (spec[2],)
        return st.lists(values((of[0], "", *of[1:])), max_size=2)
    return VALUES[spec[0]]


DATAGRAMS = st.one_of(
    structs(m.Datagram), structs(m.Heartbeat).map(lambda h: m.Datagram(heartbeat=h))
).map(m.encode_struct) | st.binary(max_size=60)


@SEEDED
@given(st.lists(DATAGRAMS, max_size=6))
def test_datagrams_of_any_content_leave_a_gateway_working(datagrams):
    """Guards against a message that makes later heartbeats or loads wrong."""
    wire = FakeNetwork()
    node, other = wire.add("a"), wire.add("b")
    for data in datagrams:
        node.datagram_received(data, ("c", 1))
    other.loads.record_send("s-9", tokens=5, now=0.0)
    other.table.add(("a", 1))
    wire.run(rounds=12)
    assert "b" in {peer.info.name for peer in node.table.live()}
    load = node.loads.server_load("s-9", now=wire.clock.monotonic())
    assert load == Load(requests=1, tokens=5)
    assert all(None not in item for item in node.newest_positions().items())


def read(answer, use):
    """Use an object client whose next response has this body; None if it is refused."""
    client = ObjectClient()

    async def call(_address, _req, *, limit):
        return SimpleNamespace(status=200, headers=()), answer

    client._pool.call = call
    try:
        return asyncio.run(use(client, ("h", 1)))
    except (StoreUnavailable, HistoryGone):
        return None


@SEEDED
@given(
    structs(m.ObjectPage).map(m.encode_struct).map(zlib.compress) | st.binary(),
    structs(m.GatewayList).map(m.encode_struct) | st.binary(max_size=40),
)
def test_answers_of_another_gateway_are_valid_or_refused(page, gateways):
    query = ObjectQuery(kind="k", since=None)
    listing = read(page, lambda client, address: client.list(address, query))
    changes = read(page, lambda client, address: client.watch(address, query))
    for item in listing[0].objects if listing else ():
        assert isinstance(item.name, str)
        json.dumps((item.spec, item.status))
    for found in (listing[0] if listing else None, changes):
        assert found is None or isinstance(found.revision, int)
    for gateway in read(gateways, ObjectClient.gateways) or ():
        assert None not in gateway.address
