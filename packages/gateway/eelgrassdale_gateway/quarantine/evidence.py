"""Decides from crashes which parts of prompts end backend servers.

Designed for requests that end each server that answers them ("queries of death"). Such
requests differ in all but one part of their prompts, and share the other parts with
sound requests. A part is at fault when several servers ended while they held requests
with it, and no answer to such a request was completed in the meantime.

Servers also end for other reasons, with whatever requests they hold. So servers that
end at one moment count once, and a part is at fault only after more crashes if servers
ended without it as well, or if answers with it have begun elsewhere.
"""

from collections.abc import Collection, Iterable, Mapping

from attrs import frozen

# Servers that must have ended. Fewer could be coincidence where servers fail for other
# reasons; each further one costs the requests that it was running.
MIN_CRASHES = 3
# Crashes after which a part is at fault whatever else has failed.
MAX_CRASHES = 8
# Servers that ended without a part for each further crash that must have it.
OTHER_ENDS_PER_CRASH = 2
# A crash does not count against a part that was answered within this time before it.
# Losses of many servers at once would otherwise count against common parts.
SOUND_BEFORE_SECONDS = 2.0
# Servers that end within this time have a common cause, such as a loss of power.
SAME_MOMENT_SECONDS = 0.05


@frozen(kw_only=True)
class CrashReport:
    """A backend server that ended while it held requests of a gateway.

    `server` names one incarnation, `parts` are the shared parts of the prompts that
    may be at fault, `at` is in seconds of the monotonic clock.
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
        When an answer to a prompt with a part was last completed.
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
            if not is_sound(sound_at.get(part), at=report.at):
                crashes.setdefault(part, {})[report.server] = report.at
    return crashes


def is_sound(sound_at: float | None, *, at: float) -> bool:
    """Return whether a part that was last answered at `sound_at` is no suspect at `at`.

    Examples
    --------
    >>> is_sound(6.0, at=7.0), is_sound(6.0, at=9.0), is_sound(None, at=7.0)
    (True, False, False)

    """
    return sound_at is not None and at <= sound_at + SOUND_BEFORE_SECONDS


def unexplained_ends(
    reports: Iterable[CrashReport], *, known: Collection[frozenset[str]] = ()
) -> dict[str, float]:
    """Return when servers ended that held no known combination of parts."""
    return {
        report.server: report.at
        for report in reports
        if not any(combination <= report.parts for combination in known)
    }


def count_moments(times: Iterable[float]) -> int:
    """Return at how many different moments servers ended.

    Examples
    --------
    >>> count_moments([3.0, 1.0, 1.02, 2.0])
    3

    """
    count = 0
    last_at = float("-inf")
    for at in sorted(times):
        if at - last_at > SAME_MOMENT_SECONDS:
            count += 1
            last_at = at
    return count


def required_crashes(
    crashes: Mapping[str, float],
    *,
    ends: Mapping[str, float],
    begun_at: float | None = None,
) -> int:
    """Return the number of crashes after which a part is at fault.

    Parameters
    ----------
    crashes : mapping
        Times of the crashes that count against the part, by server.
    ends : mapping
        Times of the ends that nothing else explains, by server.
    begun_at : float, optional
        When an answer to a prompt with the part last began.

    Examples
    --------
    >>> crashes = {"s-1": 1.0, "s-2": 2.0, "s-3": 3.0}
    >>> required_crashes(crashes, ends=crashes)
    3
    >>> required_crashes(crashes, ends=crashes | {"s-4": 3.0, "s-5": 4.0})
    4
    >>> required_crashes(crashes, ends=crashes, begun_at=2.5)
    8

    """
    first_at = min(crashes.values())
    if is_sound(begun_at, at=first_at):
        return MAX_CRASHES
    other_count = sum(
        server not in crashes and at > first_at - SOUND_BEFORE_SECONDS
        for server, at in ends.items()
    )
    return min(MAX_CRASHES, MIN_CRASHES + other_count // OTHER_ENDS_PER_CRASH)


def parts_at_fault(
    crashes: Mapping[str, Mapping[str, float]],
    *,
    ends: Mapping[str, float] | None = None,
    begun_at: Mapping[str, float] | None = None,
    known: Collection[frozenset[str]] = (),
) -> frozenset[str]:
    """Return the parts to put into quarantine next; empty if there are none.

    Parts under which exactly the same servers ended cannot be told apart. They are
    returned together: only prompts with all of them are refused.

    Parameters
    ----------
    crashes : mapping
        The crashes that count against each part, as `counted_crashes` returns them.
    ends, begun_at : mapping, optional
        As for `required_crashes`, the latter for each part.
    known : collection of frozenset
        Combinations of parts that are in quarantine.

    Examples
    --------
    >>> by_server = {"s-1": 1.0, "s-2": 2.0, "s-3": 3.0}
    >>> sorted(parts_at_fault({"a": by_server, "b": by_server, "c": {"s-1": 1.0}}))
    ['a', 'b']
    >>> parts_at_fault({"a": {"s-1": 1.0, "s-2": 2.0}})
    frozenset()

    """
    begun_at = begun_at or {}
    parts_by_servers: dict[frozenset[str], set[str]] = {}
    for part, servers in crashes.items():
        required = required_crashes(
            servers, ends=ends or {}, begun_at=begun_at.get(part)
        )
        if count_moments(servers.values()) >= required:
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
