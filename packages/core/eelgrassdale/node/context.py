"""Objects shared by the tasks of one process."""

from attrs import frozen

from eelgrassdale.clock import Clock, SystemClock
from eelgrassdale.identity import Identity, Role, new_incarnation
from eelgrassdale.membership.members import MembersView
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.settings import NodeSettings
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import InvariantMonitor, Metrics, Tracer, new_tracer


@frozen(kw_only=True)
class NodeContext:
    """Identity, clock, configuration, members and telemetry of a process."""

    identity: Identity
    clock: Clock
    replica: Replica
    members: MembersView
    metrics: Metrics
    monitor: InvariantMonitor
    tracer: Tracer


def new_context(
    *, cfg: NodeSettings, role: Role, clock: Clock | None = None
) -> NodeContext:
    """Return the context of a process that starts now with a new incarnation."""
    clock = clock or SystemClock()
    metrics = Metrics(statsd_address=cfg.statsd_address)
    monitor = InvariantMonitor(metrics=metrics)
    identity = Identity(
        name=cfg.name,
        role=role,
        data_centre=cfg.data_centre,
        region=cfg.region,
        node_address=cfg.node_address,
        incarnation=new_incarnation(started_at=clock.now()),
    )
    return NodeContext(
        identity=identity,
        clock=clock,
        replica=Replica(monitor=monitor),
        members=MembershipTable(clock=clock, monitor=monitor),
        metrics=metrics,
        monitor=monitor,
        tracer=new_tracer(otlp_endpoint=cfg.otlp_endpoint, node=cfg.name),
    )
