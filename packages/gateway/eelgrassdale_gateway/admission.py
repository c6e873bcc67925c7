"""Validates a request against the configuration before it is queued."""

import math
from random import Random

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.hashing import digest_of
from eelgrassdale.http1 import Request
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.headernames import HeaderNames
from eelgrassdale_gateway.model import Account, Route, RouteTable

# Subtracted from the deadline so that the response can reach the caller in time.
RESPONSE_MARGIN_SECONDS = 0.03
MAX_DEADLINE_SECONDS = 3600.0
# No engine has room for as many; loads are sent in 32 bits.
MAX_TOKENS = 1_000_000_000
MAX_TOKEN_DIGITS = 10
# Longer names of models and parts are known by their digests.
MAX_NAME_LENGTH = 64
# Parts of a prompt that its log lines name.
MAX_LOGGED_PARTS = 16


@frozen(kw_only=True)
class AdmittedRequest:
    """A request that passed admission; times are in seconds of the monotonic clock.

    `output_tokens` is an estimate, 0 if there is none. `shared_parts` are the ids of
    the parts of the prompt that other requests may share, `quarantine_parts` the same
    each together with the model that reads it. `deadline_at` is when the
    caller gives up. `expires_at` is when the gateway ends the request: shortly
    before `deadline_at`, or at the timeout of the route if that comes first.
    """

    request: Request
    request_id: str
    route: Route
    service: str
    account: Account | None
    model: str
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[str, ...] = ()
    quarantine_parts: frozenset[str] = frozenset()
    arrived_at: float
    deadline_at: float
    expires_at: float

    @property
    def priority(self) -> int:
        """Priority of the account if it has one, else of the route; 0 is first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def logged_parts(self) -> str:
        """The first shared parts of the prompt, and the number of the others."""
        names = ",".join(self.shared_parts[:MAX_LOGGED_PARTS])
        left_out_count = len(self.shared_parts) - MAX_LOGGED_PARTS
        return f"{names},+{left_out_count}" if left_out_count > 0 else names

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions that may run the request: empty allows all, None allows none."""
        account_regions = self.account.regions if self.account else frozenset()
        route_regions = self.route.regions
        if account_regions and route_regions:
            return account_regions & route_regions or None
        return account_regions | route_regions


def admit(
    request: Request,
    *,
    table: RouteTable,
    header_names: HeaderNames,
    now: float,
    rng: Random,
) -> Result[AdmittedRequest, ResultCode]:
    """Return the admitted request, or the code with which it is refused."""
    route = table.route_for(request.header("host"), request.path)
    if route is None:
        return Error(ResultCode.UNKNOWN_ROUTE)
    account = None
    if table.requires_account and not route.is_anonymous:
        account = table.accounts_by_key.get(request.header(header_names.api_key))
        if account is None:
            return Error(ResultCode.UNKNOWN_API_KEY)
    remaining_seconds = _remaining_seconds(
        request.header(header_names.remaining_ms), route
    )
    deadline_at = now + remaining_seconds
    model = request.header(header_names.model)
    shared_parts = _parse_shared_parts(request.header(header_names.prompt_parts))
    prompt_tokens, output_tokens = _parse_token_counts(
        request.header(header_names.token_counts)
    )
    return Ok(
        AdmittedRequest(
            request=request,
            request_id=request.header(header_names.request_id),
            route=route,
            service=choose_service(route, rng),
            account=account,
            model=model,
            prompt_tokens=prompt_tokens,
            output_tokens=_expected_output_tokens(
                request.header(header_names.output_tokens_hint), output_tokens
            ),
            shared_parts=shared_parts,
            quarantine_parts=_with_model(model, shared_parts),
            arrived_at=now,
            deadline_at=deadline_at,
            expires_at=min(
                deadline_at - RESPONSE_MARGIN_SECONDS, now + route.timeout_seconds
            ),
        )
    )


def choose_service(route: Route, rng: Random) -> str:
    """Return a service of the route drawn by weight; empty if all weights are 0."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    if not any(weights):
        return ""
    return rng.choices(route.splits, weights)[0].service


def _remaining_seconds(text: str, route: Route) -> float:
    try:
        remaining_seconds = float(text) / 1000
    except ValueError:
        return route.timeout_seconds
    if math.isnan(remaining_seconds):
        return route.timeout_seconds
    return min(max(remaining_seconds, 0.0), MAX_DEADLINE_SECONDS)


def _expected_output_tokens(length_hint: str, max_output_tokens: int) -> int:
    """Return the estimated output tokens; 0 without a valid length hint.

    Examples
    --------
    >>> _expected_output_tokens("60", 250), _expected_output_tokens("900", 250)
    (60, 250)
    >>> _expected_output_tokens("", 250)
    0

    """
    if not length_hint.isdecimal() or len(length_hint) > MAX_TOKEN_DIGITS:
        return 0
    return min(int(length_hint), max_output_tokens)


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return prompt tokens and maximum output tokens, 0 where not given.

    Examples
    --------
    >>> (
    ...     _parse_token_counts("1460,80"),
    ...     _parse_token_counts("x"),
    ...     _parse_token_counts(""),
    ... )
    ((1460, 80), (0, 0), (0, 0))
    >>> _parse_token_counts("2147483648,80")
    (1000000000, 80)

    """
    prompt, _, output = text.partition(",")
    try:
        return _bounded_tokens(prompt), _bounded_tokens(output or "0")
    except ValueError:
        return 0, 0


def _bounded_tokens(text: str) -> int:
    return min(max(int(text), 0), MAX_TOKENS)


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which is its own.

    Examples
    --------
    >>> _parse_shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    ('5c1e07a2', '91bd3f06')
    >>> _parse_shared_parts("5c1e07a2:800"), _parse_shared_parts("")
    ((), ())

    """
    ids = [entry.partition(":")[0].strip() for entry in text.split(",")]
    return tuple(dict.fromkeys(_bounded_name(part) for part in ids[:-1] if part))


def _with_model(model: str, parts: tuple[str, ...]) -> frozenset[str]:
    name = _bounded_name(model)
    return frozenset(f"{name}/{part}" for part in parts)


def _bounded_name(name: str) -> str:
    """Return a name of at most `MAX_NAME_LENGTH` characters.

    Examples
    --------
    >>> _bounded_name("5c1e07a2"), len(_bounded_name(1000 * "5"))
    ('5c1e07a2', 32)

    """
    return name if len(name) <= MAX_NAME_LENGTH else digest_of(name.encode())
