"""Snapshot of the members as one node sees them."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

from attrs import Factory, frozen

from eelgrassdale.catalog import Configuration, VmState
from eelgrassdale.identity import Role


class MemberState(Enum):
    """Whether a node takes part in serving."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Member:
    """A node; `incarnation` is 0 until the node answered once."""

    name: str
    role: Role
    data_centre: str
    region: str
    node_address: str
    caller_address: str = ""
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0


@frozen(kw_only=True)
class Members:
    """Snapshot of all members; `version` grows with every local change.

    Examples
    --------
    >>> node = Member(
    ...     name="e1", role=Role.ENTRY, data_centre="north-1", region="north",
    ...     node_address="127.0.0.1:7000",
    ... )
    >>> members = Members(version=1, by_name={"e1": node})
    >>> [member.name for member in members.live_entry_nodes("north-1")]
    ['e1']
    >>> members.live_entry_nodes("south-1")
    ()

    """

    version: int = 0
    by_name: Mapping[str, Member] = Factory(dict)

    def live_entry_nodes(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the entry nodes that are alive and not leaving, by name."""
        return tuple(
            member
            for _, member in sorted(self.by_name.items())
            if member.role is Role.ENTRY
            and member.state is MemberState.ALIVE
            and data_centre in (None, member.data_centre)
        )

    def live_backend_servers(
        self, cfg: Configuration, service: str
    ) -> tuple[Member, ...]:
        """Return the members that may receive new work of a service, by name.

        Such a member is alive and not leaving, and the configuration has its
        VM and its data centre in service.
        """
        return tuple(
            self.by_name[vm.name]
            for vm in cfg.backend_servers_of(service)
            if vm.state is VmState.IN_SERVICE
            and cfg.is_in_service(vm.data_centre)
            and self._is_live_backend(vm.name)
        )

    def _is_live_backend(self, name: str) -> bool:
        member = self.by_name.get(name)
        return (
            member is not None
            and member.role is Role.BACKEND
            and member.state is MemberState.ALIVE
        )


class MembersView(Protocol):
    """Access of other tasks to the members."""

    def current(self) -> Members:
        """Return the latest snapshot."""
        ...

    def subscribe(self, callback: Callable[[Members], None]) -> None:
        """Call `callback` with every later snapshot; it must not block."""
        ...

    def report_reachability(self, name: str, reachable: bool) -> None:
        """Report that a data-path call reached a member, or failed to."""
        ...
