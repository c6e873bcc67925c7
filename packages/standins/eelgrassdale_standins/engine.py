"""Stand-in of a model engine: its HTTP interface and token generation."""

import json
import queue
import socket
import threading
import time
from collections.abc import Iterator
from datetime import UTC, datetime

import attrs
import cherrypy
import click

from eelgrassdale.identity import new_incarnation
from eelgrassdale_standins.batching import Batch, Stream
from eelgrassdale_standins.models import Weights, make_weights
from eelgrassdale_standins.serving import (
    StandIn,
    close_connection,
    current_connection,
    drop_connection,
    json_response,
    read_body,
    run,
)
from eelgrassdale_standins.staging import LoadedWeights, LoadOrder, StagingArea

IDLE_STEP_SECONDS = 0.02
COLD_SLOWDOWN_FACTOR = 2.0  # time per token of a cold engine, relative to a warm one


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Speed, memory and cold start of an engine."""

    token_seconds: float
    stream_seconds: float
    max_running: int
    memory_bytes: int
    token_bytes: int
    cold_seconds: float
    cold_requests: int
    restart_seconds: float
    load_seconds: float
    report_seconds: float
    prefill_steps: int
    cache_prefixes: int


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of an engine.

    `restart` crashes it once; `restart_empty` also drops its staged chunks and
    loaded weights. `slowdown` multiplies the time between tokens, `hang` stops
    token generation, and `fail_loads` is the number of next load orders that
    fail.
    """

    outage: bool = False
    restart: bool = False
    restart_empty: bool = False
    slowdown: float = 1.0
    hang: bool = False
    fail_loads: int = 0


class Engine(StandIn):
    """CherryPy root of an engine."""

    def __init__(self, *, cfg: EngineSettings, staging: StagingArea) -> None:
        super().__init__(Faults())
        self._cfg = cfg
        self._staging = staging
        self._loaded = LoadedWeights()
        self._batch = Batch(
            max_running=cfg.max_running,
            prefill_steps=cfg.prefill_steps,
            cache_capacity=cfg.cache_prefixes,
        )
        self._changed = threading.Condition()
        self._incarnation = new_incarnation(started_at=datetime.now(UTC))
        self._down_until = 0.0
        self._cold_until = 0.0
        self._sequence = 0
        self._report: dict[str, object] = {}
        self._reported_at = float("-inf")
        self._peak_request_count = 0

    def preload(self, loaded: LoadedWeights) -> None:
        """Set the loaded weights without staging, for tests without transfers."""
        self._loaded = loaded

    def stage_and_load(self, version: str, weights: Weights) -> None:
        """Stage and load weights, as after an earlier push."""
        for index, chunk in enumerate(weights.chunks()):
            self._staging.put(weights.manifest_digest, index, chunk)
        self.preload(
            LoadedWeights(
                model_version=version,
                manifest=weights.manifest_digest,
                weights=weights.loaded_digest,
            )
        )

    def start(self) -> None:
        """Start the thread that generates tokens."""
        threading.Thread(target=self._generate_tokens, daemon=True).start()

    @cherrypy.expose
    def generate(self) -> bytes | Iterator[bytes]:
        """Stream the tokens of one prompt."""
        fields = json.loads(read_body())
        if self._is_down():
            return drop_connection()
        with self._changed:
            loaded, incarnation = self._loaded, self._incarnation
            if not loaded.weights:
                return json_response({"error": "no weights loaded"}, 503)
            if fields.get("model_version") not in (None, "", loaded.model_version):
                return json_response({"error": "other model version"}, 409)
            stream = Stream(
                request_id=fields["request_id"],
                prompt=fields["prompt"],
                max_tokens=fields["max_tokens"],
                priority=fields.get("priority", 1),
                resume_from=fields.get("resume_from", 0),
            )
            self._batch.add(stream)
            self._crash_if_overloaded()
            self._changed.notify_all()
        self.count("requests")
        response = cherrypy.response
        response.stream = True
        response.headers["Content-Type"] = "application/jsonl"
        response.headers["X-Engine-Incarnation"] = str(incarnation)
        response.headers["X-Model-Version"] = loaded.model_version
        return self._stream_lines(stream, current_connection())

    @cherrypy.expose
    def cancel(self) -> bytes:
        """Cancel the streams of a request."""
        if self._is_down():
            return drop_connection()
        fields = json.loads(read_body())
        with self._changed:
            cancelled_count = self._batch.cancel(fields["request_id"])
        self.count("cancelled", cancelled_count)
        return json_response({"cancelled": cancelled_count})

    @cherrypy.expose
    def load(self) -> bytes:
        """Return the load report, rebuilt at most once per `report_seconds`."""
        if self._is_down():
            return drop_connection()
        now = time.monotonic()
        with self._changed:
            if now - self._reported_at >= self._cfg.report_seconds:
                self._sequence += 1
                self._report = self._build_report(now)
                self._reported_at = now
            return json_response(self._report)

    @cherrypy.expose
    def weights(self, manifest: str, index: str = "") -> bytes:
        """Stage a chunk by PUT, return a staged chunk or the staged indices."""
        if self._is_down():
            return drop_connection()
        if cherrypy.request.method == "PUT":
            data = read_body()
            with self._changed:
                self._staging.put(manifest, int(index), data)
            self.count("staged_bytes", len(data))
            return json_response({"staged": int(index)})
        with self._changed:
            if not index:
                return json_response({"chunks": self._staging.indices(manifest)})
            data = self._staging.get(manifest, int(index))
        if data is None:
            return json_response({"error": "not staged"}, 404)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        return data

    @cherrypy.expose
    def orders(self) -> bytes:
        """Execute an order to load staged weights."""
        if self._is_down():
            return drop_connection()
        fields = json.loads(read_body())
        order = LoadOrder(
            model_version=fields["model_version"],
            manifest=fields["manifest"],
            fencing=fields.get("fencing", 0),
        )
        with self._changed:
            if self._staging.is_fenced(order):
                self.count("orders_fenced")
                return json_response({"error": "stale fencing token"}, 409)
        if self.consume_fault("fail_loads"):
            return json_response({"error": "load failed"}, 500)
        time.sleep(self._cfg.load_seconds)
        with self._changed:
            loaded = self._staging.load_staged(order)
            if loaded is None:
                return json_response({"error": "nothing staged"}, 400)
            self._loaded = loaded
            self._cold_until = time.monotonic() + self._cfg.cold_seconds
        self.count("loads")
        return json_response({"model_version": loaded.model_version})

    def on_faults_changed(self) -> None:
        """Crash when a restart fault is set."""
        faults = self.current_faults
        if not (faults.restart or faults.restart_empty):
            return
        self._faults = attrs.evolve(faults, restart=False, restart_empty=False)
        with self._changed:
            self._crash("restarts")
            if faults.restart_empty:
                self._staging.clear()
                self._loaded = LoadedWeights()

    def collect_counts(self) -> dict[str, object]:
        """Return the counters and the state that tests check."""
        with self._changed:
            state = {
                "incarnation": self._incarnation,
                "prefix_hits": self._batch.prefix_hits,
                "most_held": self._peak_request_count,
                "running": len(self._batch.running),
                "waiting": len(self._batch.waiting),
                **{f"loaded_{k}": v for k, v in attrs.asdict(self._loaded).items()},
            }
        return {"crashes": 0, **super().collect_counts(), **state}

    def _is_down(self) -> bool:
        return self.current_faults.outage or time.monotonic() < self._down_until

    def _build_report(self, now: float) -> dict[str, object]:
        return {
            "incarnation": self._incarnation,
            "model_version": self._loaded.model_version,
            "manifest": self._loaded.manifest,
            "running": len(self._batch.running),
            "waiting": len(self._batch.waiting),
            "memory_used": self._batch.tokens_held * self._cfg.token_bytes,
            "memory_limit": self._cfg.memory_bytes,
            "cold": now < self._cold_until,
            "sequence": self._sequence,
        }

    def _crash_if_overloaded(self) -> None:
        batch, cfg = self._batch, self._cfg
        request_count = len(batch.running) + len(batch.waiting)
        self._peak_request_count = max(self._peak_request_count, request_count)
        if time.monotonic() < self._cold_until and request_count > cfg.cold_requests:
            self._crash("crashes")
            self.count("crashes_cold")
        elif batch.tokens_held * cfg.token_bytes > cfg.memory_bytes:
            self._crash("crashes")
            self.count("crashes_memory")

    def _crash(self, counter: str) -> None:
        now = time.monotonic()
        self.count(counter)
        self._batch.abort_all()
        self._incarnation = new_incarnation(started_at=datetime.now(UTC))
        self._sequence = 0
        self._reported_at = float("-inf")
        self._down_until = now + self._cfg.restart_seconds
        self._cold_until = self._down_until + self._cfg.cold_seconds

    def _generate_tokens(self) -> None:
        while True:
            time.sleep(self._step_seconds())
            if self.current_faults.hang:
                continue
            with self._changed:
                generated_count = self._batch.step(weights=self._loaded.weights)
                self._crash_if_overloaded()
            self.count("tokens", generated_count)

    def _step_seconds(self) -> float:
        with self._changed:
            if not self._batch.running and not self._batch.waiting:
                self._changed.wait(IDLE_STEP_SECONDS)
            running = max(1, len(self._batch.running))
        seconds = self._cfg.token_seconds + running * self._cfg.stream_seconds
        if time.monotonic() < self._cold_until:
            seconds *= COLD_SLOWDOWN_FACTOR
        return seconds * self.current_faults.slowdown

    def _stream_lines(self, stream: Stream, conn: socket.socket) -> Iterator[bytes]:
        index = stream.resume_from
        try:
            while index < stream.max_tokens:
                tokens = drain_tokens(stream.outbox)
                if tokens is None:
                    close_connection(conn)
                    return
                yield encode_tokens(tokens, index)
                index += len(tokens)
            self.count("completed")
            yield json.dumps({"end": True, "tokens": index}).encode() + b"\n"
        finally:
            with self._changed:
                self._batch.cancel_stream(stream)


def drain_tokens(outbox: queue.SimpleQueue) -> list[str] | None:
    """Wait for a token and return all queued ones, None when the stream was aborted.

    Examples
    --------
    >>> outbox = queue.SimpleQueue()
    >>> for text in ("a ", "lid "):
    ...     outbox.put(text)
    >>> drain_tokens(outbox)
    ['a ', 'lid ']

    """
    tokens = [outbox.get()]
    while not outbox.empty():
        tokens.append(outbox.get())
    return None if None in tokens else tokens


def encode_tokens(tokens: list[str], first_index: int) -> bytes:
    """Encode each token and its index as one JSON line.

    Examples
    --------
    >>> encode_tokens(["lid "], 3)
    b'{"i": 3, "t": "lid "}\\n'

    """
    return b"".join(
        json.dumps({"i": first_index + offset, "t": text}).encode() + b"\n"
        for offset, text in enumerate(tokens)
    )


@click.command()
@click.option("--address", required=True)
@click.option("--threads", default=320, show_default=True)
@click.option("--token-ms", default=5.0, show_default=True)
@click.option("--stream-ms", default=0.1, show_default=True, help="per running stream")
@click.option("--max-running", default=32, show_default=True)
@click.option("--memory-bytes", default=64 * 1024 * 1024, show_default=True)
@click.option("--token-bytes", default=1024, show_default=True)
@click.option("--cold-seconds", default=2.0, show_default=True)
@click.option("--cold-requests", default=2, show_default=True)
@click.option("--restart-seconds", default=0.5, show_default=True)
@click.option("--load-seconds", default=0.2, show_default=True)
@click.option("--report-seconds", default=0.2, show_default=True, help="report lag")
@click.option("--prefill-steps", default=4, show_default=True)
@click.option("--cache-prefixes", default=64, show_default=True)
@click.option("--checks-fencing/--ignores-fencing", default=True, show_default=True)
@click.option("--preload", default="", help="model_version:manifest:weights digest")
@click.option("--model", default="", help="version:size_bytes:seed:chunk_bytes, loaded")
def main(**options: object) -> None:
    """Serve a model engine that generates deterministic tokens."""
    root = Engine(
        cfg=EngineSettings(
            token_seconds=options["token_ms"] / 1000,
            stream_seconds=options["stream_ms"] / 1000,
            **{
                field.name: options[field.name]
                for field in attrs.fields(EngineSettings)
                if field.name in options
            },
        ),
        staging=StagingArea(checks_fencing=options["checks_fencing"]),
    )
    if options["preload"]:
        version, manifest, weights = options["preload"].rsplit(":", 2)
        root.preload(
            LoadedWeights(model_version=version, manifest=manifest, weights=weights)
        )
    if options["model"]:
        version, *numbers = options["model"].rsplit(":", 3)
        size, seed, chunk = map(int, numbers)
        weights = make_weights(
            version=version, seed=seed, size_bytes=size, chunk_bytes=chunk
        )
        root.stage_and_load(version, weights)
    run(
        root,
        address=options["address"],
        threads=options["threads"],
        on_start=root.start,
    )


if __name__ == "__main__":
    main()
