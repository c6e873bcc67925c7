"""Model version that the configuration assigns to this agent's engine."""

from attrs import frozen

from eelgrassdale.catalog import Configuration, ModelVersion, Service, Vm, VmState
from eelgrassdale.membership.members import Members, MemberState
from eelgrassdale.weights.routes import AgentLocation, Routes


@frozen(kw_only=True)
class Target:
    """Model version of one agent's service and the agents of that service.

    `agents` holds those in service. `is_in_service` is False while operators have
    taken this agent's VM or data centre out of service; the agent then fetches nothing
    until it is back in service.
    """

    service: Service
    model: ModelVersion
    own_location: AgentLocation
    agents: frozenset[AgentLocation]
    is_in_service: bool

    @property
    def backend_servers(self) -> tuple[str, ...]:
        """Names of the backend servers in service, this one included."""
        return tuple(sorted(agent.name for agent in self.agents | {self.own_location}))

    def is_same_version(self, other: "Target | None") -> bool:
        """Return whether both have the same model version name and manifest."""
        return other is not None and (self.model.name, self.model.manifest) == (
            other.model.name,
            other.model.manifest,
        )


def target_of(cfg: Configuration, name: str) -> Target | None:
    """Return the target of the agent `name`, None if it has none.

    A plain service, an unknown VM and a service without a model version have
    no target.
    """
    vm = cfg.vms.get(name)
    service = cfg.services.get(vm.service) if vm else None
    model = cfg.model_versions.get(service.model_version) if service else None
    if vm is None or service is None or model is None:
        return None
    in_service = [
        other
        for other in cfg.backend_servers_of(service.name)
        if _is_in_service(cfg, other)
    ]
    return Target(
        service=service,
        model=model,
        own_location=_location_of(cfg, vm),
        agents=frozenset(_location_of(cfg, other) for other in in_service),
        is_in_service=vm in in_service,
    )


def routes_of(target: Target, count: int, origin_region: str) -> Routes:
    """Return the routes of the target's chunks."""
    return Routes(
        manifest=target.model.manifest,
        count=count,
        agents=target.agents,
        origin_region=origin_region,
    )


def unavailable_agents(target: Target, members: Members) -> frozenset[str]:
    """Return the agents that are unknown, dead or leaving."""
    return frozenset(
        agent.name
        for agent in target.agents
        if agent != target.own_location and not _is_reachable(members, agent.name)
    )


def _is_in_service(cfg: Configuration, vm: Vm) -> bool:
    return vm.state is VmState.IN_SERVICE and cfg.is_in_service(vm.data_centre)


def _is_reachable(members: Members, name: str) -> bool:
    member = members.by_name.get(name)
    return member is not None and member.state in (
        MemberState.ALIVE,
        MemberState.SUSPECT,
    )


def _location_of(cfg: Configuration, vm: Vm) -> AgentLocation:
    data_centre = cfg.data_centres.get(vm.data_centre)
    return AgentLocation(
        name=vm.name,
        data_centre=vm.data_centre,
        region=data_centre.region if data_centre else vm.data_centre,
    )
