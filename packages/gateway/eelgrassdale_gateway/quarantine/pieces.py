"""Divides crash reports that do not fit into a datagram, and joins them again.

A report counts only when it is whole: parts that are not told apart are refused
together, so without some of them sound prompts would be refused too.
"""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, evolve, field

from eelgrassdale.hashing import digest_of
from eelgrassdale_gateway.quarantine.evidence import CrashReport

MAX_PARTS_PER_PIECE = 16
# Reports of which some pieces are missing; the oldest is dropped.
MAX_UNFINISHED = 32
MAX_PARTS_PER_REPORT = 16_384


def parts_digest(parts: frozenset[str]) -> str:
    """Return a digest of the names of parts.

    Examples
    --------
    >>> parts_digest(frozenset({"a", "b"})) == parts_digest(frozenset({"b", "a"}))
    True

    """
    return digest_of("\n".join(sorted(parts)).encode())


def pieces_of(report: CrashReport) -> Iterator[CrashReport]:
    """Yield a report in pieces of at most `MAX_PARTS_PER_PIECE` parts."""
    names = sorted(report.parts)
    for start in range(0, max(1, len(names)), MAX_PARTS_PER_PIECE):
        piece = names[start : start + MAX_PARTS_PER_PIECE]
        yield evolve(report, parts=frozenset(piece))


@define(kw_only=True, eq=False)
class PieceJoiner:
    """Joins the pieces of reports, which may arrive late, twice or not at all.

    Examples
    --------
    >>> whole = CrashReport(
    ...     server="s-1", parts=frozenset(f"p-{n}" for n in range(20)), at=1.0
    ... )
    >>> joiner = PieceJoiner()
    >>> [
    ...     joiner.add(piece, digest=parts_digest(whole.parts)) == whole
    ...     for piece in pieces_of(whole)
    ... ]
    [False, True]

    """

    _unfinished: OrderedDict[tuple[str, str], CrashReport] = field(factory=OrderedDict)

    def add(self, piece: CrashReport, *, digest: str) -> CrashReport | None:
        """Return the report that a piece completes, or None.

        `digest` is that of all parts of the report; without one, the piece is whole.
        """
        if not digest:
            return piece
        key = (piece.server, digest)
        known = self._unfinished.pop(key, piece)
        report = evolve(known, parts=known.parts | piece.parts)
        if parts_digest(report.parts) == digest:
            return report
        if len(report.parts) <= MAX_PARTS_PER_REPORT:
            self._unfinished[key] = report
        while len(self._unfinished) > MAX_UNFINISHED:
            self._unfinished.popitem(last=False)
        return None
