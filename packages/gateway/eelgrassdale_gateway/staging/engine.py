"""What the staging of weights needs of an engine and of an origin."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from attrs import Factory, frozen

from eelgrassdale_gateway.staging.chunks import WeightsManifest


class EngineUnavailable(Exception):
    """The engine refused a call or did not answer it."""


class SourceUnavailable(Exception):
    """The origin or a gateway refused a read or did not answer it."""


class VersionGone(SourceUnavailable):
    """The origin no longer has this version."""


class OrderAnswer(Enum):
    """How an engine took an order."""

    BEGUN = "begun"
    IN_EFFECT = "in effect"
    REFUSED = "refused"


@frozen(kw_only=True)
class EngineState:
    """What an engine says of itself.

    `versions` maps a model to the version that is loaded whole; `sequence`
    counts the orders that it took since its start.
    """

    versions: Mapping[str, int] = Factory(dict)
    is_busy: bool = False
    sequence: int = 0
    running: int = 0
    born: int = 0


class Engine(Protocol):
    """The engine on the same VM; every method raises `EngineUnavailable`."""

    async def state(self) -> EngineState:
        """Return the present state."""
        ...

    async def staged(self, model: str) -> frozenset[int]:
        """Return the indexes of the chunks that are staged."""
        ...

    async def read(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, or None."""
        ...

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk, replacing any version of it."""
        ...

    async def load(self, model: str, version: int, sequence: int) -> OrderAnswer:
        """Order to load what is staged, if no order came since `sequence`."""
        ...


class WeightsOrigin(Protocol):
    """Where weights come from; methods raise `SourceUnavailable`."""

    async def manifest(self, model: str, version: int) -> WeightsManifest:
        """Return the digests of a version's chunks."""
        ...

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Return a chunk, which may be damaged."""
        ...
