"""A planned stop of a node under load fails no request."""

import attrs
import pytest

from eelgrassdale.catalog import VmState
from eelgrassdale_standins.control import get_counts
from eelgrassdale_standins.loadgenerator import LoadGenerator
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.failurehelpers import MODELS, send_prompt
from eelgrassdale_standins.topology import (
    FRANCHISE_PORTAL,
    LID_ASSISTANT,
    ORDER_DESK,
)

REQUESTS = 60


def wait_for_requests(load, number):
    target = load.snapshot()["requests"] + number
    wait_until(
        lambda: load.snapshot()["requests"] >= target,
        timeout_seconds=30,
        description="requests",
    )


@pytest.mark.parametrize("agent", ["lid-0", "order-0", "portal-0"])
def test_agent_stops_under_load(deployment, agent):
    load = LoadGenerator(
        deployment,
        model_service=LID_ASSISTANT,
        reservation_service=ORDER_DESK,
        plain_service=FRANCHISE_PORTAL,
    )
    load.start()
    wait_for_requests(load, REQUESTS)
    assert deployment.stop(agent) == 0
    wait_for_requests(load, REQUESTS)
    totals = load.stop()
    assert totals.figures()["failed"] == 0, totals.examples
    assert totals.figures()["mixed_weights"] == 0


def test_entry_node_stops_under_load(deployment):
    answers = [send_prompt(deployment, "entry-0") for _ in range(8)]
    wait_until(
        lambda: any(
            get_counts(deployment.addresses.backend[name])["running"]
            for name in ("lid-0", "lid-1")
        ),
        timeout_seconds=10,
        description="requests run",
    )
    assert deployment.stop("entry-0") == 0
    assert {answer.result().outcome.name for answer in answers} <= {"WHOLE", "NOT_RUN"}


def test_restarted_empty_engine_gets_its_model_again(deployment):
    backend = deployment.processes["lid-0.backend"]
    backend.kill()
    deployment.start_backend("lid-0", is_loaded=False)
    expected_digest = MODELS[0].weights().loaded_digest
    address = deployment.addresses.backend["lid-0"]
    deployment.wait_until_healthy()
    wait_until(
        lambda: get_counts(address)["loaded_weights"] == expected_digest,
        timeout_seconds=20,
        description="the model is loaded again",
    )
    assert send_prompt(deployment, "entry-0", max_tokens=2).result().is_complete


def test_leaving_vm_receives_no_new_work(deployment):
    vm = deployment.configuration.current().vms["portal-0"]
    generation = deployment.configuration.put(attrs.evolve(vm, state=VmState.LEAVING))
    deployment.wait_for_generation(generation)
    address = deployment.addresses.backend["portal-0"]
    before = get_counts(address)["requests"]
    load = LoadGenerator(deployment, plain_service=FRANCHISE_PORTAL)
    load.start()
    wait_for_requests(load, REQUESTS)
    totals = load.stop()
    assert totals.figures()["failed"] == 0, totals.examples
    assert get_counts(address)["requests"] == before
    deployment.configuration.put(vm)
