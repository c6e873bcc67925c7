"""Choice of the backend server for one request, as a pure function.

Answers loads in which many requests with long prompts arrive together: a
model engine reads all waiting prompts between the tokens of running requests,
so the prompt tokens that wait there decide when the first event comes and how
long the pauses of running streams become.
"""

from collections.abc import Sequence
from random import Random

from attrs import frozen

from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.model import BackendServer, Service

# Requests above the slots of a model engine. Work that waits at an engine
# cannot be given to another one, so nearly all waiting is done at the gateway.
EXTRA_REQUESTS = 1
# A plain service queues a few requests beyond its slots.
PLAIN_QUEUE_SHARE = 3.0
# Prompt tokens that may wait at an engine, as seconds of reading. A pass of an
# engine reads them between two events, and a pause of 400 ms is late.
BACKLOG_SECONDS = 0.25
# Candidates drawn at random, of which the best is taken. All gateways decide
# on reports of the same age, and would all choose the one best server.
CHOICES = 2
# Share of its slots up to which a model engine is given requests that are late
# already. The rest is for those that can still be in time.
LATE_SLOTS_SHARE = 0.8
# What work in another data centre must save, in seconds. Fewer gateways then
# share a server, and the links between regions carry less.
FAR_SECONDS = 0.08


@frozen(kw_only=True)
class Candidate:
    """A backend server that may run the request, with its load."""

    server: BackendServer
    load: Load
    is_avoided: bool = False
    is_near: bool = True


@frozen(kw_only=True)
class Placement:
    """The chosen backend server and the expected seconds to the first event."""

    server: BackendServer
    expected: float


def expected_seconds(service: Service, candidate: Candidate, tokens: int) -> float:
    """Return the expected time until the first event of a request.

    Examples
    --------
    >>> from eelgrassdale_gateway.model import EngineProfile
    >>> engine = EngineProfile(slots=4, read_rate=20_000.0, step=0.01, stride=5)
    >>> service = Service(name="m", engine=engine)
    >>> server = BackendServer(
    ...     id="s", service="m", address=("", 0), data_centre="", region="", slots=4
    ... )
    >>> idle = Candidate(server=server, load=Load())
    >>> busy = Candidate(server=server, load=Load(requests=2, tokens=4_000))
    >>> round(expected_seconds(service, idle, 1_000), 3)
    0.1
    >>> round(expected_seconds(service, busy, 1_000), 3)
    0.325

    """
    engine = service.engine
    if engine is None:
        return candidate.load.requests / max(candidate.server.slots, 1)
    event = engine.step * engine.stride
    reading = (candidate.load.tokens + tokens) / engine.read_rate
    running_pass = event / 2 if candidate.load.requests else 0.0
    return running_pass + reading + event


def least_seconds(service: Service, tokens: int) -> float:
    """Return the time to the first event at an engine without waiting prompts."""
    engine = service.engine
    if engine is None:
        return 0.0
    return tokens / engine.read_rate + 2 * engine.step * engine.stride


def answer_seconds(service: Service, tokens: int) -> float:
    """Return the time from the first event to the last, without other work."""
    return tokens * service.engine.step if service.engine is not None else 0.0


def has_room(
    service: Service, candidate: Candidate, tokens: int, *, is_late: bool = False
) -> bool:
    """Return whether a backend server can take one more request now."""
    requests = candidate.load.requests
    slots = max(candidate.server.slots, 1)
    engine = service.engine
    if engine is None:
        return requests < slots * PLAIN_QUEUE_SHARE
    limit = LATE_SLOTS_SHARE * slots if is_late else slots + EXTRA_REQUESTS
    if requests >= limit:
        return False
    backlog = candidate.load.tokens
    return backlog == 0 or backlog + tokens <= BACKLOG_SECONDS * engine.read_rate


def place(
    *,
    service: Service,
    candidates: Sequence[Candidate],
    tokens: int,
    rng: Random,
    is_late: bool = False,
) -> Placement | None:
    """Return where a request goes, or None while no backend server has room.

    Of a few drawn at random, the one with the earliest expected first event
    wins. Avoided ones are taken only when there are no others, busy or not.
    """
    trusted = [c for c in candidates if not c.is_avoided] or list(candidates)
    free = [c for c in trusted if has_room(service, c, tokens, is_late=is_late)]
    if not free:
        return None
    near = [c for c in free if c.is_near]
    drawn = rng.sample(free, min(CHOICES, len(free)))
    drawn += rng.sample(near, min(CHOICES, len(near)))
    chosen = min(drawn, key=lambda c: _cost(service, c, tokens))
    return Placement(
        server=chosen.server, expected=expected_seconds(service, chosen, tokens)
    )


def _cost(service: Service, candidate: Candidate, tokens: int) -> float:
    seconds = expected_seconds(service, candidate, tokens)
    return seconds if candidate.is_near else seconds + FAR_SECONDS
