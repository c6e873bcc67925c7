"""Interfaces of the model engine and of the origin of weights."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from attrs import Factory, frozen

from eelgrassdale_gateway.staging.chunks import WeightsManifest


class EngineUnavailable(Exception):
    """The engine refused a call or did not answer it."""


class SourceUnavailable(Exception):
    """The origin or a gateway refused a read or did not answer it."""


class DataUnavailable(SourceUnavailable):
    """A gateway answered, but does not have the data now."""


class VersionGone(SourceUnavailable):
    """The origin no longer has this version."""


class LoadOrderResult(Enum):
    """Answer of an engine to an order to load a version."""

    STARTED = "begun"
    ALREADY_LOADED = "in effect"
    REFUSED = "refused"


@frozen(kw_only=True)
class EngineState:
    """State that an engine reports of itself.

    `versions` maps a model to the version that is completely loaded.
    `is_busy` is true while a load runs, `running_requests` is the number of running
    requests. `sequence` counts the orders accepted since the engine's start;
    `started_at_ms` is the start time that the engine reports.
    """

    versions: Mapping[str, int] = Factory(dict)
    is_busy: bool = False
    sequence: int = 0
    running_requests: int = 0
    started_at_ms: int = 0


class Engine(Protocol):
    """The engine on the same VM; methods may raise `EngineUnavailable`."""

    async def read_state(self) -> EngineState:
        """Return the present state."""
        ...

    async def staged_chunks(self, model: str) -> frozenset[int]:
        """Return the indexes of the chunks that are staged."""
        ...

    async def read_chunk(
        self, model: str, index: int, *, max_bytes: int
    ) -> bytes | None:
        """Return a staged chunk, or None; a longer one is an error."""
        ...

    async def stage_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk, replacing a staged chunk with the same index."""
        ...

    async def load(self, model: str, version: int, sequence: int) -> LoadOrderResult:
        """Order the load of the staged chunks.

        The engine refuses if it accepted another order since `sequence`.
        """
        ...


class WeightsOrigin(Protocol):
    """Source of all weights; methods may raise `SourceUnavailable`."""

    async def read_manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version's chunks."""
        ...

    async def read_chunk(
        self, model: str, version: int, index: int, *, max_bytes: int
    ) -> bytes:
        """Return a chunk, whose digest the caller checks; a longer one is an error."""
        ...
