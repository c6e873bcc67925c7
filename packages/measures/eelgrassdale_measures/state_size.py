"""Memory and decision times of one node, by the number of nodes.

Runs in one process, without sockets. Entry nodes and backend servers have the
proportions of the planned deployment (330 to 950), in 12 data centres of 3
regions. Each figure is given for four node counts, with the slope of the
fitted line and its value at 1,280 nodes.
"""

import json
import time
import tracemalloc
from collections.abc import Callable, Iterable

from eelgrassdale.catalog import (
    ClientAccount,
    DataCentre,
    Service,
    ServiceKind,
    Vm,
    encode_object,
)
from eelgrassdale.clock import ManualClock
from eelgrassdale.hashing import digest_of
from eelgrassdale.identity import Identity, Role
from eelgrassdale.membership.members import Members
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.routing.choice import Location
from eelgrassdale.routing.subset import choose_subset
from eelgrassdale.spread.head import Head, encode_head
from eelgrassdale.spread.replica import Replica, head_digest_of
from eelgrassdale.spread.watchers import (
    agents_to_probe,
    entry_nodes_to_probe,
    push_targets,
)
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.weights.ownership import assign_owners
from eelgrassdale.wire import ConfigDelta, ConfigObject
from eelgrassdale_measures.slopes import fitted_value, slope

NODE_COUNTS = (160, 320, 640, 1_280)
PLANNED_NODE_COUNT = 1_280
ENTRY_SHARE = 330 / 1_280
DATA_CENTRE_COUNT = 12
REGION_COUNT = 3
SERVICE_COUNT = 20
ACCOUNT_COUNT = 100
CHUNK_COUNT = 1_024
REPEAT_COUNT = 5
PROBED_ENTRY_NODE_COUNT = 2
PROBE_LIMIT = 32


def run() -> Iterable[dict]:
    """Yield one line for each node count, and one with slopes and fitted values."""
    results = [_measure_at(node_count) for node_count in NODE_COUNTS]
    yield from results
    figures = [name for name in results[0] if name != "nodes"]
    yield {
        "slope_per_node": {
            name: _round_significant(
                slope(NODE_COUNTS, [line[name] for line in results])
            )
            for name in figures
        },
        "at_1280_nodes": {
            name: _round_significant(
                fitted_value(
                    NODE_COUNTS, [line[name] for line in results], PLANNED_NODE_COUNT
                )
            )
            for name in figures
        },
    }


def _measure_at(node_count: int) -> dict:
    vm_list = _vm_list_body(node_count)
    delta = _full_delta(node_count)
    tracemalloc.start()
    table, replica = _empty_state()
    table.apply_vm_list(vm_list)
    replica.apply_if_newer(delta)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    members = table.current()
    change = _single_change(replica, delta)
    local_backends = _backend_names(members, "dc-0")
    return {
        "nodes": node_count,
        "state_bytes": state_bytes,
        "vm_list_bytes": len(vm_list),
        "head_bytes": len(_head_body(delta)),
        "change_bytes": sum(len(obj.body) + 64 for obj in change.changed),
        "whole_configuration_bytes": sum(len(obj.body) for obj in delta.changed),
        "take_change_ms": _cpu_milliseconds(lambda: _apply_to_copy(replica, change)),
        "take_vm_list_ms": _cpu_milliseconds(
            lambda: _empty_state()[0].apply_vm_list(vm_list)
        ),
        "choose_subset_ms": _cpu_milliseconds(lambda: _choose_subset(members)),
        "push_targets": len(push_targets(members, _identity())),
        "push_targets_ms": _cpu_milliseconds(
            lambda: push_targets(members, _identity())
        ),
        "plan_probes_ms": _cpu_milliseconds(lambda: _plan_probes(members)),
        "expire_hints_ms": _cpu_milliseconds(table.expire_hints),
        "assign_owners_ms": _cpu_milliseconds(
            lambda: assign_owners(
                manifest="m", count=CHUNK_COUNT, members=local_backends
            )
        ),
    }


def _empty_state() -> tuple[MembershipTable, Replica]:
    monitor = InvariantMonitor(metrics=Metrics())
    table = MembershipTable(clock=ManualClock(), monitor=monitor)
    return table, Replica(monitor=monitor)


def _identity() -> Identity:
    return Identity(
        name="entry-0",
        role=Role.ENTRY,
        data_centre="dc-0",
        region="region-0",
        node_address="10.0.0.1:7000",
        incarnation=1,
    )


def _vm_list_body(node_count: int) -> bytes:
    entry_count = round(node_count * ENTRY_SHARE)
    vms = [
        _vm_entry("entry", "entry", number)
        if number < entry_count
        else _vm_entry("runner", "backend", number - entry_count)
        for number in range(node_count)
    ]
    return json.dumps({"version": 1, "vms": vms}).encode()


def _vm_entry(prefix: str, role: str, number: int) -> dict:
    data_centre = number % DATA_CENTRE_COUNT
    return {
        "name": f"{prefix}-{number}",
        "role": role,
        "data_centre": f"dc-{data_centre}",
        "region": f"region-{data_centre % REGION_COUNT}",
        "node_address": f"10.{data_centre}.{number // 250}.{number % 250}:7000",
        "caller_address": f"10.{data_centre}.{number // 250}.{number % 250}:8080",
        "state": "live",
    }


def _full_delta(node_count: int) -> ConfigDelta:
    backend_count = node_count - round(node_count * ENTRY_SHARE)
    objects = [
        *[
            DataCentre(name=f"dc-{number}", region=f"region-{number % REGION_COUNT}")
            for number in range(DATA_CENTRE_COUNT)
        ],
        *[
            Service(name=f"service-{number}", kind=ServiceKind.MODEL)
            for number in range(SERVICE_COUNT)
        ],
        *[ClientAccount(name=f"account-{number}") for number in range(ACCOUNT_COUNT)],
        *[
            Vm(
                name=f"runner-{number}",
                data_centre=f"dc-{number % DATA_CENTRE_COUNT}",
                service=f"service-{number % SERVICE_COUNT}",
            )
            for number in range(backend_count)
        ],
    ]
    return _delta(base=0, generation=1, objects=objects, digests={})


def _single_change(replica: Replica, full_delta: ConfigDelta) -> ConfigDelta:
    account = ClientAccount(name="account-0", weight=7)
    digests = {obj.name: obj.digest for obj in full_delta.changed}
    return _delta(base=1, generation=2, objects=[account], digests=digests)


def _delta(
    *, base: int, generation: int, objects: list, digests: dict[str, str]
) -> ConfigDelta:
    changed = [
        ConfigObject(name=obj.name, digest=digest_of(obj.body), body=obj.body)
        for obj in map(encode_object, objects)
    ]
    digests_after = {**digests, **{obj.name: obj.digest for obj in changed}}
    return ConfigDelta(
        base=base,
        generation=generation,
        head_digest=head_digest_of(digests_after),
        changed=changed,
        removed=[],
        members_version=0,
        members=b"",
    )


def _head_body(delta: ConfigDelta) -> bytes:
    digests = {obj.name: obj.digest for obj in delta.changed}
    return encode_head(Head(generation=1, operations=("0" * 32,), objects=digests))


def _apply_to_copy(replica: Replica, change: ConfigDelta) -> None:
    copy = Replica(monitor=InvariantMonitor(metrics=Metrics()))
    copy._state = replica.state()
    is_accepted = copy.apply_if_newer(change)
    if not is_accepted:
        raise RuntimeError("the replica did not accept the delta to generation 2")


def _backend_names(members: Members, data_centre: str) -> list[str]:
    return [
        member.name
        for member in members.by_name.values()
        if member.role is Role.BACKEND and member.data_centre == data_centre
    ]


def _choose_subset(members: Members) -> None:
    backends = [m for m in members.by_name.values() if m.role is Role.BACKEND]
    location = Location(data_centre="dc-0", region="region-0")
    choose_subset(
        service="service-0", node="entry-0", location=location, members=backends
    )


def _plan_probes(members: Members) -> None:
    entry_nodes_to_probe(members, _identity(), PROBED_ENTRY_NODE_COUNT)
    agents_to_probe(members, _identity(), PROBE_LIMIT)


def _cpu_milliseconds(call: Callable[[], object]) -> float:
    """Return the shortest CPU time of several calls in milliseconds."""
    times = []
    for _ in range(REPEAT_COUNT):
        start = time.thread_time()
        call()
        times.append(time.thread_time() - start)
    return round(min(times) * 1_000, 3)


def _round_significant(value: float) -> float:
    return float(f"{value:.4g}")
