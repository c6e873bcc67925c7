"""Identity of a process: name, role, location and incarnation."""

import secrets
from datetime import datetime
from enum import Enum

from attrs import frozen

INCARNATION_RANDOM_BITS = 20


class Role(Enum):
    """Which of the two programs a process runs."""

    ENTRY = "entry"
    BACKEND = "backend"


@frozen(kw_only=True)
class Identity:
    """Name, role, location and incarnation of one process.

    `incarnation` is positive, fits a signed 64-bit integer and grows with the
    start time, so that a restarted process on the same VM has a higher one.
    """

    name: str
    role: Role
    data_centre: str
    region: str
    node_address: str
    incarnation: int


def new_incarnation(*, started_at: datetime) -> int:
    """Return the incarnation of a process that started at `started_at`.

    The upper bits are milliseconds since 1970. The lower 20 bits are random, so
    that two starts within one millisecond differ.

    Examples
    --------
    >>> from datetime import UTC, datetime, timedelta
    >>> first = datetime(2026, 1, 1, tzinfo=UTC)
    >>> later = first + timedelta(milliseconds=1)
    >>> new_incarnation(started_at=first) < new_incarnation(started_at=later)
    True

    """
    milliseconds = int(started_at.timestamp() * 1000)
    return (milliseconds << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )
