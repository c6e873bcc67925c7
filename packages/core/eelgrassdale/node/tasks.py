"""The periodic tasks of a node; each function is one step of a loop.

A step returns the seconds until the next one.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

import structlog

from eelgrassdale.identity import Role
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.node.context import NodeContext
from eelgrassdale.node.peerclient import PeerClient
from eelgrassdale.platform.budget import backoff_seconds
from eelgrassdale.platform.objects import ObjectStore, ObjectValue
from eelgrassdale.platform.vmlist import VmListClient
from eelgrassdale.spread.head import HEAD_NAME, fetch_delta, versioned_head_from
from eelgrassdale.spread.watchers import is_watcher, push_targets

# A store that stops answering blocks a watch for this time and a margin. The
# sum stays below the 14 s in which a change must be in force everywhere.
WATCH_TIMEOUT_SECONDS = 8.0
WATCHER_CHECK_INTERVAL_SECONDS = 0.5
VM_LIST_INTERVAL_SECONDS = 2.0
VM_LIST_JITTER = (0.75, 1.25)

log = structlog.get_logger(__name__)


class WatchTask:
    """Watches `head` while this entry node is a watcher of its data centre."""

    def __init__(
        self, *, context: NodeContext, peer_client: PeerClient, store: ObjectStore
    ) -> None:
        self._context = context
        self._peer_client = peer_client
        self._store = store
        self._version = 0
        self._failures = 0

    def step(self) -> float:
        """Wait for a change of `head` and apply it."""
        context = self._context
        if not is_watcher(context.members.current(), context.identity):
            return WATCHER_CHECK_INTERVAL_SECONDS
        started_at = context.clock.monotonic()
        watched = self._store.watch(
            HEAD_NAME, version=self._version, timeout_seconds=WATCH_TIMEOUT_SECONDS
        )
        applied = watched.bind(lambda value: apply_head(context, self._store, value))
        if applied.is_error():
            self._failures += 1
            log.warning("watch failed", error=applied.error.message)
            return backoff_seconds(self._failures, self._peer_client.rng)
        self._failures = 0
        if watched.ok is not None:
            self._version = watched.ok.version
        # A store that answers a watch of a missing object at once must not
        # make this loop spin.
        elapsed = context.clock.monotonic() - started_at
        returned_early = watched.ok is None and elapsed < WATCHER_CHECK_INTERVAL_SECONDS
        return WATCHER_CHECK_INTERVAL_SECONDS if returned_early else 0.0


def apply_head(context: NodeContext, store: ObjectStore, value: ObjectValue | None):
    """Apply the head that was read if its generation is higher; return a Result."""
    return versioned_head_from(value).bind(
        lambda read: _apply_generation(context, store, read.head)
    )


def _apply_generation(context: NodeContext, store: ObjectStore, head):
    state = context.replica.state()
    if head.generation < state.generation:
        log.warning(
            "head of a lower generation ignored",
            theirs=head.generation,
            ours=state.generation,
        )
    return fetch_delta(store, head, state).map(context.replica.apply_if_newer)


class VmListTask:
    """Reads the VM list at watchers, and at any node that has none yet."""

    def __init__(
        self, *, context: NodeContext, peer_client: PeerClient, client: VmListClient
    ) -> None:
        self._context = context
        self._peer_client = peer_client
        self._client = client
        self._failures = 0

    def step(self) -> float:
        """Read the VM list once if it is this node's turn."""
        table: MembershipTable = self._context.members
        should_read = (
            self._context.identity.role is Role.ENTRY
            and is_watcher(table.current(), self._context.identity)
        ) or not table.vm_list().version
        if not should_read:
            return WATCHER_CHECK_INTERVAL_SECONDS
        read = self._client.read()
        if read.is_error():
            self._failures += 1
            log.warning("VM list could not be read", error=read.error.message)
            return backoff_seconds(self._failures, self._peer_client.rng)
        self._failures = 0
        table.apply_vm_list(read.ok.body)
        return VM_LIST_INTERVAL_SECONDS * self._peer_client.rng.uniform(*VM_LIST_JITTER)


class PushTask:
    """Sends new generations and VM lists to the members assigned to this node."""

    def __init__(
        self, *, context: NodeContext, peer_client: PeerClient, pool: ThreadPoolExecutor
    ) -> None:
        self._context = context
        self._peer_client = peer_client
        self._pool = pool
        self._push_requested = threading.Event()

    def request_push(self, *_: object) -> None:
        """Request a push in the next step."""
        self._push_requested.set()

    def step(self) -> float:
        """Push once to every target after a change."""
        if not self._push_requested.wait(WATCHER_CHECK_INTERVAL_SECONDS):
            return 0.0
        self._push_requested.clear()
        targets = push_targets(self._context.members.current(), self._context.identity)
        for member in targets:
            self._pool.submit(self._peer_client.push, member.name, member.node_address)
        return 0.0
