"""Reads of manifests and chunks from peers and weight sources."""

from collections.abc import Callable, Sequence

from attrs import frozen
from expression import Error, Result

from eelgrassdale.clock import Clock
from eelgrassdale.platform.weightsource import WeightSourceClient
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.weights import Manifest, parse_manifest
from eelgrassdale.weights.transfer import Fetch
from eelgrassdale.wire import ChunkRequest, Envelope, NodeConnection, WireError

MANIFEST_TIMEOUT_SECONDS = 3.0
# A weight source that failed is skipped for this time if there is another one.
SOURCE_SKIP_SECONDS = 10.0


@frozen(kw_only=True)
class ReadResult:
    """Result of one read.

    `data` is not verified; `held_by_holder` is the bit mask of the chunks that the peer
    says it has, None if unknown.
    """

    code: ResultCode
    data: bytes = b""
    held_by_holder: int | None = None
    detail: str = ""


def mask_to_bytes(mask: int, count: int) -> bytes:
    """Return a bit mask of `count` chunks as bytes.

    Examples
    --------
    >>> mask_from_bytes(mask_to_bytes(5, 10))
    5

    """
    return mask.to_bytes((count + 7) // 8, "little")


def mask_from_bytes(data: bytes | str | None) -> int | None:
    """Return the bit mask in `data`, None if `data` is empty."""
    if not data:
        return None
    return int.from_bytes(as_bytes(data), "little")


def as_bytes(data: bytes | str) -> bytes:
    """Return a binary field as bytes; thriftpy2 decodes those that are UTF-8."""
    return data.encode() if isinstance(data, str) else data


class PeerConnections:
    """Connections of one thread to other agents, by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, NodeConnection] = {}

    def call(self, address: str, name: str, *args, timeout_seconds: float):
        """Call the Thrift function `name` of the agent at `address`.

        Raises
        ------
        WireError
            The call failed.

        """
        conn = self._by_address.get(address)
        if conn is None:
            conn = self._by_address[address] = NodeConnection(address=address)
        return conn.call(name, *args, timeout_seconds=timeout_seconds)

    def close(self) -> None:
        """Close all connections."""
        for conn in self._by_address.values():
            conn.close()
        self._by_address.clear()


class ChunkReader:
    """Reads chunks and manifests; not thread-safe.

    Parameters
    ----------
    sources : sequence of WeightSourceClient
        Weight sources in order of preference.
    clock : Clock
        Monotonic time.
    make_envelope : callable
        Returns the envelope of a call with the given time-out in seconds.
    """

    def __init__(
        self,
        *,
        sources: Sequence[WeightSourceClient],
        clock: Clock,
        make_envelope: Callable[[float], Envelope],
    ) -> None:
        self._sources = sources
        self._clock = clock
        self._make_envelope = make_envelope
        self._peers = PeerConnections()
        self._skip_until = [0.0] * len(sources)

    def read_from_peer(
        self, manifest: Manifest, fetch: Fetch, address: str
    ) -> ReadResult:
        """Read a chunk from the peer at `address`."""
        req = ChunkRequest(
            manifest=manifest.digest,
            index=fetch.index,
            wait_ms=int(fetch.wait_seconds * 1000),
            as_owner=fetch.wait_seconds > 0,
        )
        seconds = fetch.timeout_seconds
        try:
            answer = self._peers.call(
                address,
                "read_chunk",
                self._make_envelope(seconds),
                req,
                timeout_seconds=seconds,
            )
        except WireError as exc:
            return ReadResult(code=ResultCode.OUTCOME_UNKNOWN, detail=str(exc))
        return ReadResult(
            code=_parse_code(answer.code),
            data=as_bytes(answer.data or b""),
            held_by_holder=mask_from_bytes(answer.held),
            detail=answer.detail or "",
        )

    def read_from_source(self, manifest: Manifest, fetch: Fetch) -> ReadResult:
        """Read a chunk from the first weight source that is not skipped."""
        position = self._preferred_source()
        if position is None:
            return ReadResult(
                code=ResultCode.SOURCE_UNAVAILABLE,
                detail="no weight source is configured",
            )
        start, end = manifest.range_of(fetch.index)
        result = self._sources[position].read(
            version=manifest.version,
            manifest=manifest.digest,
            start=start,
            end=end,
            timeout_seconds=fetch.timeout_seconds,
        )
        if result.is_ok():
            return ReadResult(code=ResultCode.OK, data=result.ok)
        if result.error.code is ResultCode.SOURCE_UNAVAILABLE:
            until = self._clock.monotonic() + SOURCE_SKIP_SECONDS
            self._skip_until[position] = until
        return ReadResult(code=result.error.code, detail=result.error.message)

    def manifest_from_peer(
        self, address: str, digest: str
    ) -> Result[tuple[Manifest, int], ResultError]:
        """Read a manifest from a peer, with the bit mask of its chunks there."""
        try:
            answer = self._peers.call(
                address,
                "read_manifest",
                self._make_envelope(MANIFEST_TIMEOUT_SECONDS),
                digest,
                timeout_seconds=MANIFEST_TIMEOUT_SECONDS,
            )
        except WireError as exc:
            return _error(ResultCode.OUTCOME_UNKNOWN, str(exc))
        if answer.code != ResultCode.OK:
            return _error(
                _parse_code(answer.code), "the peer does not have the manifest"
            )
        has = mask_from_bytes(answer.held) or 0
        parsed = parse_manifest(as_bytes(answer.manifest), expected=digest)
        return parsed.map(lambda manifest: (manifest, has))

    def manifest_from_source(
        self, version: str, digest: str
    ) -> Result[Manifest, ResultError]:
        """Read a manifest from the first weight source that returns a valid one."""
        result = _error(ResultCode.SOURCE_UNAVAILABLE, "no weight source is configured")
        for source in self._sources:
            result = source.manifest(version).bind(
                lambda body: parse_manifest(body, expected=digest)
            )
            if result.is_ok():
                return result
        return result

    def close(self) -> None:
        """Close the connections to peers."""
        self._peers.close()

    def _preferred_source(self) -> int | None:
        if not self._sources:
            return None
        now = self._clock.monotonic()
        positions = range(len(self._sources))
        usable = [
            position for position in positions if self._skip_until[position] <= now
        ]
        return min(
            usable or positions, key=lambda position: self._skip_until[position] > now
        )


def _parse_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.OUTCOME_UNKNOWN


def _error(code: ResultCode, message: str) -> Result:
    return Error(ResultError(code=code, message=message))
