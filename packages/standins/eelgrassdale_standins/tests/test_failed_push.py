"""A push loads only complete weights and reaches every agent despite failures."""

import attrs
import pytest

from eelgrassdale_standins.control import get_counts, put_json, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.loadgenerator import LoadGenerator
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.failurehelpers import MODELS
from eelgrassdale_standins.topology import LID_ASSISTANT, small_topology

OLD_MODEL, NEW_MODEL = MODELS
PUSH_TIMEOUT_SECONDS = 40.0


@pytest.fixture
def push_deployment():
    """Run a deployment with a slow origin for one push."""
    topology = attrs.evolve(
        small_topology(models=MODELS), source_bytes_per_second=NEW_MODEL.size_bytes // 2
    )
    with Deployment(topology) as started:
        yield started
        assert started.violations() == 0


def push_new_version(deployment):
    service = deployment.configuration.current().services[LID_ASSISTANT]
    deployment.configuration.put(
        NEW_MODEL.catalog_object(),
        attrs.evolve(service, model_version=NEW_MODEL.version),
    )


def has_new_weights(deployment, agent):
    counts = get_counts(deployment.addresses.backend[agent])
    return counts["loaded_weights"] == NEW_MODEL.weights().loaded_digest


def wait_for_replicas(deployment):
    wait_until(
        lambda: all(has_new_weights(deployment, name) for name in ("lid-0", "lid-1")),
        timeout_seconds=PUSH_TIMEOUT_SECONDS,
        description="replicas with whole weights",
    )


def wait_for_origin(deployment):
    """Wait until the origin has sent a part of the new weights."""
    origin = deployment.addresses.platform["origin"]
    wait_until(
        lambda: get_counts(origin).get(f"bytes_sent/{NEW_MODEL.version}", 0) > 0,
        timeout_seconds=PUSH_TIMEOUT_SECONDS,
        description="weights leave the origin",
    )


def test_agent_restarted_empty_and_corrupt_chunks_during_a_push(push_deployment):
    load = LoadGenerator(push_deployment, model_service=LID_ASSISTANT)
    load.start()
    set_faults(push_deployment.addresses.platform["origin"], corrupt_reads=2)
    push_new_version(push_deployment)
    wait_for_origin(push_deployment)
    push_deployment.processes["lid-1"].kill()
    push_deployment.start_node("lid-1")
    wait_for_replicas(push_deployment)
    figures = load.stop().figures()
    assert figures["mixed_weights"] == 0
    assert figures["whole_answers"] > 0


def test_version_changed_during_a_push_is_never_loaded(push_deployment):
    push_new_version(push_deployment)
    wait_for_origin(push_deployment)
    put_json(
        push_deployment.addresses.platform["origin"],
        f"/models/{NEW_MODEL.version}",
        {"seed": 9, "size_bytes": NEW_MODEL.size_bytes},
    )
    wait_until(
        lambda: get_counts(push_deployment.addresses.platform["origin"]).get(
            "version_changed"
        ),
        timeout_seconds=PUSH_TIMEOUT_SECONDS,
        description="a read of the old manifest is refused",
    )
    for name in ("lid-0", "lid-1"):
        counts = get_counts(push_deployment.addresses.backend[name])
        assert counts["loaded_weights"] == OLD_MODEL.weights().loaded_digest
