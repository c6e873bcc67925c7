"""A backend server VM and the service it runs."""

from enum import Enum

from attrs import frozen


class VmState(Enum):
    """Whether operators let a VM receive new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Vm:
    """A backend server VM.

    `checks_fencing` tells whether its engine refuses an order with a fencing
    token lower than the highest it has seen.
    """

    name: str
    data_centre: str
    service: str
    state: VmState = VmState.IN_SERVICE
    checks_fencing: bool = True
