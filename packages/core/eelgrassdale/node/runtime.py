"""Configuration and membership of one process, shared by both programs."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait as wait_all

import structlog

from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.membership.table import MembershipTable
from eelgrassdale.node.context import NodeContext
from eelgrassdale.node.loop import Loop
from eelgrassdale.node.peerclient import LEAVING, PeerClient
from eelgrassdale.node.probing import CompareTask, ContactCheckTask, ProbeTask
from eelgrassdale.node.tasks import PushTask, VmListTask, WatchTask, apply_head
from eelgrassdale.node.tickstate import (
    TickState,
    after_comparison,
    after_tick,
    is_overdue,
)
from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.platform.vmlist import VmListClient
from eelgrassdale.settings import NodeSettings
from eelgrassdale.spread.head import HEAD_NAME
from eelgrassdale.wire import (
    CompareAnswer,
    CompareRequest,
    ConfigDelta,
    Envelope,
    NodeStatus,
    ProbeAnswer,
)

PUSH_THREADS = 8
PROBE_THREADS = 16
TICK_INTERVAL_SECONDS = 0.2
INITIAL_SYNC_TIMEOUT_SECONDS = 3.0
STARTING = "starting"
READY = "ready"
# Comparisons tried after a pause. Without an answer the node then serves with
# the generation that it has.
POST_PAUSE_COMPARE_ATTEMPTS = 3

log = structlog.get_logger(__name__)


class NodeRuntime:
    """Keeps configuration and members of a process current.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the process.
    context : NodeContext
        Objects shared by the tasks of the process.

    Attributes
    ----------
    store : ObjectStore
        Client of the object API, with the call budget of the process.
    """

    def __init__(self, *, cfg: NodeSettings, context: NodeContext) -> None:
        self._cfg = cfg
        self._context = context
        self._table: MembershipTable = context.members
        self.store = ObjectStore(url=cfg.object_api_url, metrics=context.metrics)
        self._vm_list_client = VmListClient(url=cfg.vm_list_url)
        self._peer_client = PeerClient(context=context)
        self._push_pool = ThreadPoolExecutor(PUSH_THREADS, thread_name_prefix="push")
        self._probe_pool = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._push_task = PushTask(
            context=context, peer_client=self._peer_client, pool=self._push_pool
        )
        self._compare_task = CompareTask(
            context=context, peer_client=self._peer_client, seeds=cfg.peer
        )
        self._loops = self._make_loops()
        self._served_call = threading.local()
        self._lock = threading.Lock()
        self._tick_state = TickState(last_tick_at=context.clock.monotonic())
        self._initial_sync_done = threading.Event()
        self._ready = threading.Event()
        self._leaving = threading.Event()
        self._seen_vm_list_version = 0
        context.replica.subscribe(self._push_task.request_push)
        context.replica.subscribe(self._on_configuration)
        context.members.subscribe(self._on_members)

    def start(self) -> None:
        """Start the tasks; the store and all peers may be down."""
        self._tick_state = TickState(last_tick_at=self._context.clock.monotonic())
        for loop in self._loops:
            loop.start()
        threading.Thread(target=self._initial_sync, name="boot", daemon=True).start()

    def stop(self) -> None:
        """Stop the tasks and close all connections."""
        for loop in self._loops:
            # A watch may wait at the store for many seconds; its thread ends
            # with the process.
            loop.stop(wait_seconds=0.1)
        self._push_pool.shutdown(wait=False, cancel_futures=True)
        self._probe_pool.shutdown(wait=False, cancel_futures=True)
        self._peer_client.close()
        self.store.close()
        self._vm_list_client.close()

    def announce_leaving(self) -> None:
        """Report in every later answer that this process is leaving."""
        self._leaving.set()

    def wait_for_configuration(self, seconds: float) -> bool:
        """Wait until a configuration is in force; return whether one is.

        The node first asks the store and its peers, so that it starts with the
        highest generation among them.
        """
        return self._ready.wait(seconds)

    def may_serve(self) -> bool:
        """Return whether new work may be accepted.

        False without a configuration, and after a pause of the process until
        generations were compared with a peer or all attempts at it failed.
        """
        tick_state = self._tick_state
        now = self._context.clock.monotonic()
        return (
            self._ready.is_set()
            and not tick_state.paused
            and not is_overdue(tick_state, now)
        )

    def state(self) -> str:
        """Return `starting`, `ready` or `leaving`."""
        if self._leaving.is_set():
            return LEAVING
        return READY if self._ready.is_set() else STARTING

    def subscribe_probes(self, callback: Callable[[Member, ProbeAnswer], None]) -> None:
        """Call `callback` with every answer to a probe; it must not block."""
        self._peer_client.subscribe_probes(callback)

    def envelope(self, *, remaining_ms: int = 1000, traceparent: str = "") -> Envelope:
        """Return the envelope of a call made now."""
        return self._peer_client.envelope(
            remaining_ms=remaining_ms, traceparent=traceparent
        )

    def count_served_bytes(self, amount: int) -> None:
        """Count the bytes of a served call if it was a control call.

        Meant for `NodeServer(on_bytes=...)`, which calls it in the thread that
        served the call.
        """
        if getattr(self._served_call, "is_control", False):
            self._peer_client.count_control_bytes(amount)
        self._served_call.is_control = False

    def record_sender(self, envelope: Envelope) -> None:
        """Record contact with the sender of a received call and its generation."""
        if not envelope.sender or envelope.sender == self._context.identity.name:
            return
        known = self._table.health(envelope.sender).incarnation
        if envelope.incarnation < known:
            return
        self._table.record_contact(envelope.sender, incarnation=envelope.incarnation)
        self._peer_client.record_generation(envelope.sender, envelope.generation)

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Handle `probe`; the program adds its headroom and load state."""
        self._begin_control_call(envelope)
        identity = self._context.identity
        return ProbeAnswer(
            incarnation=identity.incarnation,
            name=identity.name,
            role=identity.role.value,
            state=self.state(),
            generation=self._context.replica.current().generation,
            headroom={},
            load_state="",
        )

    def probe_via(self, envelope: Envelope, address: str) -> ProbeAnswer:
        """Handle `probe_via`; an incarnation of 0 means that nothing answered."""
        self._begin_control_call(envelope)
        answer = self._peer_client.probe_address(address)
        return answer or ProbeAnswer(
            incarnation=0, name="", role="", state="", generation=0, headroom={}
        )

    def compare(self, envelope: Envelope, request: CompareRequest) -> CompareAnswer:
        """Handle `compare`."""
        self._begin_control_call(envelope)
        state = self._context.replica.state()
        self._context.monitor.check(
            request.generation != state.generation
            or not request.head_digest
            or request.head_digest == state.head_digest,
            "generation_has_one_content",
            generation=state.generation,
            ours=state.head_digest,
            theirs=request.head_digest,
        )
        is_entry = self._context.identity.role is Role.ENTRY
        return CompareAnswer(
            incarnation=self._context.identity.incarnation,
            generation=state.generation,
            delta=self._peer_client.delta_for_peer(
                request.generation, request.members_version
            ),
            members_version=self._table.vm_list().version,
            dead=self._table.dead_digest() if is_entry else [],
        )

    def push(self, envelope: Envelope, delta: ConfigDelta) -> int:
        """Handle `push`; return the generation in force afterwards."""
        self._begin_control_call(envelope)
        self._peer_client.apply_delta(delta)
        return self._context.replica.current().generation

    def status(self, envelope: Envelope) -> NodeStatus:
        """Handle `status`; the program adds its facts."""
        self._begin_control_call(envelope)
        identity = self._context.identity
        return NodeStatus(
            name=identity.name,
            incarnation=identity.incarnation,
            role=identity.role.value,
            state=self.state(),
            generation=self._context.replica.current().generation,
            counters=self._context.metrics.totals(),
            facts={},
        )

    def _make_loops(self) -> list[Loop]:
        context, peer_client = self._context, self._peer_client
        vm_list = VmListTask(
            context=context, peer_client=peer_client, client=self._vm_list_client
        )
        probe = ProbeTask(
            context=context,
            peer_client=peer_client,
            pool=self._probe_pool,
            probe_limit=self._cfg.probe_limit,
        )
        contact_check = ContactCheckTask(context=context)
        steps = {
            "pause-check": self._tick,
            "vm-list": vm_list.step,
            "compare": self._compare_task.step,
            "health": probe.step,
            "contact-check": contact_check.step,
        }
        if context.identity.role is Role.ENTRY:
            watch = WatchTask(
                context=context, peer_client=peer_client, store=self.store
            )
            steps |= {"watch": watch.step, "push": self._push_task.step}
        return [Loop(name=name, step=step) for name, step in steps.items()]

    def _begin_control_call(self, envelope: Envelope) -> None:
        self._served_call.is_control = True
        self.record_sender(envelope)

    def _on_configuration(self, cfg: object) -> None:
        if self._initial_sync_done.is_set():
            self._ready.set()

    def _on_members(self, _: object) -> None:
        version = self._table.vm_list().version
        if version > self._seen_vm_list_version:
            self._seen_vm_list_version = version
            self._push_task.request_push()

    def _initial_sync(self) -> None:
        """Ask store and seeds once, in parallel, then allow serving."""
        pending = [self._probe_pool.submit(self._read_store)]
        pending += [
            self._probe_pool.submit(self._peer_client.compare, "", address)
            for address in self._cfg.peer
            if address != self._cfg.node_address
        ]
        wait_all(pending, timeout=INITIAL_SYNC_TIMEOUT_SECONDS)
        self._initial_sync_done.set()
        if self._context.replica.current().generation:
            self._ready.set()

    def _read_store(self) -> None:
        read = self.store.get(HEAD_NAME).bind(
            lambda value: apply_head(self._context, self.store, value)
        )
        if read.is_error():
            log.warning("store could not be read at start", error=read.error.message)

    def _tick(self) -> float:
        now = self._context.clock.monotonic()
        with self._lock:
            self._tick_state = after_tick(self._tick_state, now)
        if self._tick_state.paused:
            log.warning("process was paused; comparing generations")
            self._compare_after_pause()
        return TICK_INTERVAL_SECONDS

    def _compare_after_pause(self) -> None:
        for _ in range(POST_PAUSE_COMPARE_ATTEMPTS):
            if self._compare_task.compare_now():
                break
        with self._lock:
            now = self._context.clock.monotonic()
            self._tick_state = after_comparison(TickState(last_tick_at=now))
