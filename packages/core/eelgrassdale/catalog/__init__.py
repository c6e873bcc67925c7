"""The objects that operators create, and the configuration made of them."""

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.configuration import EMPTY_CONFIGURATION, Configuration
from eelgrassdale.catalog.datacentre import DataCentre, DataCentreState
from eelgrassdale.catalog.model import ModelVersion
from eelgrassdale.catalog.service import Service, ServiceKind
from eelgrassdale.catalog.vm import Vm, VmState

__all__ = [
    "EMPTY_CONFIGURATION",
    "ClientAccount",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "ModelVersion",
    "Service",
    "ServiceKind",
    "Vm",
    "VmState",
]
