"""Decodes what a backend server says of itself from the head of a response."""

from attrs import frozen

from eelgrassdale.http1 import ResponseHead
from eelgrassdale_gateway.headernames import HeaderNames

FLAG_SET = "1"


@frozen(kw_only=True)
class Advisory:
    """What one response says of the backend server that sent it.

    `is_leaving` is true if the server is about to stop and wants no new requests.
    """

    is_leaving: bool = False


def read_advisory(head: ResponseHead, header_names: HeaderNames) -> Advisory:
    """Return what the head of a response says of its backend server.

    Values that are not valid are ignored.
    """
    return Advisory(is_leaving=head.header(header_names.leaving).strip() == FLAG_SET)
