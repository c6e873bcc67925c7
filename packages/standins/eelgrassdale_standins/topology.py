"""Processes and initial configuration of a deployment."""

from collections.abc import Mapping

import attrs

from eelgrassdale.catalog import (
    ClientAccount,
    DataCentre,
    ModelVersion,
    Service,
    ServiceKind,
    Vm,
)
from eelgrassdale.catalog.encoding import CatalogObject
from eelgrassdale_standins.models import Weights, make_weights

MEBIBYTE = 1024 * 1024


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model version whose weights are generated from its name, seed and size."""

    version: str
    size_bytes: int
    seed: int = 1
    chunk_bytes: int = MEBIBYTE // 4

    def weights(self) -> Weights:
        """Return the weights."""
        return make_weights(
            version=self.version,
            seed=self.seed,
            size_bytes=self.size_bytes,
            chunk_bytes=self.chunk_bytes,
        )

    def catalog_object(self) -> ModelVersion:
        """Return the object that operators create for this model version."""
        return ModelVersion(
            name=self.version,
            manifest=self.weights().manifest_digest,
            size_bytes=self.size_bytes,
        )


@attrs.frozen(kw_only=True)
class EntrySpec:
    """One entry node."""

    name: str
    data_centre: str


@attrs.frozen(kw_only=True)
class AgentSpec:
    """One agent and the backend server beside it."""

    name: str
    data_centre: str
    service: str


@attrs.frozen(kw_only=True)
class Topology:
    """Processes and initial configuration of a deployment.

    Parameters
    ----------
    data_centres, services, accounts : tuple
        Catalogue objects of the initial configuration.
    entries, agents : tuple
        Entry nodes and agents.
    models : tuple of ModelSpec
        Versions that the weight sources serve. The first is loaded in every
        engine at the start and is the model version of the model services.
    weight_sources : tuple of str
        Names of the weight sources in the order in which agents use them.
    source_bytes_per_second, link_bytes_per_second : int
        Rate of each weight source's link and of each agent's link; 0 for no
        limit.
    backend_options : Mapping of str to tuple
        Additional command line options of the backend servers, by service.
    is_model_loaded : bool
        Whether the engines start with the first model loaded.
    keep_seconds : int
        How long callers may use a list of entry nodes; a graceful stop of an
        entry node waits that long.
    key_seconds : int
        Validity of issued keys; a graceful stop of an agent waits that long.
    agent_options : tuple
        Additional command line options of every agent.
    """

    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    accounts: tuple[ClientAccount, ...]
    entries: tuple[EntrySpec, ...]
    agents: tuple[AgentSpec, ...]
    models: tuple[ModelSpec, ...] = ()
    weight_sources: tuple[str, ...] = ("origin",)
    source_bytes_per_second: int = 0
    link_bytes_per_second: int = 0
    backend_options: Mapping[str, tuple[object, ...]] = attrs.Factory(dict)
    is_model_loaded: bool = True
    keep_seconds: int = 2
    key_seconds: int = 3
    agent_options: tuple[object, ...] = ()

    def service(self, name: str) -> Service:
        """Return a service by name."""
        return next(service for service in self.services if service.name == name)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre."""
        return next(dc.region for dc in self.data_centres if dc.name == data_centre)

    def agents_of(self, service: str) -> list[AgentSpec]:
        """Return the agents of a service."""
        return [agent for agent in self.agents if agent.service == service]

    def objects(self) -> list[CatalogObject]:
        """Return the objects of the initial configuration."""
        initial_models = self.models[:1]
        services = [
            attrs.evolve(service, model_version=initial_models[0].version)
            if initial_models and service.kind is ServiceKind.MODEL
            else service
            for service in self.services
        ]
        vms = [
            Vm(name=agent.name, data_centre=agent.data_centre, service=agent.service)
            for agent in self.agents
        ]
        model_objects = [model.catalog_object() for model in initial_models]
        return [*self.data_centres, *services, *self.accounts, *model_objects, *vms]


PORT_OF_SPAIN = "port-of-spain"
CHAGUANAS = "chaguanas"
SAN_FERNANDO = "san-fernando"
LID_ASSISTANT = "lid-assistant"
ORDER_DESK = "order-desk"
FRANCHISE_PORTAL = "franchise-portal"


def lidwright_topology(*, models: tuple[ModelSpec, ...] = ()) -> Topology:
    """Return the deployment of Lidwright Franchise Holdings.

    Examples
    --------
    >>> topology = lidwright_topology()
    >>> len(topology.entries), len(topology.agents), len(topology.accounts)
    (9, 9, 10)

    """
    regions = {PORT_OF_SPAIN: "north", CHAGUANAS: "centre", SAN_FERNANDO: "south"}
    model_data_centres = (
        PORT_OF_SPAIN,
        PORT_OF_SPAIN,
        CHAGUANAS,
        CHAGUANAS,
        SAN_FERNANDO,
    )
    return Topology(
        data_centres=tuple(
            DataCentre(name=name, region=region) for name, region in regions.items()
        ),
        services=_lidwright_services(),
        accounts=tuple(
            ClientAccount(name=f"franchise-{number}", weight=4 if number < 3 else 1)
            for number in range(10)
        ),
        entries=tuple(
            EntrySpec(name=f"entry-{name}-{number}", data_centre=name)
            for name in regions
            for number in range(3)
        ),
        agents=(
            *_agent_specs("lid", LID_ASSISTANT, model_data_centres),
            *_agent_specs("order", ORDER_DESK, tuple(regions)),
            *_agent_specs("portal", FRANCHISE_PORTAL, (CHAGUANAS,)),
        ),
        models=models,
        backend_options={
            LID_ASSISTANT: ("--cold-seconds", 1, "--cold-requests", 4),
            ORDER_DESK: ("--delay-seconds", 0.01),
            FRANCHISE_PORTAL: ("--delay-seconds", 0.005),
        },
    )


def _lidwright_services() -> tuple[Service, ...]:
    return (
        Service(
            name=LID_ASSISTANT,
            kind=ServiceKind.MODEL,
            cold_slots=4,
            max_slots=16,
            max_loading=2,
        ),
        Service(
            name=ORDER_DESK,
            kind=ServiceKind.PLAIN,
            idempotent=False,
            priority=2,
            cold_slots=8,
            max_slots=32,
        ),
        Service(
            name=FRANCHISE_PORTAL, kind=ServiceKind.PLAIN, cold_slots=8, max_slots=32
        ),
    )


def _agent_specs(
    prefix: str, service: str, data_centres: tuple[str, ...]
) -> tuple[AgentSpec, ...]:
    return tuple(
        AgentSpec(name=f"{prefix}-{number}", data_centre=data_centre, service=service)
        for number, data_centre in enumerate(data_centres)
    )


def small_topology(*, models: tuple[ModelSpec, ...] = ()) -> Topology:
    """Return a deployment with two entry nodes and two agents per service.

    Examples
    --------
    >>> [agent.name for agent in small_topology().agents]
    ['lid-0', 'lid-1', 'order-0', 'order-1', 'portal-0', 'portal-1']

    """
    regions = {PORT_OF_SPAIN: "north", SAN_FERNANDO: "south"}
    data_centre_names = tuple(regions)
    return attrs.evolve(
        lidwright_topology(models=models),
        data_centres=tuple(
            DataCentre(name=name, region=region) for name, region in regions.items()
        ),
        accounts=tuple(ClientAccount(name=f"franchise-{n}") for n in range(4)),
        entries=tuple(
            EntrySpec(name=f"entry-{number}", data_centre=data_centre_name)
            for number, data_centre_name in enumerate(data_centre_names)
        ),
        agents=(
            *_agent_specs("lid", LID_ASSISTANT, data_centre_names),
            *_agent_specs("order", ORDER_DESK, data_centre_names),
            *_agent_specs("portal", FRANCHISE_PORTAL, data_centre_names),
        ),
    )
