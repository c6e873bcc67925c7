"""The objects that operators create, and the configuration made of them."""

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.checks import validate_configuration
from eelgrassdale.catalog.configuration import EMPTY_CONFIGURATION, Configuration
from eelgrassdale.catalog.datacentre import DataCentre, DataCentreState
from eelgrassdale.catalog.encoding import (
    CLASS_BY_KIND,
    CatalogObject,
    EncodedObject,
    configuration_from,
    decode_object,
    encode_object,
    kind_of,
    object_from_fields,
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
    "CLASS_BY_KIND",
    "EMPTY_CONFIGURATION",
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
    "configuration_from",
    "decode_object",
    "diff_configurations",
    "encode_object",
    "kind_of",
    "object_from_fields",
    "objects_of",
    "parse_configuration",
    "print_configuration",
    "validate_configuration",
]
