"""Helpers of the failure tests: requests in flight and recovery between tests."""

import json
from concurrent.futures import Future, ThreadPoolExecutor

import urllib3

from eelgrassdale.routing.keys import parse_key
from eelgrassdale_standins.callers import Answer, Caller, Outcome
from eelgrassdale_standins.commands import OBJECT_API, backend_name
from eelgrassdale_standins.control import get_counts, set_faults
from eelgrassdale_standins.deployment import Deployment
from eelgrassdale_standins.processes import wait_until
from eelgrassdale_standins.topology import LID_ASSISTANT, ORDER_DESK, ModelSpec

MODELS = (
    ModelSpec(version="lid-1", size_bytes=1_000_000),
    ModelSpec(version="lid-2", size_bytes=1_000_000, seed=2),
)
ACCOUNT = "franchise-0"
MAX_TOKENS = 24
ENGINE_SLOWDOWN = 10.0
RESERVATION_SECONDS = 0.7
WAIT_TIMEOUT_SECONDS = 20.0
ALLOWED_STREAM_OUTCOMES = (Outcome.WHOLE, Outcome.BROKEN, Outcome.MAY_HAVE_RUN)

_executor = ThreadPoolExecutor(16)


def restore_deployment(deployment: Deployment) -> None:
    """Restart ended processes, resume frozen ones, clear faults, wait until ready."""
    topology = deployment.topology
    for process in deployment.processes.values():
        process.resume()
    for agent in topology.agents:
        name = backend_name(agent.name)
        if deployment.processes[name].exit_code is not None:
            deployment.start_backend(agent.name, is_loaded=True)
    for node in (*topology.entries, *topology.agents):
        if deployment.processes[node.name].exit_code is not None:
            deployment.start_node(node.name)
    deployment.wait_until_healthy()
    for agent in topology.agents:
        address = deployment.addresses.backend[agent.name]
        if agent.service == LID_ASSISTANT:
            set_faults(address, slowdown=1.0, hang=False, outage=False)
        else:
            set_faults(address, delay_seconds=0.0, lose_answers=0, outage=False)
    object_api = deployment.addresses.platform[OBJECT_API]
    set_faults(object_api, outage=False, slow_seconds=0.0, lose_answers=0)
    deployment.wait_until_ready()
    # A reservation of an earlier test can outlive its killed agent. A test that
    # waits for its own reservation to run must not find that one instead.
    wait_until(
        lambda: (
            not any(
                get_counts(deployment.addresses.backend[agent.name])["running"]
                for agent in topology.agents
            )
        ),
        timeout_seconds=WAIT_TIMEOUT_SECONDS,
        description="no backend server runs a request",
    )
    wait_until(
        lambda: all(accepts_work(deployment, agent.name) for agent in topology.agents),
        timeout_seconds=WAIT_TIMEOUT_SECONDS,
        description="every agent accepts work",
    )
    for entry in topology.entries:
        wait_until_served(deployment, entry.name)


def accepts_work(deployment: Deployment, agent: str) -> bool:
    """Return whether an agent accepts requests and has a free slot."""
    headroom = deployment.probe(agent).headroom.values()
    return any(
        service_headroom.accepting and service_headroom.slots > 0
        for service_headroom in headroom
    )


def new_caller() -> Caller:
    """Return a caller that knows the expected text of both model versions."""
    weights = {model.version: model.weights().loaded_digest for model in MODELS}
    return Caller(account=ACCOUNT, weights=weights, timeout_seconds=15.0)


def wait_until_served(deployment: Deployment, entry: str) -> None:
    """Wait until an entry node answers and issues keys for every order desk agent."""
    names = [agent.name for agent in deployment.topology.agents_of(ORDER_DESK)]
    expected_agents = {(name, deployment.probe(name).incarnation) for name in names}
    wait_until(
        lambda: (
            agents_of_issued_keys(deployment, entry, len(expected_agents))
            == expected_agents
            and send_prompt(deployment, entry, max_tokens=1).result().is_complete
        ),
        timeout_seconds=WAIT_TIMEOUT_SECONDS,
        description=f"{entry} serves",
    )


def agents_of_issued_keys(
    deployment: Deployment, entry: str, keys: int
) -> set[tuple[str, int]]:
    """Return the agents and incarnations in keys issued by an entry node."""
    address = deployment.addresses.caller[entry]
    try:
        issued = new_caller().entries(address, ORDER_DESK, keys=keys).keys
    except (RuntimeError, urllib3.exceptions.HTTPError):
        return set()
    parsed = [parse_key(key).ok for key in issued]
    return {(key.agent, key.incarnation) for key in parsed}


def send_prompt(
    deployment: Deployment, entry: str, *, max_tokens: int = MAX_TOKENS
) -> Future[Answer]:
    """Send a prompt through an entry node in a background thread."""
    return _executor.submit(
        new_caller().generate,
        deployment.addresses.caller[entry],
        LID_ASSISTANT,
        prompt="Which lid?",
        max_tokens=max_tokens,
    )


def request_key(deployment: Deployment, entry: str) -> str:
    """Return one key issued by an entry node."""
    address = deployment.addresses.caller[entry]
    return new_caller().entries(address, ORDER_DESK, keys=1).keys[0]


def reserve(
    deployment: Deployment, entry: str, *, key: str, reservation: str
) -> Future[Answer]:
    """Send a keyed reservation through an entry node in a background thread."""
    return _executor.submit(
        new_caller().call,
        deployment.addresses.caller[entry],
        ORDER_DESK,
        "reserve",
        body=json.dumps({"reservation": reservation}).encode(),
        key=key,
    )


def slow_engines(deployment: Deployment) -> None:
    """Slow the engines so that a test can act while an answer is streamed."""
    for agent in deployment.topology.agents_of(LID_ASSISTANT):
        set_faults(deployment.addresses.backend[agent.name], slowdown=ENGINE_SLOWDOWN)


def slow_reservations(
    deployment: Deployment, seconds: float = RESERVATION_SECONDS
) -> None:
    """Delay reservations so that a test can act while one is running."""
    for agent in deployment.topology.agents_of(ORDER_DESK):
        set_faults(deployment.addresses.backend[agent.name], delay_seconds=seconds)


def wait_for_running_agent(
    deployment: Deployment, service: str, answer: Future[Answer]
) -> str:
    """Wait until a backend server runs a request of a service; return its agent.

    `answer` is that of the request and must not arrive before the request runs.
    """
    running_agents = []

    def is_found() -> bool:
        assert not answer.done(), f"answered before it ran: {answer.result()}"
        running_agents.extend(
            agent.name
            for agent in deployment.topology.agents_of(service)
            if get_counts(deployment.addresses.backend[agent.name])["running"] > 0
        )
        return bool(running_agents)

    wait_until(
        is_found,
        timeout_seconds=WAIT_TIMEOUT_SECONDS,
        description=f"a request of {service} runs",
    )
    return running_agents[0]


def wait_for_reserving_agent(
    deployment: Deployment, reservation: str, answer: Future[Answer]
) -> str:
    """Wait until a reservation runs at an order desk; return its agent.

    `answer` is that of the request and must not arrive before the request runs.
    A request of an earlier test may still run at another order desk, so the
    number of running requests does not identify the agent.
    """
    running_agents = []

    def is_found() -> bool:
        assert not answer.done(), f"answered before it ran: {answer.result()}"
        running_agents.extend(
            agent.name
            for agent in deployment.topology.agents_of(ORDER_DESK)
            if reservation
            in get_counts(deployment.addresses.backend[agent.name])["reservations"]
        )
        return bool(running_agents)

    wait_until(
        is_found,
        timeout_seconds=WAIT_TIMEOUT_SECONDS,
        description=f"reservation {reservation} runs",
    )
    return running_agents[0]


def count_runs(deployment: Deployment, reservation: str) -> int:
    """Return how often a reservation ran, summed over all backend servers."""
    return sum(
        get_counts(deployment.addresses.backend[agent.name])["reservations"].get(
            reservation, 0
        )
        for agent in deployment.topology.agents_of(ORDER_DESK)
    )
