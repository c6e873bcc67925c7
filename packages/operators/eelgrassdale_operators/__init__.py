"""Library with which operators write, check and apply a configuration.

Examples
--------
>>> from eelgrassdale_operators import DataCentre, build_configuration
>>> from eelgrassdale_operators import print_configuration
>>> objects = [DataCentre(name="zacapa", region="oriente")]
>>> configuration = build_configuration(objects).ok
>>> "zacapa" in print_configuration(configuration)
True

"""

from eelgrassdale.catalog import (
    ClientAccount,
    Configuration,
    DataCentre,
    DataCentreState,
    ModelVersion,
    Service,
    ServiceKind,
    Vm,
    VmState,
    diff_configurations,
    print_configuration,
)
from eelgrassdale_operators.building import build_configuration
from eelgrassdale_operators.files import load_configuration

__all__ = [
    "ClientAccount",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "ModelVersion",
    "Service",
    "ServiceKind",
    "Vm",
    "VmState",
    "build_configuration",
    "diff_configurations",
    "load_configuration",
    "print_configuration",
]
