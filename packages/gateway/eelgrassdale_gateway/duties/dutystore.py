"""The calls of the platform's store that the duties need."""

from collections.abc import Mapping
from typing import Any, Protocol

from attrs import frozen

from eelgrassdale_gateway.objects import Conflict, Listing, Written


@frozen(kw_only=True)
class DutyKinds:
    """Kinds of the objects of the duties."""

    leases: str
    usage_records: str


class DutyStore(Protocol):
    """All methods raise `StoreUnavailable`; it is unknown then what was done."""

    async def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        ...

    async def create(
        self, kind: str, name: str, spec: Mapping[str, Any], *, timeout_seconds: float
    ) -> Written | Conflict:
        """Create an object unless it exists."""
        ...

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, Any],
        *,
        revision: int,
        timeout_seconds: float,
    ) -> Written | Conflict:
        """Replace an object if it still has this revision."""
        ...

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        ...
