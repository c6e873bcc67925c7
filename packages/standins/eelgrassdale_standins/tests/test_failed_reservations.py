"""A reservation runs at most once despite failures, and not at all if `not run`."""

import uuid

import pytest

from eelgrassdale_standins.callers import Outcome
from eelgrassdale_standins.commands import backend_name
from eelgrassdale_standins.control import set_faults
from eelgrassdale_standins.tests.failurehelpers import (
    RESERVATION_SECONDS,
    count_runs,
    request_key,
    reserve,
    slow_reservations,
    wait_for_reserving_agent,
)
from eelgrassdale_standins.topology import ORDER_DESK

ABOVE_CONNECT_TIMEOUT_SECONDS = 1.5


class Reservation:
    """One reservation with its key, and the answers it got."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.name = uuid.uuid4().hex
        self.key = request_key(deployment, "entry-0")

    def send(self, entry):
        return reserve(self.deployment, entry, key=self.key, reservation=self.name)

    def start(self, seconds=RESERVATION_SECONDS):
        """Send it through entry-0 and return the pending answer and its agent."""
        slow_reservations(self.deployment, seconds)
        answer = self.send("entry-0")
        return answer, wait_for_reserving_agent(self.deployment, self.name, answer)

    @property
    def runs(self):
        return count_runs(self.deployment, self.name)


def test_repeat_through_another_entry_node_gets_the_same_answer(deployment):
    reservation = Reservation(deployment)
    first = reservation.send("entry-0").result()
    repeated = reservation.send("entry-1").result()
    assert first.is_complete
    assert repeated.body == first.body
    assert reservation.runs == 1


def test_reservation_longer_than_the_connect_timeout_is_whole(deployment):
    # Guards against an agent that uses its connect timeout for reads, and an
    # entry node whose check for a disconnected caller ends each wait at 0.25 s.
    reservation = Reservation(deployment)
    answer, _ = reservation.start(seconds=ABOVE_CONNECT_TIMEOUT_SECONDS)
    assert answer.result().is_complete
    assert reservation.runs == 1


def test_entry_node_killed_during_reservation(deployment):
    reservation = Reservation(deployment)
    answer, _ = reservation.start()
    deployment.processes["entry-0"].kill()
    assert answer.result().outcome is Outcome.BROKEN
    repeated = reservation.send("entry-1").result()
    assert repeated.is_complete or repeated.outcome is Outcome.MAY_HAVE_RUN
    assert reservation.runs == 1


def test_entry_node_frozen_during_reservation(deployment):
    reservation = Reservation(deployment)
    answer, _ = reservation.start()
    deployment.processes["entry-0"].freeze()
    repeated = reservation.send("entry-1").result()
    deployment.processes["entry-0"].resume()
    first = answer.result()
    assert Outcome.NOT_RUN not in (first.outcome, repeated.outcome)
    assert reservation.runs == 1


def test_agent_killed_during_reservation(deployment):
    reservation = Reservation(deployment)
    answer, agent = reservation.start()
    deployment.processes[agent].kill()
    assert answer.result().outcome is Outcome.MAY_HAVE_RUN
    deployment.start_node(agent)
    deployment.wait_until_ready()
    assert reservation.send("entry-1").result().outcome is Outcome.MAY_HAVE_RUN
    assert reservation.runs == 1


def test_agent_frozen_during_reservation(deployment):
    reservation = Reservation(deployment)
    answer, agent = reservation.start()
    deployment.processes[agent].freeze()
    repeated = reservation.send("entry-1").result()
    assert repeated.outcome is Outcome.MAY_HAVE_RUN
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
    repeated = reservation.send("entry-1").result()
    reported_not_run = Outcome.NOT_RUN in (first.outcome, repeated.outcome)
    assert reservation.runs == 0 if reported_not_run else reservation.runs <= 1


def test_service_killed_during_reservation(deployment):
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


def test_key_not_issued_by_an_entry_node_is_refused(deployment):
    answer = reserve(deployment, "entry-0", key="mine", reservation="own-key").result()
    assert answer.outcome is Outcome.NOT_RUN
    assert count_runs(deployment, "own-key") == 0
