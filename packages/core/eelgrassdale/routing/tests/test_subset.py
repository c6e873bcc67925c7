"""Tests of the bounded subset of backend servers of an entry node."""

from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.routing.choice import Location
from eelgrassdale.routing.subset import choose_subset, subset_size

ENTRY_NODE_LOCATION = Location(data_centre="n1", region="n")


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


def subset(all_members, node="entry-1"):
    """Return the subset of size 8 of an entry node."""
    return choose_subset(
        service="lids",
        node=node,
        location=ENTRY_NODE_LOCATION,
        members=all_members,
        size=8,
    )


def test_subset_is_bounded_and_includes_other_data_centres():
    chosen = subset(members(100) + members(100, "s1"))
    assert len(chosen) == 8
    assert sum(name.startswith("s1") for name in chosen) == 2


def test_small_service_is_used_entirely():
    assert len(subset(members(2) + members(3, "s1"))) == 5


def test_region_comes_before_other_regions():
    chosen = subset(members(6) + members(2, "n2") + members(9, "s1"))
    assert {name for name in chosen if not name.startswith("n1")} == {"n2-0", "n2-1"}


def test_lost_member_changes_one_entry_of_the_subset():
    before = subset(members(100))
    remaining = [m for m in members(100) if m.name != before[0]]
    assert len(set(subset(remaining)) - set(before)) == 1


def test_subsets_of_many_entry_nodes_cover_most_backend_servers():
    used = {name for n in range(60) for name in subset(members(100), node=f"e{n}")}
    assert len(used) > 90


def test_links_of_many_services_stay_within_the_bound():
    # Guards against a number of threads and poll calls that grows with the number
    # of services.
    for services in range(1, 17):
        size = subset_size(services=services, size=32, max_links=64)
        assert size * services <= 64
        assert size >= 4
