"""Configuration of a deployment with one model service and two plain services."""

from eelgrassdale_operators import (
    ClientAccount,
    DataCentre,
    Service,
    ServiceKind,
    Vm,
)

DATA_CENTRES = ("port-of-spain", "chaguanas", "san-fernando")
LARGE_ACCOUNTS = ("arima", "tunapuna")
SMALL_ACCOUNTS = (
    "couva",
    "debe",
    "maraval",
    "mayaro",
    "moruga",
    "point-fortin",
    "siparia",
    "toco",
)
LID_ASSISTANT_VMS = 5
ORDER_DESK_VMS = 3

services = [
    Service(
        name="lid-assistant",
        kind=ServiceKind.MODEL,
        cold_slots=2,
        max_slots=16,
        max_loading=2,
    ),
    Service(
        name="order-desk",
        kind=ServiceKind.PLAIN,
        idempotent=False,
        priority=3,
        cold_slots=4,
        max_slots=32,
    ),
    Service(
        name="franchise-portal",
        kind=ServiceKind.PLAIN,
        cold_slots=4,
        max_slots=32,
    ),
]


def _vms_of(service: str, count: int) -> list[Vm]:
    return [
        Vm(
            name=f"{service}-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            service=service,
        )
        for number in range(count)
    ]


objects = [
    *[DataCentre(name=name, region=name) for name in DATA_CENTRES],
    *services,
    *_vms_of("lid-assistant", LID_ASSISTANT_VMS),
    *_vms_of("order-desk", ORDER_DESK_VMS),
    *_vms_of("franchise-portal", 1),
    *[ClientAccount(name=name, weight=4) for name in LARGE_ACCOUNTS],
    *[ClientAccount(name=name) for name in SMALL_ACCOUNTS],
]
