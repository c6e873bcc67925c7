"""A program whose address is in use reports the address and exits with status 2."""

import socket
import subprocess

import pytest

from eelgrassdale_standins.commands import agent_command, entry_command
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.topology import small_topology

TIMEOUT_SECONDS = 30


@pytest.fixture
def unstarted_deployment():
    """Return a deployment that was not started."""
    deployment = Deployment(small_topology())
    yield deployment
    deployment.close()


def run_while_in_use(address, command):
    host, port = address.split(":")
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))
        other.listen()
        return subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS
        )


def check_refused(completed, address):
    assert completed.returncode == 2
    assert "ADDRESS_UNAVAILABLE" in completed.stderr
    assert address.split(":")[1] in completed.stderr
    assert "Traceback" not in completed.stderr


@pytest.mark.parametrize("kind", ["node", "caller", "admin"])
def test_entry_node_reports_the_address_in_use(unstarted_deployment, kind):
    entry = unstarted_deployment.topology.entries[0]
    address = getattr(unstarted_deployment.addresses, kind)[entry.name]
    command = entry_command(
        unstarted_deployment.topology, unstarted_deployment.addresses, entry
    )
    check_refused(run_while_in_use(address, command), address)


def test_agent_reports_the_address_in_use(unstarted_deployment):
    agent = unstarted_deployment.topology.agents[0]
    address = unstarted_deployment.addresses.node[agent.name]
    command = agent_command(
        unstarted_deployment.topology, unstarted_deployment.addresses, agent
    )
    check_refused(run_while_in_use(address, command), address)
