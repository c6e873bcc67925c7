"""A stream whose entry node, agent or engine fails is never a false whole."""

import pytest

from eelgrassdale_standins.commands import backend_name
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.tests.failures import (
    HONEST_STREAM_ENDS,
    agent_running,
    ask,
    slow_engines,
)
from eelgrassdale_standins.topology import LID_ASSISTANT

LEFT_OUT_SECONDS = 3.0


def start_answer(deployment):
    """Return an answer in flight and the agent that holds it."""
    slow_engines(deployment)
    answer = ask(deployment, "entry-0")
    return answer, agent_running(deployment, LID_ASSISTANT, answer)


def process_of(deployment, agent, victim):
    names = {"entry": "entry-0", "agent": agent, "engine": backend_name(agent)}
    return deployment.processes[names[victim]]


def wait_until_other_serves(deployment):
    """Wait until the other entry node has left the failed process out."""
    wait_until(
        lambda: ask(deployment, "entry-1", tokens=2).result().is_whole,
        seconds=LEFT_OUT_SECONDS,
        what="entry-1 answers",
    )


@pytest.mark.parametrize("victim", ["entry", "agent", "engine"])
def test_kill_in_mid_answer_is_visible(deployment, victim):
    answer, agent = start_answer(deployment)
    process_of(deployment, agent, victim).kill()
    assert answer.result().outcome in HONEST_STREAM_ENDS
    wait_until_other_serves(deployment)


@pytest.mark.parametrize("victim", ["entry", "agent", "engine"])
def test_freeze_in_mid_answer_is_visible(deployment, victim):
    answer, agent = start_answer(deployment)
    process = process_of(deployment, agent, victim)
    process.freeze()
    wait_until_other_serves(deployment)
    process.resume()
    assert answer.result().outcome in HONEST_STREAM_ENDS
