"""Rules for when an agent may order its engine to load, and what it does next."""

from collections.abc import Mapping, Sequence
from enum import Enum

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.hashing import rendezvous_order


class LoadState(Enum):
    """State of the weights on one agent, sent as `ProbeAnswer.load_state`."""

    EMPTY = "empty"
    FETCHING = "fetching"
    WAITING = "waiting"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"


@frozen(kw_only=True)
class ReplicaView:
    """State of another backend server of the service, as last probed.

    `model_version` is the version that its engine serves, or empty.
    """

    is_alive: bool
    load_state: LoadState = LoadState.EMPTY
    model_version: str = ""


def load_order(service: str, backend_servers: Sequence[str]) -> list[str]:
    """Return the backend servers of a service in the order in which they load."""
    return rendezvous_order(key=f"load/{service}", members=backend_servers)


def predecessors(order: Sequence[str], name: str, limit: int) -> list[str]:
    """Return the backend servers that `name` waits for, the nearest first.

    `name` waits only for the first of them that is alive. These are the servers
    `limit`, 2 `limit` and so on positions before it in the order, so that the
    order is divided into `limit` chains, each with one load at a time.

    Examples
    --------
    >>> predecessors(["a", "b", "c", "d", "e"], "e", 2)
    ['c', 'a']

    """
    position = order.index(name)
    return list(order[:position][::-1][limit - 1 :: limit])


def is_ready_on(view: ReplicaView, model_version: str) -> bool:
    """Return whether a backend server is ready, and not cold, on a model version."""
    return view.load_state is LoadState.READY and view.model_version == model_version


def may_load(
    chain: Sequence[str], views: Mapping[str, ReplicaView], model_version: str
) -> Result[None, str]:
    """Return Ok if the loading order permits a load, else the server to wait for.

    Parameters
    ----------
    chain : sequence of str
        Result of `predecessors`.
    views : mapping of str to ReplicaView
        Probed backend servers; a server of the chain that was not probed yet is
        waited for.
    model_version : str
        Model version to load.

    Examples
    --------
    >>> dead = ReplicaView(is_alive=False)
    >>> may_load(["b", "a"], {"b": dead, "a": dead}, "m-2").is_ok()
    True
    >>> busy = ReplicaView(is_alive=True, load_state=LoadState.LOADING)
    >>> may_load(["b", "a"], {"b": dead, "a": busy}, "m-2").error
    'a'

    """
    for name in chain:
        view = views.get(name)
        if view is None:
            return Error(name)
        if not view.is_alive:
            continue
        return Ok(None) if is_ready_on(view, model_version) else Error(name)
    return Ok(None)


def serves_other_version(view: ReplicaView, model_version: str) -> bool:
    """Return whether a live backend server serves another model version."""
    return view.is_alive and view.model_version not in ("", model_version)


def is_non_disruptive(
    own_version: str, views: Mapping[str, ReplicaView], model_version: str
) -> bool:
    """Return whether a load reduces no capacity, as in a first deployment.

    This is so if the own engine is empty and no other backend server of the
    service serves another version. The loading order then does not apply.
    """
    if own_version:
        return False
    return not any(serves_other_version(view, model_version) for view in views.values())


def count_disrupted(views: Mapping[str, ReplicaView]) -> int:
    """Return how many live backend servers in `views` are loading or cold."""
    disrupted = (LoadState.LOADING, LoadState.COLD)
    return sum(
        view.is_alive and view.load_state in disrupted for view in views.values()
    )


class LoadStep(Enum):
    """Next step of an agent after it read its engine's state or an order ended."""

    ADOPT = "adopt"
    ORDER = "order"
    AWAIT_GENERATION = "await generation"
    RESTAGE = "restage"
    READ_STATE = "read state"


# An order must follow the read of the engine's state within this time. A longer
# gap means that the process was paused, and then the state is read again.
STATE_FRESH_SECONDS = 2.0


def next_step(
    *,
    manifest: str,
    model_version: str,
    engine_manifest: str,
    engine_version: str,
    read_seconds_ago: float,
    generation: int,
    highest_fencing: int,
) -> LoadStep:
    """Return the next step for an engine whose state was read.

    Parameters
    ----------
    manifest, model_version : str
        Version that the configuration names.
    engine_manifest, engine_version : str
        Version that the engine has loaded; some engines leave the manifest empty.
    read_seconds_ago : float
        Age of the state that was read, on the monotonic clock.
    generation : int
        Generation of the configuration, used as the fencing token of an order.
    highest_fencing : int
        Highest fencing token that this agent used or that was refused to it.
    """
    if read_seconds_ago > STATE_FRESH_SECONDS:
        return LoadStep.READ_STATE
    if engine_version == model_version and engine_manifest in ("", manifest):
        return LoadStep.ADOPT
    if generation < highest_fencing:
        return LoadStep.AWAIT_GENERATION
    return LoadStep.ORDER
