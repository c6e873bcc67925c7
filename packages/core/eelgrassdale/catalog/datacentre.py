"""A data centre and whether operators have it in service."""

from enum import Enum

from attrs import frozen


class DataCentreState(Enum):
    """Whether a data centre receives new work."""

    IN_SERVICE = "in_service"
    OUT = "out"


@frozen(kw_only=True)
class DataCentre:
    """A data centre; one that is `OUT` receives no new work."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN_SERVICE
