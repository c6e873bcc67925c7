"""Validation of a configuration before it is accepted."""

import re
from collections.abc import Callable, Iterator

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.configuration import Configuration
from eelgrassdale.catalog.datacentre import DataCentre
from eelgrassdale.catalog.encoding import CatalogObject, kind_of, objects_of
from eelgrassdale.catalog.model import ModelVersion
from eelgrassdale.catalog.service import Service, ServiceKind
from eelgrassdale.catalog.vm import Vm
from eelgrassdale.results import Problem

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
NAME_RULE = "1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a-z or 0-9"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")

MAX_PRIORITY = 9
MAX_WEIGHT = 1_000
MAX_SLOTS = 4_096
MAX_QUEUE = 10_000
MAX_DEADLINE_MS = 600_000
MAX_LOADING = 1_000
MAX_MEMORY_BYTES = 1 << 50


def validate_configuration(configuration: Configuration) -> list[Problem]:
    """Return all problems of a configuration; none if it may be applied.

    Examples
    --------
    >>> from eelgrassdale.catalog.encoding import configuration_from
    >>> vm = Vm(name="vm-1", data_centre="xela", service="drafting")
    >>> cfg = configuration_from(1, [vm])
    >>> [problem.field for problem in validate_configuration(cfg)]
    ['vms/vm-1.data_centre', 'vms/vm-1.service']

    """
    return [
        problem
        for obj in objects_of(configuration)
        for problem in _check_object(obj, configuration)
    ]


def _check_object(
    obj: CatalogObject, configuration: Configuration
) -> Iterator[Problem]:
    label = f"{kind_of(obj)}/{obj.name}"
    if not NAME_PATTERN.fullmatch(obj.name):
        yield Problem(field=f"{label}.name", value=obj.name, allowed=NAME_RULE)
    yield from _CHECK_BY_TYPE[type(obj)](label, obj, configuration)


def _check_service(
    label: str, service: Service, configuration: Configuration
) -> Iterator[Problem]:
    yield from _check_range(label, service, "priority", 0, MAX_PRIORITY)
    yield from _check_range(label, service, "cold_slots", 1, MAX_SLOTS)
    yield from _check_range(label, service, "max_slots", service.cold_slots, MAX_SLOTS)
    yield from _check_range(label, service, "memory_bytes", 1, MAX_MEMORY_BYTES)
    yield from _check_range(label, service, "token_bytes", 1, MAX_MEMORY_BYTES)
    yield from _check_range(label, service, "queue_limit", 1, MAX_QUEUE)
    yield from _check_range(label, service, "deadline_ms", 1, MAX_DEADLINE_MS)
    yield from _check_range(label, service, "max_loading", 1, MAX_LOADING)
    yield from _check_model_version(label, service, configuration)


def _check_model_version(
    label: str, service: Service, configuration: Configuration
) -> Iterator[Problem]:
    if service.kind is ServiceKind.PLAIN:
        allowed = [""]
    else:
        allowed = ["", *sorted(configuration.model_versions)]
    if service.model_version not in allowed:
        yield Problem(
            field=f"{label}.model_version",
            value=service.model_version,
            allowed=f"one of {allowed}",
        )


def _check_model(
    label: str, model: ModelVersion, _configuration: Configuration
) -> Iterator[Problem]:
    if not DIGEST_PATTERN.fullmatch(model.manifest):
        yield Problem(
            field=f"{label}.manifest",
            value=model.manifest,
            allowed="32 hexadecimal digits",
        )
    yield from _check_range(label, model, "size_bytes", 1, MAX_MEMORY_BYTES)
    yield from _check_range(label, model, "priority", 0, MAX_PRIORITY)


def _check_data_centre(
    label: str, data_centre: DataCentre, _configuration: Configuration
) -> Iterator[Problem]:
    if not NAME_PATTERN.fullmatch(data_centre.region):
        yield Problem(
            field=f"{label}.region", value=data_centre.region, allowed=NAME_RULE
        )


def _check_vm(label: str, vm: Vm, configuration: Configuration) -> Iterator[Problem]:
    if vm.data_centre not in configuration.data_centres:
        yield Problem(
            field=f"{label}.data_centre",
            value=vm.data_centre,
            allowed=f"one of {sorted(configuration.data_centres)}",
        )
    if vm.service not in configuration.services:
        yield Problem(
            field=f"{label}.service",
            value=vm.service,
            allowed=f"one of {sorted(configuration.services)}",
        )


def _check_account(
    label: str, account: ClientAccount, _configuration: Configuration
) -> Iterator[Problem]:
    yield from _check_range(label, account, "weight", 1, MAX_WEIGHT)
    yield from _check_range(label, account, "priority", 0, MAX_PRIORITY)


def _check_range(
    label: str, obj: CatalogObject, field: str, low: int, high: int
) -> Iterator[Problem]:
    value = getattr(obj, field)
    if not low <= value <= high:
        yield Problem(field=f"{label}.{field}", value=value, allowed=f"{low} to {high}")


_CHECK_BY_TYPE: dict[type, Callable[..., Iterator[Problem]]] = {
    ClientAccount: _check_account,
    DataCentre: _check_data_centre,
    ModelVersion: _check_model,
    Service: _check_service,
    Vm: _check_vm,
}
