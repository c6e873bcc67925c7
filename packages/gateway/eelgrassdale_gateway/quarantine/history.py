"""Crashes of backend servers and sound answers, of this gateway and its peers."""

from collections import OrderedDict
from collections.abc import Collection

from attrs import define, evolve, field

from eelgrassdale_gateway.quarantine.evidence import (
    CrashReport,
    counted_crashes,
    is_sound,
    parts_at_fault,
    unexplained_ends,
)

# Bounds of what is remembered, whatever callers send.
MAX_REPORTS = 128
MAX_REPORTED_PARTS = 16_384
MAX_SOUND_PARTS = 4096
# Crashes further apart than this are not taken together.
REPORT_LIFETIME_SECONDS = 120.0


@define(kw_only=True, eq=False)
class CrashHistory:
    """Remembers, within bounds, what `evidence` decides on.

    `sound_at` and `begun_at` are when an answer to a prompt with a part was last
    completed, and last began. Times are in seconds of the monotonic clock.

    Examples
    --------
    >>> history = CrashHistory()
    >>> crash = CrashReport(server="s-1", parts=frozenset({"a"}), at=5.0)
    >>> history.add_report(crash), history.add_report(crash)
    (True, False)
    >>> history.counted_crashes(now=6.0)
    {'a': {'s-1': 5.0}}
    >>> history.set_sound("a", at=6.0)
    >>> history.counted_crashes(now=6.0)
    {}

    """

    # By server, the oldest first.
    reports: OrderedDict[str, CrashReport] = field(factory=OrderedDict)
    sound_at: OrderedDict[str, float] = field(factory=OrderedDict)
    begun_at: OrderedDict[str, float] = field(factory=OrderedDict)

    def add_report(self, report: CrashReport) -> bool:
        """Add what a report tells of its server; return whether any of it is new."""
        known = self.reports.get(report.server)
        if known is None:
            self.reports[report.server] = report
        elif report.parts <= known.parts:
            return False
        else:
            self.reports[report.server] = evolve(
                known, parts=known.parts | report.parts, at=min(known.at, report.at)
            )
        part_count = sum(len(r.parts) for r in self.reports.values())
        while len(self.reports) > MAX_REPORTS or part_count > MAX_REPORTED_PARTS:
            part_count -= len(self.reports.popitem(last=False)[1].parts)
        return True

    def reported_parts(self) -> frozenset[str]:
        """Return the parts that any report names."""
        return frozenset().union(*(report.parts for report in self.reports.values()))

    def counted_crashes(
        self, *, now: float, known: Collection[frozenset[str]] = ()
    ) -> dict[str, dict[str, float]]:
        """Return the crashes that count against each part, as times by server.

        `known` are the combinations of parts in quarantine.
        """
        oldest = now - REPORT_LIFETIME_SECONDS
        for server in [s for s, r in self.reports.items() if r.at < oldest]:
            del self.reports[server]
        return counted_crashes(
            self.reports.values(), sound_at=self.sound_at, known=known
        )

    def parts_at_fault(
        self,
        crashes: dict[str, dict[str, float]],
        *,
        known: Collection[frozenset[str]],
    ) -> frozenset[str]:
        """Return the parts to put into quarantine next; empty if there are none."""
        return parts_at_fault(
            crashes,
            ends=unexplained_ends(self.reports.values(), known=known),
            begun_at=self.begun_at,
            known=known,
        )

    def has_begun(self, part: str) -> bool:
        """Return whether an answer with a part began since the reported crashes."""
        times = [r.at for r in self.reports.values() if part in r.parts]
        return bool(times) and is_sound(self.begun_at.get(part), at=min(times))

    def set_sound(self, part: str, *, at: float) -> None:
        """Remember that an answer to a prompt with a part was completed."""
        _set_newest(self.sound_at, part, at)

    def set_begun(self, part: str, *, at: float) -> None:
        """Remember that an answer to a prompt with a part began."""
        _set_newest(self.begun_at, part, at)


def _set_newest(times: OrderedDict[str, float], part: str, at: float) -> None:
    """Set the time of a part, and forget the parts that were set longest ago."""
    times[part] = max(at, times.get(part, at))
    times.move_to_end(part)
    while len(times) > MAX_SOUND_PARTS:
        times.popitem(last=False)
