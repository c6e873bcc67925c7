"""When an agent may order its engine to load, and what it does next."""

from collections.abc import Mapping, Sequence
from enum import Enum

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.hashing import rendezvous_order


class LoadState(Enum):
    """State of the weights of one agent, as in `ProbeAnswer.load_state`."""

    EMPTY = "empty"
    FETCHING = "fetching"
    WAITING = "waiting"
    LOADING = "loading"
    COLD = "cold"
    READY = "ready"


@frozen(kw_only=True)
class ReplicaView:
    """What an agent last learned about another backend server of its service.

    `model_version` is the version that its engine serves, empty for none.
    """

    is_alive: bool
    load_state: LoadState = LoadState.EMPTY
    model_version: str = ""


def load_order(service: str, backend_servers: Sequence[str]) -> list[str]:
    """Return the backend servers of a service in the order in which they load."""
    return rendezvous_order(topic=f"load/{service}", members=backend_servers)


def predecessors(order: Sequence[str], me: str, limit: int) -> list[str]:
    """Return the backend servers that `me` waits for, the nearest first.

    Of these only the first that is alive counts. With the predecessor `limit`
    places before, the order falls into `limit` chains, and in each of them one
    backend server loads at a time.

    Examples
    --------
    >>> predecessors(["a", "b", "c", "d", "e"], "e", 2)
    ['c', 'a']

    """
    place = order.index(me)
    return list(order[:place][::-1][limit - 1 :: limit])


def is_on(view: ReplicaView, model_version: str) -> bool:
    """Return whether a backend server is ready and warm on a model version."""
    return view.load_state is LoadState.READY and view.model_version == model_version


def may_load(
    chain: Sequence[str], views: Mapping[str, ReplicaView], model_version: str
) -> Result[None, str]:
    """Return Ok if the loading order allows a load, else the server waited for.

    Parameters
    ----------
    chain : sequence of str
        Result of `predecessors`.
    views : mapping of str to ReplicaView
        Backend servers of the chain, as far as they were probed.
    model_version : str
        Version to load.

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
        return Ok(None) if is_on(view, model_version) else Error(name)
    return Ok(None)


def serves_other_version(view: ReplicaView, model_version: str) -> bool:
    """Return whether a backend server serves callers from another version."""
    return view.is_alive and view.model_version not in ("", model_version)


def disrupts_nobody(
    own_version: str, views: Mapping[str, ReplicaView], model_version: str
) -> bool:
    """Return whether a load takes away no capacity, as in a first deployment.

    That holds when the own engine is empty and no other backend server of the
    service serves another version; then the order need not be kept.
    """
    if own_version:
        return False
    return not any(serves_other_version(view, model_version) for view in views.values())


def count_disrupted(views: Mapping[str, ReplicaView]) -> int:
    """Return how many of the seen backend servers load or are cold."""
    disrupted = (LoadState.LOADING, LoadState.COLD)
    return sum(
        view.is_alive and view.load_state in disrupted for view in views.values()
    )


class Step(Enum):
    """What follows after the engine's state was read or an order ended."""

    ADOPT = "adopt"
    ORDER = "order"
    AWAIT_GENERATION = "await generation"
    RESTAGE = "restage"
    READ_STATE = "read state"


# An order may follow a reading of the engine's state within this time. After
# a longer gap the process was paused, and the state is read again.
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
) -> Step:
    """Return what to do with an engine whose state was read.

    Parameters
    ----------
    manifest, model_version : str
        Version that the configuration names.
    engine_manifest, engine_version : str
        What the engine has loaded; an engine may leave the manifest empty.
    read_seconds_ago : float
        Age of that reading on the monotonic clock.
    generation : int
        Generation of the configuration, the fencing token of an order.
    highest_fencing : int
        Highest token that this agent ever used or saw refused.
    """
    if read_seconds_ago > STATE_FRESH_SECONDS:
        return Step.READ_STATE
    if engine_version == model_version and engine_manifest in ("", manifest):
        return Step.ADOPT
    if generation < highest_fencing:
        return Step.AWAIT_GENERATION
    return Step.ORDER
