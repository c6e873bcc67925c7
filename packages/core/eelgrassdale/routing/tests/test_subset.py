"""Tests of the bounded subset of backend servers."""

from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.routing.choice import Place
from eelgrassdale.routing.subset import choose_subset, subset_size

HERE = Place(data_centre="n1", region="n")


def members(count, data_centre="n1"):
    """Return backend servers of one data centre."""
    return [
        Member(
            name=f"{data_centre}-{number}",
            role=Role.BACKEND,
            data_centre=data_centre,
            region=data_centre[0],
            node_address="127.0.0.1:1",
        )
        for number in range(count)
    ]


def subset(found, node="entry-1"):
    """Return the subset of 8 of an entry node."""
    return choose_subset(service="lids", node=node, place=HERE, members=found, size=8)


def test_subset_is_bounded_and_keeps_places_outside_the_data_centre():
    found = subset(members(100) + members(100, "s1"))
    assert len(found) == 8
    assert sum(name.startswith("s1") for name in found) == 2


def test_small_services_are_used_whole():
    assert len(subset(members(2) + members(3, "s1"))) == 5


def test_region_comes_before_other_regions():
    found = subset(members(6) + members(2, "n2") + members(9, "s1"))
    assert {name for name in found if not name.startswith("n1")} == {"n2-0", "n2-1"}


def test_lost_member_moves_one_place_only():
    before = subset(members(100))
    left = [m for m in members(100) if m.name != before[0]]
    assert len(set(subset(left)) - set(before)) == 1


def test_entry_nodes_spread_over_all_backend_servers():
    used = {name for n in range(60) for name in subset(members(100), node=f"e{n}")}
    assert len(used) > 90


def test_links_of_many_services_stay_within_the_bound():
    # Guards against threads and polls that grow with the number of services.
    for services in range(1, 17):
        size = subset_size(services=services, size=32, max_links=64)
        assert size * services <= 64
        assert size >= 4
