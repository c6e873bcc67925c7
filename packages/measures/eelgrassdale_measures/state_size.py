"""State of one node and the time of its decisions, by size of the fleet.

Runs in one process, without sockets. The share of entry nodes and backend
servers is that of the planned fleet (330 and 950), in 12 data centres of 3
regions. Each figure is given at four sizes with its slope and its value on
the fitted line at 1,280 nodes.
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
from eelgrassdale.membership.table import MembersTable
from eelgrassdale.routing.choice import Place
from eelgrassdale.routing.subset import choose_subset
from eelgrassdale.spread.head import Head, encode_head
from eelgrassdale.spread.replica import Replica, head_digest_of
from eelgrassdale.spread.watchers import (
    probed_agents,
    probed_entry_nodes,
    push_targets,
)
from eelgrassdale.telemetry import InvariantMonitor, Metrics
from eelgrassdale.weights.ownership import assign_owners
from eelgrassdale.wire import ConfigDelta, ConfigObject
from eelgrassdale_measures.slopes import at_size, slope

SIZES = (160, 320, 640, 1_280)
PLANNED_NODES = 1_280
ENTRY_SHARE = 330 / 1_280
DATA_CENTRES = 12
REGIONS = 3
SERVICES = 20
ACCOUNTS = 100
CHUNKS = 1_024
REPEATS = 5
PROBED_ENTRY_NODES = 2
PROBE_LIMIT = 32


def run() -> Iterable[dict]:
    """Yield one line for each size and one with the slopes."""
    results = [_at(nodes) for nodes in SIZES]
    yield from results
    figures = [name for name in results[0] if name != "nodes"]
    yield {
        "slope_per_node": {
            name: _rounded(slope(SIZES, [line[name] for line in results]))
            for name in figures
        },
        "at_1280_nodes": {
            name: _rounded(
                at_size(SIZES, [line[name] for line in results], PLANNED_NODES)
            )
            for name in figures
        },
    }


def _at(nodes: int) -> dict:
    vm_list = _vm_list_body(nodes)
    delta = _whole_delta(nodes)
    tracemalloc.start()
    table, replica = _new_state()
    table.offer_vm_list(vm_list)
    replica.offer(delta)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    members = table.current()
    change = _one_change(replica, delta)
    local = _backend_names(members, "dc-0")
    return {
        "nodes": nodes,
        "state_bytes": state_bytes,
        "vm_list_bytes": len(vm_list),
        "head_bytes": len(_head_body(delta)),
        "change_bytes": sum(len(obj.body) + 64 for obj in change.changed),
        "whole_configuration_bytes": sum(len(obj.body) for obj in delta.changed),
        "take_change_ms": _milliseconds(lambda: _offer_copy(replica, change)),
        "take_vm_list_ms": _milliseconds(
            lambda: _new_state()[0].offer_vm_list(vm_list)
        ),
        "choose_subset_ms": _milliseconds(lambda: _subset(members)),
        "push_targets": len(push_targets(members, _identity())),
        "push_targets_ms": _milliseconds(lambda: push_targets(members, _identity())),
        "plan_probes_ms": _milliseconds(lambda: _plan_probes(members)),
        "expire_hints_ms": _milliseconds(table.expire_hints),
        "assign_owners_ms": _milliseconds(
            lambda: assign_owners(manifest="m", count=CHUNKS, members=local)
        ),
    }


def _new_state() -> tuple[MembersTable, Replica]:
    monitor = InvariantMonitor(metrics=Metrics())
    table = MembersTable(clock=ManualClock(), monitor=monitor)
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


def _vm_list_body(nodes: int) -> bytes:
    entries = round(nodes * ENTRY_SHARE)
    vms = [
        _vm_entry("entry", "entry", number)
        if number < entries
        else _vm_entry("runner", "backend", number - entries)
        for number in range(nodes)
    ]
    return json.dumps({"version": 1, "vms": vms}).encode()


def _vm_entry(prefix: str, role: str, number: int) -> dict:
    data_centre = number % DATA_CENTRES
    return {
        "name": f"{prefix}-{number}",
        "role": role,
        "data_centre": f"dc-{data_centre}",
        "region": f"region-{data_centre % REGIONS}",
        "node_address": f"10.{data_centre}.{number // 250}.{number % 250}:7000",
        "caller_address": f"10.{data_centre}.{number // 250}.{number % 250}:8080",
        "state": "live",
    }


def _whole_delta(nodes: int) -> ConfigDelta:
    runners = nodes - round(nodes * ENTRY_SHARE)
    objects = [
        *[
            DataCentre(name=f"dc-{number}", region=f"region-{number % REGIONS}")
            for number in range(DATA_CENTRES)
        ],
        *[
            Service(name=f"service-{number}", kind=ServiceKind.MODEL)
            for number in range(SERVICES)
        ],
        *[ClientAccount(name=f"account-{number}") for number in range(ACCOUNTS)],
        *[
            Vm(
                name=f"runner-{number}",
                data_centre=f"dc-{number % DATA_CENTRES}",
                service=f"service-{number % SERVICES}",
            )
            for number in range(runners)
        ],
    ]
    return _delta(base=0, generation=1, objects=objects, digests={})


def _one_change(replica: Replica, whole: ConfigDelta) -> ConfigDelta:
    out = ClientAccount(name="account-0", weight=7)
    digests = {obj.name: obj.digest for obj in whole.changed}
    return _delta(base=1, generation=2, objects=[out], digests=digests)


def _delta(
    *, base: int, generation: int, objects: list, digests: dict[str, str]
) -> ConfigDelta:
    changed = [
        ConfigObject(name=obj.name, digest=digest_of(obj.body), body=obj.body)
        for obj in map(encode_object, objects)
    ]
    after = {**digests, **{obj.name: obj.digest for obj in changed}}
    return ConfigDelta(
        base=base,
        generation=generation,
        head_digest=head_digest_of(after),
        changed=changed,
        removed=[],
        members_version=0,
        members=b"",
    )


def _head_body(delta: ConfigDelta) -> bytes:
    digests = {obj.name: obj.digest for obj in delta.changed}
    return encode_head(Head(generation=1, operations=("0" * 32,), objects=digests))


def _offer_copy(replica: Replica, change: ConfigDelta) -> None:
    copy = Replica(monitor=InvariantMonitor(metrics=Metrics()))
    copy._state = replica.state()
    taken = copy.offer(change)
    if not taken:
        raise RuntimeError("the change was not taken")


def _backend_names(members: Members, data_centre: str) -> list[str]:
    return [
        member.name
        for member in members.by_name.values()
        if member.role is Role.BACKEND and member.data_centre == data_centre
    ]


def _subset(members: Members) -> None:
    runners = [m for m in members.by_name.values() if m.role is Role.BACKEND]
    place = Place(data_centre="dc-0", region="region-0")
    choose_subset(service="service-0", node="entry-0", place=place, members=runners)


def _plan_probes(members: Members) -> None:
    probed_entry_nodes(members, _identity(), PROBED_ENTRY_NODES)
    probed_agents(members, _identity(), PROBE_LIMIT)


def _milliseconds(call: Callable[[], object]) -> float:
    """Return the shortest CPU time of a call in milliseconds."""
    times = []
    for _ in range(REPEATS):
        start = time.thread_time()
        call()
        times.append(time.thread_time() - start)
    return round(min(times) * 1_000, 3)


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
