"""Selection of the backend server for one request."""

from collections.abc import Sequence
from enum import IntEnum
from random import Random

from attrs import frozen

from eelgrassdale.hashing import rendezvous_order

# The backend server that a prompt prefix maps to is preferred while its load is
# at most a quarter above the mean. This bounds the imbalance that affinity can
# cause.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK_REQUESTS = 1


class Tier(IntEnum):
    """Distance from the entry node to a backend server; lower is preferred."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER_REGION = 2


@frozen(kw_only=True)
class Location:
    """Location of the entry node."""

    data_centre: str
    region: str


@frozen(kw_only=True)
class AgentView:
    """State of one backend server for one service, as the entry node knows it.

    `slots` and `memory_bytes` were free according to the last report;
    `pending_slots` and `pending_bytes` belong to requests sent since then.
    `suspect` is true after a refused connection or one second without contact.
    """

    name: str
    data_centre: str
    region: str
    slots: int
    memory_bytes: int
    limit: int = 1
    running: int = 0
    pending_slots: int = 0
    pending_bytes: int = 0
    accepting: bool = True
    suspect: bool = False
    model_version: str = ""

    @property
    def free_slots(self) -> int:
        """Free slots minus those of requests sent since the report."""
        return self.slots - self.pending_slots

    @property
    def free_bytes(self) -> int:
        """Free memory in bytes minus that of requests sent since the report."""
        return self.memory_bytes - self.pending_bytes

    @property
    def load(self) -> int:
        """Requests that run on the backend server or were sent since the report."""
        return self.running + self.pending_slots


@frozen(kw_only=True)
class RequestRequirements:
    """Requirements of one request on its backend server.

    `model_version` is set for a resumed stream. `affinity` is the digest of the
    prompt prefix, or empty. Backend servers in `avoided` are used only if there
    is no other. `allow_suspect` is true for requests that may run twice.
    `allow_other_region` is true if the byte budget between regions covers the
    request.
    """

    memory_bytes: int = 0
    model_version: str = ""
    affinity: str = ""
    avoided: frozenset[str] = frozenset()
    allow_suspect: bool = True
    allow_other_region: bool = True


def tier_of(view: AgentView, location: Location) -> Tier:
    """Return the tier of a backend server as seen from the entry node."""
    if view.data_centre == location.data_centre:
        return Tier.DATA_CENTRE
    if view.region == location.region:
        return Tier.REGION
    return Tier.OTHER_REGION


def choose_server(
    *,
    views: Sequence[AgentView],
    location: Location,
    requirements: RequestRequirements,
    rng: Random,
) -> AgentView | None:
    """Return the backend server for a request, or None if it has to wait.

    The nearest tier with headroom is used. Within it, the backend server that
    the prompt prefix maps to is chosen while its load is within the bound;
    otherwise the one with more headroom of two random candidates. A suspect
    backend server is chosen only if the request may run twice and every usable
    backend server, free or busy, is suspect.

    Examples
    --------
    >>> here = Location(data_centre="n1", region="n")
    >>> near = AgentView(
    ...     name="a", data_centre="n1", region="n", slots=1, memory_bytes=9
    ... )
    >>> far = AgentView(
    ...     name="b", data_centre="s1", region="s", slots=8, memory_bytes=9
    ... )
    >>> any_server = RequestRequirements()
    >>> choose_server(
    ...     views=[near, far], location=here, requirements=any_server, rng=Random(1)
    ... ).name
    'a'

    """
    free = [
        view
        for view in candidates(views, requirements)
        if _has_headroom(view, requirements)
    ]
    for tier in Tier:
        if tier is Tier.OTHER_REGION and not requirements.allow_other_region:
            break
        in_tier = [view for view in free if tier_of(view, location) is tier]
        if in_tier:
            return _choose_in_tier(in_tier, requirements, rng)
    return None


def candidates(
    views: Sequence[AgentView], requirements: RequestRequirements
) -> list[AgentView]:
    """Return the backend servers that may run a request, free or busy.

    Examples
    --------
    >>> view = AgentView(
    ...     name="a", data_centre="n1", region="n", slots=0, memory_bytes=0
    ... )
    >>> avoiding = RequestRequirements(avoided=frozenset({"a"}))
    >>> [v.name for v in candidates([view], avoiding)]
    ['a']
    >>> candidates([view], RequestRequirements(model_version="lid-2"))
    []

    """
    usable = [
        view
        for view in views
        if view.accepting and requirements.model_version in ("", view.model_version)
    ]
    allowed = [view for view in usable if not view.suspect]
    if not allowed and requirements.allow_suspect:
        allowed = usable
    return [
        view for view in allowed if view.name not in requirements.avoided
    ] or allowed


def _has_headroom(view: AgentView, requirements: RequestRequirements) -> bool:
    return view.free_slots > 0 and view.free_bytes >= requirements.memory_bytes


def _choose_in_tier(
    views: list[AgentView], requirements: RequestRequirements, rng: Random
) -> AgentView:
    if len(views) == 1:
        return views[0]
    holder = _prefix_holder(views, requirements)
    if holder is not None:
        return holder
    first, second = rng.sample(views, 2)
    return max(first, second, key=_relative_headroom)


def _prefix_holder(
    views: list[AgentView], requirements: RequestRequirements
) -> AgentView | None:
    if not requirements.affinity:
        return None
    names = rendezvous_order(key=requirements.affinity, members=[v.name for v in views])
    holder = next(view for view in views if view.name == names[0])
    mean = sum(view.load for view in views) / len(views)
    bound = AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_SLACK_REQUESTS
    return holder if holder.load <= bound else None


def _relative_headroom(view: AgentView) -> tuple[float, int]:
    return view.free_slots / max(view.limit, 1), view.free_bytes
