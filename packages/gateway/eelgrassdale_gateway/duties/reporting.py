"""Decides what becomes of a window that has no record yet; pure."""

import enum

from attrs import frozen

from eelgrassdale_gateway.duties.windows import KEPT_WINDOWS, window_at

# A holder closes a window so long after its end, by the time of the fleet: the last
# counts are sent three times, a second apart.
CLOSE_SECONDS = 3.0
# A window of which a gateway may still have counts is closed this long before the
# report would be late. It leaves time for the report, and for some of a new holder.
LATE_MARGIN_SECONDS = 4.0
# A candidate gets the open counts of the others about this long after it became one.
CANDIDACY_SECONDS = 1.0


class Verdict(enum.Enum):
    """What a holder does with a closed window."""

    REPORT = "report"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Coverage:
    """Since when a holder has what it needs to report; seconds of the time of day.

    `others_since` is when the earliest other gateway that counted in the window began
    to count, `era_noticed_at` when this process noticed the present era.
    """

    started_at: float
    candidate_since: float
    others_since: float
    era_noticed_at: float
    is_incomplete: bool = False


def closed_windows(now: float, *, window_seconds: float) -> range:
    """Return the windows that are closed and not too old to be reported.

    Examples
    --------
    >>> closed_windows(112.9, window_seconds=5.0)[-1]
    20
    >>> closed_windows(113.0, window_seconds=5.0)[-1]
    21

    """
    end = window_at(now - CLOSE_SECONDS, window_seconds)
    return range(max(0, end - KEPT_WINDOWS), end)


def latest_close(*, late_seconds: float) -> float:
    """Return how long after its end a window waits for a silent gateway.

    Examples
    --------
    >>> latest_close(late_seconds=10.0), latest_close(late_seconds=2.0)
    (6.0, 3.0)

    """
    return max(CLOSE_SECONDS, late_seconds - LATE_MARGIN_SECONDS)


def verdict(window: int, coverage: Coverage, *, window_seconds: float) -> Verdict:
    """Return whether the counts of a window are complete and were never reported."""
    begins_at = window * window_seconds
    ends_at = begins_at + window_seconds
    counted_since = min(coverage.started_at, coverage.others_since)
    is_reportable = (
        counted_since <= begins_at
        and coverage.candidate_since + CANDIDACY_SECONDS <= ends_at
        # A record from before a restoration may be lost although it was reported.
        and ends_at > coverage.era_noticed_at
        and not coverage.is_incomplete
    )
    return Verdict.REPORT if is_reportable else Verdict.UNKNOWN
