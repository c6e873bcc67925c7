"""Decodes what a backend server says of itself from the head of a response."""

import math

from attrs import frozen

from eelgrassdale.http1 import ResponseHead
from eelgrassdale_gateway.headernames import HeaderNames

FLAG_SET = "1"
SERVICE_UNAVAILABLE_STATUS = 503
# Longer times are not credible: a server that is gone for so long stops.
MAX_PAUSE_SECONDS = 3600.0


@frozen(kw_only=True)
class Advisory:
    """What one response says of the backend server that sent it.

    `is_leaving` is true if the server is about to stop and wants no new requests.
    `pause_seconds` is for how long it wants no requests from this gateway. `rate_limit`
    is how many requests a second it takes from all gateways together, None if it names
    no limit. `is_refusal` is true if it did not run the request.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    rate_limit: float | None = None
    is_refusal: bool = False


def read_advisory(head: ResponseHead, header_names: HeaderNames) -> Advisory:
    """Return what the head of a response says of its backend server.

    Values that are not valid are ignored.
    """
    is_leaving = head.header(header_names.leaving).strip() == FLAG_SET
    pause_seconds = 0.0
    if head.status == SERVICE_UNAVAILABLE_STATUS:
        pause_seconds = parse_number(head.header("retry-after")) or 0.0
    return Advisory(
        is_leaving=is_leaving,
        pause_seconds=min(pause_seconds, MAX_PAUSE_SECONDS),
        rate_limit=parse_number(head.header(header_names.rate_limit)),
        is_refusal=bool(head.header(header_names.not_run)),
    )


def parse_number(text: str) -> float | None:
    """Return a decimal number that is not negative, or None.

    Examples
    --------
    >>> parse_number("1.5"), parse_number("-1"), parse_number("soon")
    (1.5, None, None)
    >>> parse_number("nan"), parse_number("1e999"), parse_number("")
    (None, None, None)

    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
