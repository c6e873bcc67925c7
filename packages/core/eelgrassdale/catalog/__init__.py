"""The objects that operators create, and the configuration made of them."""

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.checks import check
from eelgrassdale.catalog.configuration import EMPTY_CONFIGURATION, Configuration
from eelgrassdale.catalog.datacentre import DataCentre, DataCentreState
from eelgrassdale.catalog.encoding import (
    KINDS,
    CatalogObject,
    EncodedObject,
    configuration_from,
    decode_object,
    encode_object,
    kind_of,
    object_from,
    objects_of,
)
from eelgrassdale.catalog.model import ModelVersion
from eelgrassdale.catalog.printing import (
    diff_configurations,
    parse_configuration,
    print_configuration,
)
from eelgrassdale.catalog.service import Service, ServiceKind
from eelgrassdale.catalog.vm import Vm, VmState

__all__ = [
    "EMPTY_CONFIGURATION",
    "KINDS",
    "CatalogObject",
    "ClientAccount",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "EncodedObject",
    "ModelVersion",
    "Service",
    "ServiceKind",
    "Vm",
    "VmState",
    "check",
    "configuration_from",
    "decode_object",
    "diff_configurations",
    "encode_object",
    "kind_of",
    "object_from",
    "objects_of",
    "parse_configuration",
    "print_configuration",
]
