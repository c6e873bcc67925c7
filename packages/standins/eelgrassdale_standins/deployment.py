"""A deployment of processes on loopback for demo, failure tests and measurements."""

import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from eelgrassdale.wire import Envelope, NodeConnection, NodeStatus, ProbeAnswer
from eelgrassdale.wire.client import WireError
from eelgrassdale_standins import commands, control
from eelgrassdale_standins.commands import Addresses, backend_name
from eelgrassdale_standins.configurationwriter import ConfigurationWriter
from eelgrassdale_standins.processes import (
    Command,
    PortReservation,
    Process,
    ProcessError,
    wait_until,
)
from eelgrassdale_standins.topology import Topology

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0
CALL_TIMEOUT_SECONDS = 2.0
LOG_DIRECTORY = Path("build") / "logs"


class Deployment:
    """Processes of one topology, started by `start` or as a context manager.

    Parameters
    ----------
    topology : Topology
        Processes and initial configuration.

    Examples
    --------
    Without entry nodes and agents, only the stand-ins of the platform run.

    >>> from eelgrassdale_standins.topology import Topology
    >>> empty = Topology(
    ...     data_centres=(), services=(), accounts=(), entries=(), agents=()
    ... )
    >>> with Deployment(empty) as deployment:
    ...     sorted(deployment.processes)
    ['objectapi', 'origin', 'vmlist']

    """

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.processes: dict[str, Process] = {}
        self._ports = PortReservation()
        self.addresses = self._allocate_addresses()
        self._vm_states: dict[str, str] = {}
        self.configuration = ConfigurationWriter(
            url=control.http_url(self.addresses.platform[commands.OBJECT_API])
        )
        LOG_DIRECTORY.mkdir(parents=True, exist_ok=True)
        self._logs = Path(tempfile.mkdtemp(dir=LOG_DIRECTORY))

    def __enter__(self) -> "Deployment":
        """Start all processes."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        self.close()

    def start(self) -> None:
        """Start all processes and wait until every node is ready.

        Raises
        ------
        ProcessError
            A process ended or is not ready in time; the message holds the end
            of its log.

        """
        command_lines = commands.platform_commands(self.topology, self.addresses)
        for name, arguments in command_lines.items():
            self._launch(name, arguments)
        for agent in self.topology.agents:
            self.start_backend(agent.name, is_loaded=self.topology.is_model_loaded)
        self.wait_until_healthy()
        self._publish_vm_list()
        self.configuration.put(*self.topology.objects())
        for entry in self.topology.entries:
            self.start_node(entry.name)
        for agent in self.topology.agents:
            self.start_node(agent.name)
        self.wait_until_ready()

    def start_node(self, name: str) -> Process:
        """Start an entry node or agent, or restart it after it has ended."""
        for entry in self.topology.entries:
            if entry.name == name:
                command = commands.entry_command(self.topology, self.addresses, entry)
                return self._launch(name, command)
        agent = next(agent for agent in self.topology.agents if agent.name == name)
        command = commands.agent_command(self.topology, self.addresses, agent)
        return self._launch(name, command)

    def start_backend(self, agent: str, *, is_loaded: bool = False) -> Process:
        """Start an agent's backend server, or restart it after it has ended."""
        spec = next(spec for spec in self.topology.agents if spec.name == agent)
        command = commands.backend_command(
            self.topology, self.addresses, spec, is_loaded=is_loaded
        )
        return self._launch(backend_name(agent), command)

    def wait_until_healthy(self) -> None:
        """Wait until every stand-in answers its health check."""
        standins = dict(self.addresses.platform)
        for agent, address in self.addresses.backend.items():
            standins[backend_name(agent)] = address
        for name, address in standins.items():
            self._wait_for_process(
                name,
                lambda address=address: control.is_healthy(address),
                START_TIMEOUT_SECONDS,
            )

    def wait_until_ready(self, seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until every running node is ready."""
        deadline = time.monotonic() + seconds
        for name in self.node_names():
            self._wait_for_process(
                name,
                lambda name=name: self._is_ready(name),
                max(0.1, deadline - time.monotonic()),
            )

    def wait_for_generation(self, generation: int, seconds: float = 14.0) -> float:
        """Wait until a generation is in force at every running node.

        Returns the seconds waited; raises `ProcessError` after `seconds`.
        """
        return wait_until(
            lambda: all(
                self.generation(name) >= generation for name in self.node_names()
            ),
            timeout_seconds=seconds,
            description=f"generation {generation} in force everywhere",
        )

    def node_names(self) -> list[str]:
        """Return the names of the entry nodes and agents that are running."""
        nodes = [*self.topology.entries, *self.topology.agents]
        return [
            node.name
            for node in nodes
            if node.name in self.processes
            and self.processes[node.name].exit_code is None
        ]

    def call(self, name: str, method: str, *args: object) -> Any:
        """Call a Thrift function of a node and return its answer."""
        conn = NodeConnection(address=self.addresses.node[name])
        try:
            return conn.call(
                method, _build_envelope(), *args, timeout_seconds=CALL_TIMEOUT_SECONDS
            )
        finally:
            conn.close()

    def probe(self, name: str) -> ProbeAnswer:
        """Return a node's answer to a probe."""
        return self.call(name, "probe")

    def status(self, name: str) -> NodeStatus:
        """Return a node's status."""
        return self.call(name, "status")

    def statuses(self) -> dict[str, NodeStatus]:
        """Return the status of every running node that answers."""
        statuses_by_name = {}
        for name in self.node_names():
            try:
                statuses_by_name[name] = self.status(name)
            except WireError:
                continue
        return statuses_by_name

    def generation(self, name: str) -> int:
        """Return the generation in force at a node, or -1 when it does not answer."""
        try:
            return self.probe(name).generation
        except WireError:
            return -1

    def violations(self) -> int:
        """Return the invariant violations counted by the nodes that answer."""
        return sum(
            status.counters.get("violations", 0) for status in self.statuses().values()
        )

    def set_vm_state(self, name: str, state: str) -> None:
        """Publish a VM as `live`, `leaving` or `gone` in the VM list."""
        self._vm_states[name] = state
        self._publish_vm_list()

    def stop(self, name: str, seconds: float = STOP_TIMEOUT_SECONDS) -> int | None:
        """Send SIGTERM and return the exit code, None if it runs after `seconds`."""
        process = self.processes[name]
        process.terminate()
        return process.wait(seconds)

    def stop_nodes(
        self, seconds: float = STOP_TIMEOUT_SECONDS
    ) -> dict[str, int | None]:
        """Send SIGTERM to entry nodes and agents and return their exit codes.

        The code is None for a process that still runs after `seconds`.
        """
        names = self.node_names()
        for name in names:
            self.processes[name].terminate()
        deadline = time.monotonic() + seconds
        return {
            name: self.processes[name].wait(max(0.1, deadline - time.monotonic()))
            for name in names
        }

    def close(self) -> None:
        """Kill every running process and release the ports."""
        for process in self.processes.values():
            process.kill()
        self.configuration.close()
        self._ports.close()
        shutil.rmtree(self._logs, ignore_errors=True)

    def _launch(self, name: str, arguments: tuple[str, ...]) -> Process:
        previous = self.processes.get(name)
        if previous is not None and previous.exit_code is None:
            raise ProcessError(f"{name} is already running")
        log = self._logs / f"{name}.log"
        process = Process(Command(name=name, arguments=arguments, log=log))
        self.processes[name] = process
        return process

    def _wait_for_process(
        self, name: str, condition: Callable[[], bool], seconds: float
    ) -> None:
        try:
            wait_until(
                lambda: self._check_running(name) and condition(),
                timeout_seconds=seconds,
                description=f"{name} is ready",
            )
        except ProcessError as exc:
            tail = self.processes[name].log_tail()
            raise ProcessError(f"{exc}\n{tail}") from exc

    def _check_running(self, name: str) -> bool:
        process = self.processes[name]
        if process.exit_code is not None:
            raise ProcessError(f"{name} ended with exit code {process.exit_code}")
        return True

    def _is_ready(self, name: str) -> bool:
        try:
            answer = self.probe(name)
        except WireError:
            return False
        return answer.state == "ready"

    def _publish_vm_list(self) -> None:
        vms = commands.build_vm_list(self.topology, self.addresses, self._vm_states)
        address = self.addresses.platform[commands.VM_LIST]
        control.put_json(address, "/vms", {"vms": vms})

    def _allocate_addresses(self) -> Addresses:
        agents = [agent.name for agent in self.topology.agents]
        entries = [entry.name for entry in self.topology.entries]
        platform = [
            commands.OBJECT_API,
            commands.VM_LIST,
            *self.topology.weight_sources,
        ]
        return Addresses(
            platform={name: self._ports.new_address() for name in platform},
            backend={name: self._ports.new_address() for name in agents},
            node={name: self._ports.new_address() for name in (*entries, *agents)},
            caller={name: self._ports.new_address() for name in entries},
            admin={name: self._ports.new_address() for name in entries},
        )


def _build_envelope() -> Envelope:
    return Envelope(
        sender="deployment",
        incarnation=0,
        remaining_ms=int(CALL_TIMEOUT_SECONDS * 1000),
        traceparent="",
        generation=0,
    )
