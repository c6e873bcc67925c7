"""Tests of the functions behind `eelgrassdale model`."""

from attrs import evolve

from eelgrassdale.catalog import Configuration, Service, ServiceKind
from eelgrassdale.results import ResultCode
from eelgrassdale.weights import manifest_of
from eelgrassdale.wire import NodeStatus
from eelgrassdale_entry.commands.model import progress_detail, with_pushed_version
from eelgrassdale_entry.commands.model_progress import push_progress

MANIFEST = manifest_of(version="m-2", data=b"weights", chunk_bytes=4)
STORED = Configuration(
    generation=3,
    services={
        "lids": Service(name="lids", kind=ServiceKind.MODEL),
        "desk": Service(name="desk", kind=ServiceKind.PLAIN),
    },
)


def status(state: str, *, version: str = "m-1", **facts: str) -> NodeStatus:
    """Return the status of an agent whose target version is m-2."""
    found = {"load_state": state, "model_version": version, "weights_target": "m-2"}
    counters = {"weights_bytes_from_origin": 5, "weights_bytes_from_region": 2}
    return NodeStatus(facts={**found, **facts}, counters=counters)


def test_push_adds_the_version_and_points_the_service_at_it():
    proposed = with_pushed_version(STORED, "lids", MANIFEST, 4).ok
    assert proposed.services["lids"].model_version == "m-2"
    version = proposed.model_versions["m-2"]
    assert (version.manifest, version.priority) == (MANIFEST.digest, 4)


def test_push_to_a_plain_service_is_refused():
    error = with_pushed_version(STORED, "desk", MANIFEST, 1).error
    assert error.code is ResultCode.CONFIGURATION_INVALID


def test_name_in_use_for_other_weights_is_refused():
    """Guards against two sets of weights under one model version name."""
    before = with_pushed_version(STORED, "lids", MANIFEST, 1).ok
    other = evolve(MANIFEST, digest="other")
    error = with_pushed_version(before, "lids", other, 1).error
    assert error.problems[0].field == "name"


def test_progress_names_the_slowest_agents_and_why():
    progress = push_progress(
        "m-2",
        {
            "a": status("ready", version="m-2"),
            "b": status("waiting", weights_progress="4/4", weights_blocked_by="a"),
            "c": status("fetching", weights_progress="1/4"),
            "d": None,
        },
    )
    assert [(one.agent, one.reason) for one in progress.slowest] == [
        ("d", "out of reach"),
        ("c", "fetching"),
        ("b", "waiting: a"),
    ]
    assert (progress.ready, progress.replicas, progress.held) == (1, 4, 2.25 / 4)


def test_agent_that_is_ready_on_the_old_version_is_not_counted():
    assert push_progress("m-2", {"a": status("ready")}).ready == 0


def test_bytes_before_the_push_are_left_out():
    before = push_progress("m-2", {"a": status("ready")})
    after = push_progress("m-2", {"a": status("ready"), "b": status("ready")})
    assert after.relative_to(before).origin_bytes == 5


def test_detail_shows_replicas_and_bytes():
    progress = push_progress("m-2", {"a": status("ready", version="m-2")})
    assert progress_detail(progress).startswith("1/1 replicas, origin 0.0 MB")
