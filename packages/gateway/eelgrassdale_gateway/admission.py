"""Checks a request against the configuration before it waits for a place."""

from random import Random

from attrs import frozen
from expression import Error, Ok, Result

from eelgrassdale.http1 import Request
from eelgrassdale.results import ResultCode
from eelgrassdale_gateway.model import Account, Route, RouteTable
from eelgrassdale_gateway.wirenames import WireNames

# Time for the answer to travel to the caller before it gives up.
ANSWER_MARGIN_SECONDS = 0.03
MAX_DEADLINE_SECONDS = 3600.0


@frozen(kw_only=True)
class Admitted:
    """A proper request; moments are monotonic seconds.

    `output_tokens` is an estimate, 0 for none. `deadline_at` is when the
    caller gives up, `end_at` when the gateway ends the request, by then or at
    the time limit of the route.
    """

    request: Request
    request_id: str
    route: Route
    service: str
    account: Account | None
    model: str
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    deadline_at: float
    end_at: float

    @property
    def priority(self) -> int:
        """Rank among waiting requests, 0 first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions that may run the request; empty for all, None for no region."""
        of_account = self.account.regions if self.account else frozenset()
        of_route = self.route.regions
        if of_account and of_route:
            return of_account & of_route or None
        return of_account | of_route


def admit(
    request: Request,
    *,
    table: RouteTable,
    names: WireNames,
    now: float,
    rng: Random,
) -> Result[Admitted, ResultCode]:
    """Return the checked request, or why it is refused."""
    route = table.route_for(request.header("host"), request.path)
    if route is None:
        return Error(ResultCode.UNKNOWN_ROUTE)
    account = None
    if table.has_accounts and not route.is_anonymous:
        account = table.accounts_by_key.get(request.header(names.api_key))
        if account is None:
            return Error(ResultCode.UNKNOWN_API_KEY)
    time_left = _seconds_left(request.header(names.time_left), route)
    deadline_at = now + time_left
    prompt_tokens, output_tokens = _token_counts(request.header(names.token_counts))
    return Ok(
        Admitted(
            request=request,
            request_id=request.header(names.request_id),
            route=route,
            service=choose_split(route, rng),
            account=account,
            model=request.header(names.model),
            prompt_tokens=prompt_tokens,
            output_tokens=_expected_output(
                request.header(names.length_hint), output_tokens
            ),
            arrived_at=now,
            deadline_at=deadline_at,
            end_at=min(deadline_at - ANSWER_MARGIN_SECONDS, now + route.timeout),
        )
    )


def choose_split(route: Route, rng: Random) -> str:
    """Return a service of the route, drawn by weight."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    if not any(weights):
        return ""
    return rng.choices(route.splits, weights)[0].service


def _seconds_left(text: str, route: Route) -> float:
    try:
        seconds = float(text) / 1000
    except ValueError:
        return route.timeout
    return min(max(seconds, 0.0), MAX_DEADLINE_SECONDS)


def _expected_output(hint: str, most: int) -> int:
    """Return the output tokens to expect.

    Examples
    --------
    >>> _expected_output("60", 250), _expected_output("900", 250)
    (60, 250)
    >>> _expected_output("", 250)
    0

    """
    return min(int(hint), most) if hint.isdecimal() else 0


def _token_counts(text: str) -> tuple[int, int]:
    """Return prompt and output tokens; 0 where the header says none.

    Examples
    --------
    >>> _token_counts("1460,80"), _token_counts("x"), _token_counts("")
    ((1460, 80), (0, 0), (0, 0))

    """
    prompt, _, output = text.partition(",")
    try:
        return int(prompt), int(output or 0)
    except ValueError:
        return 0, 0
