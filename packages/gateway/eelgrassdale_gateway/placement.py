"""Choice of the backend server for one request, as a pure function.

Designed for bursts of requests with long prompts. A model engine reads all waiting
prompts between two tokens of the running requests, so the prompt tokens waiting
there determine the time to the first event and the pauses of running streams.
"""

from collections.abc import Iterable, Sequence
from random import Random

from attrs import frozen

from eelgrassdale_gateway.loads import Load
from eelgrassdale_gateway.model import BackendServer, EngineProfile, Service

# Requests that a model engine gets beyond its slots. A request queued at an engine
# cannot be moved to another one, so nearly all requests wait at the gateway.
EXTRA_ENGINE_REQUESTS = 1
# Requests per slot at a server without a model engine, which queues a few itself.
PLAIN_REQUESTS_PER_SLOT = 3.0
# Limit of the prompt tokens waiting at an engine, as the time to read them. An engine
# reads them in one pass between two events, and a pause of 400 ms is too long.
MAX_BACKLOG_SECONDS = 0.25
# Candidates sampled at random from all available ones, and as many from the local
# ones; the best of them is chosen. All gateways decide on equally old reports, and
# without sampling would all choose the same best server.
SAMPLED_CANDIDATES = 2
# Fraction of an engine's slots available to requests that can no longer meet their
# objective. The rest is reserved for those that can.
LATE_SLOTS_SHARE = 0.8
# A server in another data centre is chosen only if it is faster by this time. Fewer
# gateways then share a server, and the links between regions carry less traffic.
REMOTE_PENALTY_SECONDS = 0.08


@frozen(kw_only=True)
class Candidate:
    """A backend server that may run the request, with its load.

    `unseen_requests` of the load are an estimate of what peers did not report yet.
    """

    server: BackendServer
    load: Load
    unseen_requests: int = 0
    is_avoided: bool = False
    is_local: bool = True


@frozen(kw_only=True)
class Placement:
    """The chosen backend server and the estimated time to the first event."""

    server: BackendServer
    first_event_seconds: float


def first_event_seconds(service: Service, candidate: Candidate, tokens: int) -> float:
    """Return the estimated seconds until the first event of a request.

    For a service without a model engine it is the load in requests per slot, which
    serves only to compare servers.

    Examples
    --------
    >>> from eelgrassdale_gateway.model import EngineProfile
    >>> engine = EngineProfile(
    ...     slots=4,
    ...     prefill_tokens_per_second=20_000.0,
    ...     decode_step_seconds=0.01,
    ...     steps_per_event=5,
    ... )
    >>> service = Service(name="m", engine=engine)
    >>> server = BackendServer(
    ...     id="s", service="m", address=("", 0), data_centre="", region="", slots=4
    ... )
    >>> idle = Candidate(server=server, load=Load())
    >>> busy = Candidate(server=server, load=Load(requests=2, tokens=4_000))
    >>> round(first_event_seconds(service, idle, 1_000), 3)
    0.1
    >>> round(first_event_seconds(service, busy, 1_000), 3)
    0.325

    """
    engine = service.engine
    if engine is None:
        return candidate.load.requests / max(candidate.server.slots, 1)
    event_interval_seconds = engine.decode_step_seconds * engine.steps_per_event
    prefill_seconds = _prefill_seconds(engine, candidate.load.tokens + tokens)
    current_pass_seconds = (
        event_interval_seconds / 2 if candidate.load.requests else 0.0
    )
    return current_pass_seconds + prefill_seconds + event_interval_seconds


def min_first_event_seconds(service: Service, tokens: int) -> float:
    """Return the seconds to the first event at an engine without waiting prompts."""
    engine = service.engine
    if engine is None:
        return 0.0
    return (
        _prefill_seconds(engine, tokens)
        + 2 * engine.decode_step_seconds * engine.steps_per_event
    )


def _prefill_seconds(engine: EngineProfile, tokens: int) -> float:
    """Return the seconds to read prompt tokens, 0 if the speed is not known."""
    speed = engine.prefill_tokens_per_second
    return tokens / speed if speed else 0.0


def streaming_seconds(service: Service, tokens: int) -> float:
    """Return the seconds from the first event to the last at an idle engine."""
    return (
        tokens * service.engine.decode_step_seconds
        if service.engine is not None
        else 0.0
    )


def request_limit(
    service: Service, server: BackendServer, *, is_late: bool = False
) -> float:
    """Return from how many requests on a backend server gets no further one."""
    slots = max(server.slots, 1)
    if service.engine is None:
        return slots * PLAIN_REQUESTS_PER_SLOT
    return LATE_SLOTS_SHARE * slots if is_late else slots + EXTRA_ENGINE_REQUESTS


def preferred_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates that are not avoided, or all if all are avoided."""
    listed = list(candidates)
    return [c for c in listed if not c.is_avoided] or listed


def has_capacity(
    service: Service, candidate: Candidate, tokens: int, *, is_late: bool = False
) -> bool:
    """Return whether a backend server may get one more request now."""
    limit = request_limit(service, candidate.server, is_late=is_late)
    return candidate.load.requests < limit and can_read_prompt(
        service, candidate, tokens
    )


def can_read_prompt(service: Service, candidate: Candidate, tokens: int) -> bool:
    """Return whether an engine can soon read the prompts that wait and one more."""
    engine = service.engine
    if engine is None:
        return True
    backlog = candidate.load.tokens
    return (
        backlog == 0
        or backlog + tokens <= MAX_BACKLOG_SECONDS * engine.prefill_tokens_per_second
    )


def place(
    *,
    service: Service,
    candidates: Sequence[Candidate],
    tokens: int,
    rng: Random,
    is_late: bool = False,
) -> Placement | None:
    """Return where a request goes, or None if no candidate has capacity.

    Of a few candidates sampled at random, the one with the earliest estimated first
    event is chosen. Avoided servers are considered only if all candidates are
    avoided, however busy the rest are.
    """
    available = [
        c
        for c in preferred_candidates(candidates)
        if has_capacity(service, c, tokens, is_late=is_late)
    ]
    return choose(service=service, available=available, tokens=tokens, rng=rng)


def choose(
    *, service: Service, available: Sequence[Candidate], tokens: int, rng: Random
) -> Placement | None:
    """Return where a request goes among servers with capacity for it."""
    if not available:
        return None
    local_candidates = [c for c in available if c.is_local]
    sampled = rng.sample(available, min(SAMPLED_CANDIDATES, len(available)))
    sampled += rng.sample(
        local_candidates, min(SAMPLED_CANDIDATES, len(local_candidates))
    )
    chosen = min(sampled, key=lambda c: _cost_seconds(service, c, tokens))
    return Placement(
        server=chosen.server,
        first_event_seconds=first_event_seconds(service, chosen, tokens),
    )


def _cost_seconds(service: Service, candidate: Candidate, tokens: int) -> float:
    seconds = first_event_seconds(service, candidate, tokens)
    return seconds if candidate.is_local else seconds + REMOTE_PENALTY_SECONDS
