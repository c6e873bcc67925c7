"""Library for operators to define, validate and apply a configuration.

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
from eelgrassdale_operators.applying import (
    AppliedChange,
    StoredConfiguration,
    apply_configuration,
    conflict_error,
    read_stored,
)
from eelgrassdale_operators.building import build_configuration
from eelgrassdale_operators.files import load_configuration
from eelgrassdale_operators.progress import (
    InForceReport,
    in_force_report,
    read_statuses,
    wait_in_force,
)

__all__ = [
    "AppliedChange",
    "ClientAccount",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "InForceReport",
    "ModelVersion",
    "Service",
    "ServiceKind",
    "StoredConfiguration",
    "Vm",
    "VmState",
    "apply_configuration",
    "build_configuration",
    "conflict_error",
    "diff_configurations",
    "in_force_report",
    "load_configuration",
    "print_configuration",
    "read_statuses",
    "read_stored",
    "wait_in_force",
]
