"""Decides from crashes which parts of prompts end backend servers.

Designed for requests that end each server that begins to answer them ("queries of
death"). Such requests differ in all but one part of their prompts, and share the other
parts with sound requests. A part is at fault when several servers ended under answers
with it that had just begun, and no answer with it got any further in the meantime.
"""

from collections.abc import Collection, Iterable, Mapping

from attrs import frozen

# Servers that must have ended. Fewer could be coincidence where servers fail for other
# reasons; each further one costs the requests that it was running.
MIN_CRASHES = 3
# A crash does not count against a part that was answered within this time before it.
# Losses of many servers at once would otherwise count against common parts.
SOUND_BEFORE_SECONDS = 2.0


@frozen(kw_only=True)
class CrashReport:
    """A backend server whose connection ended just as an answer had begun.

    `server` names one incarnation, `parts` are the shared parts of the prompt, `at` is
    in seconds of the monotonic clock.
    """

    server: str
    parts: frozenset[str]
    at: float


def counted_crashes(
    reports: Iterable[CrashReport],
    *,
    sound_at: Mapping[str, float],
    known: Collection[frozenset[str]] = (),
) -> dict[str, dict[str, float]]:
    """Return the crashes that count against each part, as times by server.

    A crash under a request that contains a known combination of parts counts only
    against the parts of that combination.

    Parameters
    ----------
    reports : iterable of CrashReport
        The crashes.
    sound_at : mapping
        When an answer to a prompt with a part last got beyond its beginning.
    known : collection of frozenset
        Combinations of parts that are in quarantine.

    Examples
    --------
    >>> reports = [
    ...     CrashReport(server="s-1", parts=frozenset({"a", "b"}), at=7.0),
    ...     CrashReport(server="s-2", parts=frozenset({"a", "c"}), at=8.0),
    ... ]
    >>> counted_crashes(reports, sound_at={"b": 6.0})
    {'a': {'s-1': 7.0, 's-2': 8.0}, 'c': {'s-2': 8.0}}

    """
    crashes: dict[str, dict[str, float]] = {}
    for report in reports:
        for part in sorted(_suspects(report.parts, known)):
            sound_until = sound_at.get(part, float("-inf")) + SOUND_BEFORE_SECONDS
            if report.at > sound_until:
                crashes.setdefault(part, {})[report.server] = report.at
    return crashes


def parts_at_fault(
    crashes: Mapping[str, Mapping[str, float]],
    *,
    known: Collection[frozenset[str]] = (),
) -> frozenset[str]:
    """Return the parts to put into quarantine next; empty if there are none.

    Parts under which exactly the same servers ended cannot be told apart. They are
    returned together: only prompts with all of them are refused.

    Examples
    --------
    >>> by_server = {"s-1": 1.0, "s-2": 2.0, "s-3": 3.0}
    >>> sorted(parts_at_fault({"a": by_server, "b": by_server, "c": {"s-1": 1.0}}))
    ['a', 'b']
    >>> parts_at_fault({"a": {"s-1": 1.0, "s-2": 2.0}})
    frozenset()

    """
    parts_by_servers: dict[frozenset[str], set[str]] = {}
    for part, servers in crashes.items():
        if len(servers) >= MIN_CRASHES:
            parts_by_servers.setdefault(frozenset(servers), set()).add(part)
    for servers in sorted(parts_by_servers, key=len, reverse=True):
        parts = frozenset(parts_by_servers[servers])
        if parts not in known:
            return parts
    return frozenset()


def _suspects(
    parts: frozenset[str], known: Collection[frozenset[str]]
) -> frozenset[str]:
    """Return the parts of a request that may be at fault for a crash."""
    explaining = [combination for combination in known if combination <= parts]
    return frozenset().union(*explaining) if explaining else parts
