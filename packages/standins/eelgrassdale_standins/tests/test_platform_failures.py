"""Traffic and changes while the object API is down, slow or loses answers."""

import attrs

from eelgrassdale_standins.commands import OBJECT_API
from eelgrassdale_standins.control import set_faults
from eelgrassdale_standins.tests.failurehelpers import send_prompt
from eelgrassdale_standins.topology import FRANCHISE_PORTAL


def change_configuration(deployment):
    """Raise the queue limit of a service by one and return the generation."""
    service = deployment.configuration.current().services[FRANCHISE_PORTAL]
    changed = attrs.evolve(service, queue_limit=service.queue_limit + 1)
    return deployment.configuration.put(changed)


def object_api_address(deployment):
    return deployment.addresses.platform[OBJECT_API]


def test_requests_are_answered_while_the_object_api_is_down(deployment):
    set_faults(object_api_address(deployment), outage=True)
    assert send_prompt(deployment, "entry-0", max_tokens=2).result().is_complete


def test_entry_node_starts_while_the_object_api_is_down(deployment):
    set_faults(object_api_address(deployment), outage=True)
    deployment.processes["entry-1"].kill()
    deployment.start_node("entry-1")
    deployment.wait_until_ready()
    assert send_prompt(deployment, "entry-1", max_tokens=2).result().is_complete


def test_change_with_lost_answers_takes_effect_once(deployment):
    before = deployment.configuration.current().generation
    set_faults(object_api_address(deployment), lose_answers=2)
    generation = change_configuration(deployment)
    assert generation == before + 1
    deployment.wait_for_generation(generation)


def test_change_is_in_force_while_the_object_api_is_slow(deployment):
    set_faults(object_api_address(deployment), slow_seconds=0.05)
    deployment.wait_for_generation(change_configuration(deployment))
