"""One failure each, on simulated time."""

import asyncio

import pytest

from eelgrassdale_gateway.duties.tests.simulation import EPOCH, World, simulate
from eelgrassdale_gateway.objects import StoredObject

LEASE = 3.0


def window_of(world):
    return int((EPOCH.timestamp() + world.now) // world.cfg.window_seconds)


async def next_window(world):
    window = window_of(world) + 1
    await world.until(lambda: window_of(world) == window)
    return window


async def report_of(world, window):
    await world.until(lambda: window in world.accepted, 30)
    return world.check_invariants()[window]


def test_nobody_takes_over_while_the_holder_renews():
    """Guards against a lease that changes without need."""

    async def run():
        world = World()
        holder = await world.start()
        token = holder.duties.current_permit().token
        await asyncio.sleep(60)
        assert holder.duties.current_permit().token == token == 1
        # One renewal a second, and two candidates that read every 1.5 s.
        assert world.store_calls < 60 * 3.2
        return world.check_invariants()

    assert simulate(run())


def test_counts_of_all_gateways_are_reported_once_and_in_time():
    """Guards against counts that are lost or added twice on the way."""

    async def run():
        world = World()
        await world.start()
        first = window_of(world) + 1
        for _ in range(200):
            await asyncio.sleep(0.1)
            for number, node in enumerate(world.nodes.values()):
                node.count("a", number + 1)
        for window in (first, first + 1, first + 2):
            report = await report_of(world, window)
            assert report == {"a": world.truth[window, "a"]}
            ends_at = (window + 1) * world.cfg.window_seconds - EPOCH.timestamp()
            assert world.accepted[window] - ends_at < 4
        windows = [arrival[3] for arrival in world.arrivals if arrival[3]]
        assert len(windows) == len(set(windows))

    simulate(run())


def test_holder_suspended_between_check_and_send_does_not_act_afterwards():
    """Guards against a second call with the old token after the resumption."""

    async def run():
        world = World()
        holder = await world.start()
        holder.freeze_before_arrival = 8.0
        successor = await world.next_holder(holder)
        await asyncio.sleep(15)
        world.check_invariants()
        late = [a for a in world.arrivals if a[1] == holder.name and a[0] > 8]
        assert all(is_exempt for *_, is_exempt in late)
        assert successor.duties.current_permit().token == 2

    simulate(run())


def test_holder_cut_off_from_the_store_only_stops_before_the_takeover():
    """Guards against two holders that both reach the cloud API."""

    async def run():
        world = World()
        holder = await world.start()
        holder.is_store_cut = True
        cut_at = world.now
        await world.next_holder(holder)
        assert not holder.duties.current_permit()
        assert world.now - cut_at < 2.5 * LEASE
        await asyncio.sleep(10)
        world.check_invariants()

    simulate(run())


def test_record_of_a_killed_holder_is_sent_by_the_next_one():
    """Guards against other counts, or none, where the report was not yet sent."""

    async def run():
        world = World()
        holder = await world.start()
        world.cloud_answer = lambda: 500
        window = await next_window(world)
        holder.count("a", 5)
        await world.until(lambda: ("usage", str(window)) in world.objects)
        record = world.objects["usage", str(window)].spec["counts"]
        holder.kill()
        world.cloud_answer = lambda: 200
        assert await report_of(world, window) == record
        assert world.objects["usage", str(window)].spec["accepted"] is False

    simulate(run())


@pytest.mark.parametrize("field", ["lost_requests", "lost_answers"])
def test_renewal_without_an_answer_is_resolved_by_reading(field):
    """Guards against a holder that loses its own lease by a lost message."""

    async def run():
        world = World()
        holder = await world.start()
        await asyncio.sleep(5)
        setattr(holder, field, 1)
        await asyncio.sleep(10)
        assert holder.duties.current_permit().token == 1
        assert world.objects["leases", "duties"].spec["renewal"] > 10

    simulate(run())


@pytest.mark.parametrize("field", ["lost_requests", "lost_answers"])
def test_record_without_an_answer_is_reported_with_the_stored_counts(field):
    """Guards against a report whose counts differ from those in the store."""

    async def run():
        world = World()
        holder = await world.start()
        window = await next_window(world)
        holder.count("a", 3)
        ends_at = (window + 1) * world.cfg.window_seconds - EPOCH.timestamp()
        await asyncio.sleep(ends_at + 2.5 - world.now)
        setattr(holder, field, 3)
        assert await report_of(world, window) == {"a": 3}
        assert world.objects["usage", str(window)].spec["counts"] == {"a": 3}

    simulate(run())


def test_new_era_ends_the_lease_and_keeps_tokens_and_reports():
    """Guards against a second report where the store lost the first one's record."""

    async def run():
        world = World()
        copy = world.copy_of_store()
        holder = await world.start()
        await asyncio.sleep(20)
        reported = world.check_invariants()
        holder.kill()
        world.restore(copy)
        successor = await world.next_holder(holder)
        assert successor.duties.current_permit().token == (1 << 32) + 2
        await asyncio.sleep(20)
        assert reported.items() <= world.check_invariants().items()
        stored = {int(name) for kind, name in world.objects if kind == "usage"}
        assert set(reported) <= stored
        assert len(world.accepted) > len(reported)

    simulate(run())


def test_window_whose_record_was_lost_is_not_reported_again():
    """Guards against a second report with the counts that another gateway knows."""

    async def run():
        world = World()
        holder = await world.start()
        window = await next_window(world)
        copy = world.copy_of_store()
        holder.is_peers_cut = True
        holder.count("a", 5)
        assert await report_of(world, window) == {"a": 5}
        holder.kill()
        world.restore(copy)
        successor = await world.next_holder(holder)
        await asyncio.sleep(20)
        assert world.check_invariants()[window] == {"a": 5}
        assert successor.duties.reporter.unknown_count >= 1

    simulate(run())


def test_holder_writes_its_lease_again_in_the_new_era():
    """Guards against a pause of the duties where the holder has survived."""

    async def run():
        world = World()
        copy = world.copy_of_store()
        holder = await world.start()
        world.restore(copy)
        await world.until(
            lambda: (
                (permit := holder.duties.current_permit())
                and permit.token == (1 << 32) + 2
            ),
            3,
        )

    simulate(run())


@pytest.mark.parametrize("seconds", [12.0, -12.0])
def test_clock_of_the_holder_that_jumps_closes_no_window_early(seconds):
    """Guards against reports of windows that go on."""

    async def run():
        world = World()
        holder = await world.start()
        await asyncio.sleep(10)
        holder.wall_offset = seconds
        window = window_of(world) + 1
        others = [node for node in world.nodes.values() if node is not holder]
        while window_of(world) <= window:
            others[0].count("a")
            others[1].count("a")
            await asyncio.sleep(0.2)
        assert await report_of(world, window) == {"a": world.truth[window, "a"]}

    simulate(run())


def test_counts_of_a_restarted_gateway_are_added_to_the_old_ones():
    """Guards against counts of one process that replace those of another."""

    async def run():
        world = World()
        holder = await world.start()
        other = next(node for node in world.nodes.values() if node is not holder)
        window = await next_window(world)
        other.count("a", 4)
        await asyncio.sleep(1.5)
        other.kill()
        other.start()
        other.count("a", 3)
        assert await report_of(world, window) == {"a": 7}

    simulate(run())


def test_lost_and_repeated_datagrams_change_no_count():
    """Guards against counts that depend on the fate of single datagrams."""

    async def run():
        world = World(seed=3)
        holder = await world.start()
        world.loss = 0.3
        window = window_of(world) + 1
        while window_of(world) <= window:
            for node in world.nodes.values():
                node.count("a")
            await asyncio.sleep(0.1)
        report = await report_of(world, window)
        true_count = world.truth[window, "a"]
        tolerance = world.cfg.usage_tolerance * true_count
        assert abs(report["a"] - true_count) <= tolerance
        assert holder.duties is not None

    simulate(run())


@pytest.mark.parametrize("status", [429, 500, None])
def test_report_is_repeated_with_the_same_counts(status):
    """Guards against a window that is given up at the first failure."""

    async def run():
        world = World()
        holder = await world.start()
        window = await next_window(world)
        holder.count("a", 2)
        world.cloud_answer = lambda: status
        await asyncio.sleep(25)
        reports = [arrival[3] for arrival in world.arrivals if arrival[3]]
        assert window in reports
        # Each report takes its turn, at most 4 s apart.
        assert 7 <= len(reports) <= 16
        world.cloud_answer = lambda: 200
        assert await report_of(world, window) == {"a": 2}

    simulate(run())


def test_window_in_which_the_only_gateway_started_is_unknown():
    """Guards against a report of a part of a window."""

    async def run():
        world = World(names=("g-1",))
        await asyncio.sleep(2)
        first = window_of(world)
        holder = await world.start()
        await report_of(world, first + 1)
        assert first not in world.accepted
        assert holder.duties.reporter.unknown_count == 1

    simulate(run())


def test_lease_that_cannot_be_read_is_taken_over_after_the_time():
    """Guards against duties that an invalid object blocks for ever."""

    async def run():
        world = World()
        world.objects["leases", "duties"] = StoredObject(
            name="duties", revision=5, spec=["no lease"]
        )
        holder = await world.start()
        assert world.now > 4
        assert holder.duties.current_permit().token == 1

    simulate(run())


def test_gateways_beyond_the_first_three_neither_read_nor_write():
    """Guards against store calls that grow with the number of gateways."""

    async def run():
        world = World(names=tuple(f"g-{number}" for number in range(9)))
        holder = await world.start()
        calls = world.store_calls
        await asyncio.sleep(30)
        assert world.store_calls - calls < 30 * 3.5
        candidates = holder.duties.candidates()
        assert len(candidates) == 3
        assert holder.name in [candidate.name for candidate in candidates]

    simulate(run())


def test_counts_of_a_suspended_gateway_are_waited_for():
    """Guards against reports that lack what a gateway had counted but not sent."""

    async def run():
        world = World()
        holder = await world.start()
        other = next(node for node in world.nodes.values() if node is not holder)
        await next_window(world)
        other.count("a")
        window = await next_window(world)
        other.is_peers_cut = True
        other.count("a", 9)
        await asyncio.sleep(3)
        other.freeze(6.5)
        other.is_peers_cut = False
        assert await report_of(world, window) == {"a": 9}
        ends_at = (window + 1) * world.cfg.window_seconds - EPOCH.timestamp()
        assert world.accepted[window] - ends_at < world.cfg.late_seconds

    simulate(run())


def test_holder_that_cannot_reach_the_cloud_api_leaves_the_duties_to_others():
    """Guards against duties that rest while another gateway could do them."""

    async def run():
        world = World()
        holder = await world.start()
        window = await next_window(world)
        holder.count("a")
        holder.is_cloud_cut = True
        successor = await world.next_holder(holder)
        assert await report_of(world, window) == {"a": 1}
        assert successor.duties.current_permit().token == 2
        await asyncio.sleep(40)
        world.check_invariants()

    simulate(run())
