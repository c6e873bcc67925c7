"""One generation of everything that operators configured."""

from collections.abc import Mapping

from attrs import Factory, frozen

from eelgrassdale.catalog.account import ClientAccount
from eelgrassdale.catalog.datacentre import DataCentre, DataCentreState
from eelgrassdale.catalog.model import ModelVersion
from eelgrassdale.catalog.service import Service
from eelgrassdale.catalog.vm import Vm


@frozen(kw_only=True)
class Configuration:
    """All objects of one generation, each kind by name.

    Examples
    --------
    >>> EMPTY_CONFIGURATION.generation
    0
    >>> EMPTY_CONFIGURATION.is_in_service("north-1")
    False

    """

    generation: int
    services: Mapping[str, Service] = Factory(dict)
    model_versions: Mapping[str, ModelVersion] = Factory(dict)
    data_centres: Mapping[str, DataCentre] = Factory(dict)
    vms: Mapping[str, Vm] = Factory(dict)
    accounts: Mapping[str, ClientAccount] = Factory(dict)

    def is_in_service(self, data_centre: str) -> bool:
        """Return whether a data centre is known and not taken out."""
        found = self.data_centres.get(data_centre)
        return found is not None and found.state is DataCentreState.IN_SERVICE

    def backend_servers_of(self, service: str) -> tuple[Vm, ...]:
        """Return the VMs that run a service, in the order of their names."""
        return tuple(vm for _, vm in sorted(self.vms.items()) if vm.service == service)


EMPTY_CONFIGURATION = Configuration(generation=0)
