"""A program whose address is in use names the address and ends with status 2."""

import socket
import subprocess

import pytest

from eelgrassdale_standins.commands import agent_command, entry_command
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.topology import small

SECONDS = 30


@pytest.fixture
def stopped():
    """Return a deployment that was not started."""
    deployment = Deployment(small())
    yield deployment
    deployment.close()


def run_while_in_use(address, command):
    host, port = address.split(":")
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))
        other.listen()
        return subprocess.run(command, capture_output=True, text=True, timeout=SECONDS)


def check_refused(done, address):
    assert done.returncode == 2
    assert "ADDRESS_UNAVAILABLE" in done.stderr
    assert address.split(":")[1] in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize("kind", ["node", "caller", "admin"])
def test_entry_node_names_the_address_in_use(stopped, kind):
    entry = stopped.topology.entries[0]
    address = getattr(stopped.addresses, kind)[entry.name]
    command = entry_command(stopped.topology, stopped.addresses, entry)
    check_refused(run_while_in_use(address, command), address)


def test_agent_names_the_address_in_use(stopped):
    agent = stopped.topology.agents[0]
    address = stopped.addresses.node[agent.name]
    command = agent_command(stopped.topology, stopped.addresses, agent)
    check_refused(run_while_in_use(address, command), address)
