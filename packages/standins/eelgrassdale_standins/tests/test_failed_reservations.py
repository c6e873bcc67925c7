"""A reservation runs at most once and `not run` is true, whatever fails."""

import uuid

import pytest

from eelgrassdale_standins.callers import Outcome
from eelgrassdale_standins.commands import backend_name
from eelgrassdale_standins.control import set_faults
from eelgrassdale_standins.tests.failures import (
    RESERVATION_SECONDS,
    agent_of,
    issue_key,
    reserve,
    runs_of,
    slow_reservations,
)
from eelgrassdale_standins.topology import ORDER_DESK

ABOVE_CONNECT_TIMEOUT_SECONDS = 1.5


class Reservation:
    """One reservation with its key, and the answers it got."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.name = uuid.uuid4().hex
        self.key = issue_key(deployment, "entry-0")

    def send(self, entry):
        return reserve(self.deployment, entry, key=self.key, reservation=self.name)

    def start(self, seconds=RESERVATION_SECONDS):
        """Send it through entry-0 and return the answer to come and its agent."""
        slow_reservations(self.deployment, seconds)
        answer = self.send("entry-0")
        return answer, agent_of(self.deployment, self.name, answer)

    @property
    def runs(self):
        return runs_of(self.deployment, self.name)


def test_repeat_through_another_entry_node_gets_the_same_answer(deployment):
    reservation = Reservation(deployment)
    first = reservation.send("entry-0").result()
    again = reservation.send("entry-1").result()
    assert first.is_whole
    assert again.body == first.body
    assert reservation.runs == 1


def test_reservation_longer_than_the_connect_timeout_is_whole(deployment):
    # The agent's read timeout was once that of the connect, and the entry
    # node's check for a caller that left cut every wait after 0.25 s.
    reservation = Reservation(deployment)
    answer, _ = reservation.start(seconds=ABOVE_CONNECT_TIMEOUT_SECONDS)
    assert answer.result().is_whole
    assert reservation.runs == 1


def test_entry_node_killed_in_mid_reservation(deployment):
    reservation = Reservation(deployment)
    answer, _ = reservation.start()
    deployment.processes["entry-0"].kill()
    assert answer.result().outcome is Outcome.BROKEN
    again = reservation.send("entry-1").result()
    assert again.is_whole or again.outcome is Outcome.MAY_HAVE_RUN
    assert reservation.runs == 1


def test_entry_node_frozen_in_mid_reservation(deployment):
    reservation = Reservation(deployment)
    answer, _ = reservation.start()
    deployment.processes["entry-0"].freeze()
    again = reservation.send("entry-1").result()
    deployment.processes["entry-0"].resume()
    first = answer.result()
    assert Outcome.NOT_RUN not in (first.outcome, again.outcome)
    assert reservation.runs == 1


def test_agent_killed_in_mid_reservation(deployment):
    reservation = Reservation(deployment)
    answer, agent = reservation.start()
    deployment.processes[agent].kill()
    assert answer.result().outcome is Outcome.MAY_HAVE_RUN
    deployment.start_node(agent)
    deployment.wait_until_ready()
    assert reservation.send("entry-1").result().outcome is Outcome.MAY_HAVE_RUN
    assert reservation.runs == 1


def test_agent_frozen_in_mid_reservation(deployment):
    reservation = Reservation(deployment)
    answer, agent = reservation.start()
    deployment.processes[agent].freeze()
    again = reservation.send("entry-1").result()
    assert again.outcome is Outcome.MAY_HAVE_RUN
    deployment.processes[agent].resume()
    assert answer.result().outcome is not Outcome.NOT_RUN
    assert reservation.runs == 1


def test_agent_frozen_before_reservation(deployment):
    reservation = Reservation(deployment)
    agents = [spec.name for spec in deployment.topology.agents_of(ORDER_DESK)]
    for agent in agents:
        deployment.processes[agent].freeze()
    first = reservation.send("entry-0").result()
    for agent in agents:
        deployment.processes[agent].resume()
    deployment.wait_until_ready()
    again = reservation.send("entry-1").result()
    told_not_run = Outcome.NOT_RUN in (first.outcome, again.outcome)
    assert reservation.runs == 0 if told_not_run else reservation.runs <= 1


def test_service_killed_in_mid_reservation(deployment):
    reservation = Reservation(deployment)
    answer, agent = reservation.start()
    deployment.processes[backend_name(agent)].kill()
    assert answer.result().outcome is Outcome.MAY_HAVE_RUN
    assert reservation.send("entry-1").result().outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("entry", ["entry-0", "entry-1"])
def test_answer_lost_by_the_service_is_not_run_again(deployment, entry):
    reservation = Reservation(deployment)
    for spec in deployment.topology.agents_of(ORDER_DESK):
        set_faults(deployment.addresses.backend[spec.name], lose_answers=1)
    assert reservation.send("entry-0").result().outcome is Outcome.MAY_HAVE_RUN
    assert reservation.send(entry).result().outcome is Outcome.MAY_HAVE_RUN
    assert reservation.runs == 1


def test_key_made_by_the_caller_is_refused(deployment):
    answer = reserve(deployment, "entry-0", key="mine", reservation="own-key").result()
    assert answer.outcome is Outcome.NOT_RUN
    assert runs_of(deployment, "own-key") == 0
