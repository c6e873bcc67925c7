"""A push reaches every runner with whole weights, whatever fails meanwhile."""

import attrs
import pytest

from eelgrassdale_standins.control import counts_of, put_json, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.load import Load
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.failures import MODELS
from eelgrassdale_standins.topology import LID_ASSISTANT, small

OLD, NEW = MODELS
PUSH_SECONDS = 40.0


@pytest.fixture
def pushing():
    """Run a deployment with a slow origin for one push."""
    topology = attrs.evolve(
        small(models=MODELS), source_bytes_per_second=NEW.size_bytes // 2
    )
    with Deployment(topology) as started:
        yield started
        assert started.violations() == 0


def push(deployment):
    service = deployment.configuration.current().services[LID_ASSISTANT]
    deployment.configuration.put(
        NEW.catalog_object(), attrs.evolve(service, model_version=NEW.version)
    )


def is_loaded(deployment, agent):
    counts = counts_of(deployment.addresses.backend[agent])
    return counts["loaded_weights"] == NEW.weights().loaded_digest


def wait_for_replicas(deployment):
    wait_until(
        lambda: all(is_loaded(deployment, name) for name in ("lid-0", "lid-1")),
        seconds=PUSH_SECONDS,
        what="replicas with whole weights",
    )


def wait_for_origin(deployment):
    """Wait until a part of the new weights has left the origin."""
    origin = deployment.addresses.platform["origin"]
    wait_until(
        lambda: counts_of(origin).get(f"bytes_sent/{NEW.version}", 0) > 0,
        seconds=PUSH_SECONDS,
        what="weights leave the origin",
    )


def test_agent_restarted_empty_and_corrupt_chunks_during_a_push(pushing):
    load = Load(pushing, model_service=LID_ASSISTANT)
    load.start()
    set_faults(pushing.addresses.platform["origin"], corrupt_reads=2)
    push(pushing)
    wait_for_origin(pushing)
    pushing.processes["lid-1"].kill()
    pushing.start_node("lid-1")
    wait_for_replicas(pushing)
    figures = load.stop().figures()
    assert figures["mixed_weights"] == 0
    assert figures["whole_answers"] > 0


def test_version_changed_during_a_push_is_never_loaded(pushing):
    push(pushing)
    wait_for_origin(pushing)
    put_json(
        pushing.addresses.platform["origin"],
        f"/models/{NEW.version}",
        {"seed": 9, "size_bytes": NEW.size_bytes},
    )
    wait_until(
        lambda: counts_of(pushing.addresses.platform["origin"]).get("version_changed"),
        seconds=PUSH_SECONDS,
        what="a read of the old manifest is refused",
    )
    for name in ("lid-0", "lid-1"):
        counts = counts_of(pushing.addresses.backend[name])
        assert counts["loaded_weights"] == OLD.weights().loaded_digest
