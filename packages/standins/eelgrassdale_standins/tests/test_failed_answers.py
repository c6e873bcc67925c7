"""A stream cut by a failed process is never taken for a whole answer."""

import pytest

from eelgrassdale_standins.commands import backend_name
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.failurehelpers import (
    ALLOWED_STREAM_OUTCOMES,
    send_prompt,
    slow_engines,
    wait_for_running_agent,
)
from eelgrassdale_standins.topology import LID_ASSISTANT

FAILOVER_TIMEOUT_SECONDS = 3.0


def start_answer(deployment):
    """Return an answer in flight and the agent that runs its request."""
    slow_engines(deployment)
    answer = send_prompt(deployment, "entry-0")
    return answer, wait_for_running_agent(deployment, LID_ASSISTANT, answer)


def process_of(deployment, agent, victim):
    names = {"entry": "entry-0", "agent": agent, "engine": backend_name(agent)}
    return deployment.processes[names[victim]]


def wait_until_other_entry_serves(deployment):
    """Wait until the other entry node answers without the failed process."""
    wait_until(
        lambda: send_prompt(deployment, "entry-1", max_tokens=2).result().is_complete,
        timeout_seconds=FAILOVER_TIMEOUT_SECONDS,
        description="entry-1 answers",
    )


@pytest.mark.parametrize("victim", ["entry", "agent", "engine"])
def test_kill_during_answer_is_visible_to_the_caller(deployment, victim):
    answer, agent = start_answer(deployment)
    process_of(deployment, agent, victim).kill()
    assert answer.result().outcome in ALLOWED_STREAM_OUTCOMES
    wait_until_other_entry_serves(deployment)


@pytest.mark.parametrize("victim", ["entry", "agent", "engine"])
def test_freeze_during_answer_is_visible_to_the_caller(deployment, victim):
    answer, agent = start_answer(deployment)
    process = process_of(deployment, agent, victim)
    process.freeze()
    wait_until_other_entry_serves(deployment)
    process.resume()
    assert answer.result().outcome in ALLOWED_STREAM_OUTCOMES
