"""Tests of the lookup of the longest prefix."""

import sys

from hypothesis import given
from hypothesis import strategies as st

from eelgrassdale_gateway.model import Route, RouteTable
from eelgrassdale_gateway.prefixes import PrefixTree

PATHS = st.lists(st.sampled_from(["/", "a", "bb", "%2F", "?"]), max_size=10).map(
    "".join
)


def count_calls(function, *args):
    """Return the number of calls of functions that a function makes."""
    calls = 0

    def count(_frame, event, _arg):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function(*args)
    finally:
        sys.setprofile(None)
    return calls


@given(st.lists(PATHS, max_size=12), PATHS)
def test_lookup_finds_what_a_plain_search_finds(prefixes, path):
    tree = PrefixTree((prefix, prefix) for prefix in prefixes)
    matching = [p for p in prefixes if p.endswith("/") and path.startswith(p)]
    assert tree.find(path) == max(matching, key=len, default=None)


def test_cost_of_a_lookup_does_not_grow_with_the_segments_of_a_path():
    """Guards against paths that stop the event loop.

    A path of 15,500 slashes took 50 ms, as each beginning of it was looked up.
    """
    routes = tuple(
        Route(name=prefix, host="h", prefix=prefix, splits=())
        for prefix in ("/", "/a/", "/a/b/", "/c/d/e/")
    )
    table = RouteTable(version=1, routes=routes)
    table.route_for("h", "/")
    short = count_calls(table.route_for, "h", "/a/b/x")
    for path in (15_500 * "/", 7_700 * "/a", "/a/b" + 7_700 * "/a", "/" + 15_500 * "a"):
        assert count_calls(table.route_for, "h", path) <= short + 2
