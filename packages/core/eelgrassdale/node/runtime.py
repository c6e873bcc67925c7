"""Configuration and membership of one process, shared by both programs."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait as wait_all

import structlog

from eelgrassdale.identity import Role
from eelgrassdale.membership.members import Member
from eelgrassdale.membership.table import MembersTable
from eelgrassdale.node.context import NodeContext
from eelgrassdale.node.health import CompareTask, HealthTask, SilenceTask
from eelgrassdale.node.links import LEAVING, PeerLinks
from eelgrassdale.node.loop import Loop
from eelgrassdale.node.pause import Pulse, after_comparison, after_tick, is_overdue
from eelgrassdale.node.tasks import PushTask, VmListTask, WatchTask, take_head
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
TICK_SECONDS = 0.2
BOOT_SECONDS = 3.0
STARTING = "starting"
READY = "ready"
# Peers asked after a pause before the node serves on with what it has.
RECHECK_PEERS = 3

log = structlog.get_logger(__name__)


class NodeRuntime:
    """Keeps configuration and members of a process current.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the process.
    context : NodeContext
        What the tasks of the process share.

    Attributes
    ----------
    store : ObjectStore
        Client of the object API, with the call budget of the process.
    """

    def __init__(self, *, cfg: NodeSettings, context: NodeContext) -> None:
        self._cfg = cfg
        self._context = context
        self._table: MembersTable = context.members
        self.store = ObjectStore(url=cfg.object_api_url, metrics=context.metrics)
        self._vm_client = VmListClient(url=cfg.vm_list_url)
        self._links = PeerLinks(context=context)
        self._pushes = ThreadPoolExecutor(PUSH_THREADS, thread_name_prefix="push")
        self._probes = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._push = PushTask(context=context, links=self._links, pool=self._pushes)
        self._compare = CompareTask(context=context, links=self._links, seeds=cfg.peer)
        self._loops = self._make_loops()
        self._served = threading.local()
        self._lock = threading.Lock()
        self._pulse = Pulse(ticked_at=context.clock.monotonic())
        self._booted = threading.Event()
        self._ready = threading.Event()
        self._leaving = threading.Event()
        self._vm_version = 0
        context.replica.subscribe(self._push.mark)
        context.replica.subscribe(self._note_configuration)
        context.members.subscribe(self._note_members)

    def start(self) -> None:
        """Start the tasks; the store and all peers may be down."""
        self._pulse = Pulse(ticked_at=self._context.clock.monotonic())
        for loop in self._loops:
            loop.start()
        threading.Thread(target=self._boot, name="boot", daemon=True).start()

    def stop(self) -> None:
        """Stop the tasks and close all connections."""
        for loop in self._loops:
            # A watch may wait at the store for many seconds; its thread ends
            # with the process.
            loop.stop(wait_seconds=0.1)
        self._pushes.shutdown(wait=False, cancel_futures=True)
        self._probes.shutdown(wait=False, cancel_futures=True)
        self._links.close()
        self.store.close()
        self._vm_client.close()

    def leave(self) -> None:
        """State in every later answer that this process is leaving."""
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
        generations were compared with a peer.
        """
        pulse = self._pulse
        now = self._context.clock.monotonic()
        return self._ready.is_set() and not pulse.paused and not is_overdue(pulse, now)

    def state(self) -> str:
        """Return `starting`, `ready` or `leaving`."""
        if self._leaving.is_set():
            return LEAVING
        return READY if self._ready.is_set() else STARTING

    def subscribe_probes(self, callback: Callable[[Member, ProbeAnswer], None]) -> None:
        """Call `callback` with every answer to a probe; it must not block."""
        self._links.subscribe_probes(callback)

    def envelope(self, *, remaining_ms: int = 1000, traceparent: str = "") -> Envelope:
        """Return the envelope of a call made now."""
        return self._links.envelope(remaining_ms=remaining_ms, traceparent=traceparent)

    def count_served_bytes(self, amount: int) -> None:
        """Count the bytes of a served call if it was a control call.

        Meant for `NodeServer(on_bytes=...)`, which calls it in the thread that
        served the call.
        """
        if getattr(self._served, "is_control", False):
            self._links.count_bytes(amount)
        self._served.is_control = False

    def note(self, envelope: Envelope) -> None:
        """Take what the envelope of a received call tells about its sender."""
        if not envelope.sender or envelope.sender == self._context.identity.name:
            return
        known = self._table.health(envelope.sender).incarnation
        if envelope.incarnation < known:
            return
        self._table.heard(envelope.sender, incarnation=envelope.incarnation)
        self._links.note_generation(envelope.sender, envelope.generation)

    def probe(self, envelope: Envelope) -> ProbeAnswer:
        """Handle `probe`; the program adds its headroom and load state."""
        self._serve_control(envelope)
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
        self._serve_control(envelope)
        answer = self._links.probe_address(address)
        return answer or ProbeAnswer(
            incarnation=0, name="", role="", state="", generation=0, headroom={}
        )

    def compare(self, envelope: Envelope, request: CompareRequest) -> CompareAnswer:
        """Handle `compare`."""
        self._serve_control(envelope)
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
            delta=self._links.delta_for_peer(
                request.generation, request.members_version
            ),
            members_version=self._table.vm_list().version,
            dead=self._table.dead_digest() if is_entry else [],
        )

    def push(self, envelope: Envelope, delta: ConfigDelta) -> int:
        """Handle `push`; return the generation in force afterwards."""
        self._serve_control(envelope)
        self._links.take(delta)
        return self._context.replica.current().generation

    def status(self, envelope: Envelope) -> NodeStatus:
        """Handle `status`; the program adds its facts."""
        self._serve_control(envelope)
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
        context, links = self._context, self._links
        vm_list = VmListTask(context=context, links=links, client=self._vm_client)
        health = HealthTask(
            context=context,
            links=links,
            pool=self._probes,
            probe_limit=self._cfg.probe_limit,
        )
        silence = SilenceTask(context=context)
        steps = {
            "pulse": self._tick,
            "vm-list": vm_list.step,
            "compare": self._compare.step,
            "health": health.step,
            "silence": silence.step,
        }
        if context.identity.role is Role.ENTRY:
            watch = WatchTask(context=context, links=links, store=self.store)
            steps |= {"watch": watch.step, "push": self._push.step}
        return [Loop(name=name, step=step) for name, step in steps.items()]

    def _serve_control(self, envelope: Envelope) -> None:
        self._served.is_control = True
        self.note(envelope)

    def _note_configuration(self, cfg: object) -> None:
        if self._booted.is_set():
            self._ready.set()

    def _note_members(self, _: object) -> None:
        version = self._table.vm_list().version
        if version > self._vm_version:
            self._vm_version = version
            self._push.mark()

    def _boot(self) -> None:
        """Ask store and seeds once, in parallel, then allow to serve."""
        asked = [self._probes.submit(self._read_store)]
        asked += [
            self._probes.submit(self._links.compare, "", address)
            for address in self._cfg.peer
            if address != self._cfg.node_address
        ]
        wait_all(asked, timeout=BOOT_SECONDS)
        self._booted.set()
        if self._context.replica.current().generation:
            self._ready.set()

    def _read_store(self) -> None:
        read = self.store.get(HEAD_NAME).bind(
            lambda value: take_head(self._context, self.store, value)
        )
        if read.is_error():
            log.warning("store not read at start", error=read.error.message)

    def _tick(self) -> float:
        now = self._context.clock.monotonic()
        with self._lock:
            self._pulse = after_tick(self._pulse, now)
        if self._pulse.paused:
            log.warning("process was paused; comparing generations")
            self._recheck()
        return TICK_SECONDS

    def _recheck(self) -> None:
        for _ in range(RECHECK_PEERS):
            if self._compare.compare_now():
                break
        with self._lock:
            now = self._context.clock.monotonic()
            self._pulse = after_comparison(Pulse(ticked_at=now))
