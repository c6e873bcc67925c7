"""Fakes for a weights task: weight source, engine and admission gate."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from attrs import Factory, define

from eelgrassdale.hashing import digest_of
from eelgrassdale.weights import Manifest, manifest_of


class WebServer:
    """HTTP server that passes each request to `answer(method, path, body, headers)`."""

    def __init__(self, answer) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # With Nagle's algorithm, separate small writes of header and body would
            # wait for the client's delayed acknowledgement, 40 ms each.
            disable_nagle_algorithm = True
            wbufsize = -1

            def _reply(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, data = answer(self.command, self.path, body, self.headers)
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = _reply

            def log_message(self, *_args) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class FakeSource:
    """Weight source with faults: `outage`, and `corrupt` for indices of chunks.

    Each index in `corrupt` is sent corrupt once.
    """

    def __init__(self) -> None:
        self.models: dict[str, tuple[Manifest, bytes]] = {}
        self.outage = False
        self.delay_seconds = 0.0
        self.corrupt: set[int] = set()
        self.reads: list[int] = []
        self.web = WebServer(self._answer)

    def add(self, version: str, data: bytes, chunk_bytes: int) -> Manifest:
        """Serve `data` as `version` and return its manifest."""
        manifest = manifest_of(version=version, data=data, chunk_bytes=chunk_bytes)
        self.models[version] = (manifest, data)
        return manifest

    def _answer(self, _method, path, _body, headers):
        _, _, version, part = path.split("/")
        if self.outage or version not in self.models:
            return 503, b""
        manifest, data = self.models[version]
        if part == "manifest":
            return 200, manifest.body
        if headers["If-Match"].strip('"') != manifest.digest:
            return 412, b""
        time.sleep(self.delay_seconds)
        start, end = headers["Range"].removeprefix("bytes=").split("-")
        piece = data[int(start) : int(end) + 1]
        index = int(start) // manifest.chunk_bytes
        self.reads.append(index)
        if index in self.corrupt:
            self.corrupt.discard(index)
            return 206, bytes(len(piece))
        return 206, piece


class FakeEngine:
    """Model engine that records its loads.

    `checks_fencing` and `lists_staging` can be switched off; `fail_loads` is the number
    of load orders that fail next.
    """

    def __init__(self, *, checks_fencing: bool = True) -> None:
        self.staged: dict[str, dict[int, bytes]] = {}
        self.version = self.manifest = ""
        self.incarnation = 1
        self.loaded: list[tuple[str, str, int]] = []
        self.checks_fencing = checks_fencing
        self.lists_staging = True
        self.fail_loads = 0
        self.load_seconds = 0.05
        self.web = WebServer(self._answer)

    def clear(self) -> None:
        """Lose staged and loaded weights, as after a restart of the VM."""
        self.staged.clear()
        self.version = self.manifest = ""
        self.incarnation += 1

    def _answer(self, method, path, body, _headers):
        parts = path.strip("/").split("/")
        if parts[0] == "load":
            state = {
                "incarnation": self.incarnation,
                "model_version": self.version,
                "manifest": self.manifest,
            }
            return 200, json.dumps(state).encode()
        if parts[0] == "orders":
            return self._order(json.loads(body)), b""
        chunks = self.staged.setdefault(parts[1], {})
        if method == "PUT":
            chunks[int(parts[2])] = body
            return 200, b""
        if len(parts) == 2 and not self.lists_staging:
            return 404, b""
        if len(parts) == 2:
            return 200, json.dumps({"chunks": list(chunks)}).encode()
        data = chunks.get(int(parts[2]))
        return (404, b"") if data is None else (200, data)

    def _order(self, order) -> int:
        highest = max((fencing for _, _, fencing in self.loaded), default=0)
        if self.checks_fencing and order["fencing"] < highest:
            return 409
        if self.fail_loads:
            self.fail_loads -= 1
            return 500
        time.sleep(self.load_seconds)
        chunks = self.staged[order["manifest"]]
        data = b"".join(chunks[index] for index in sorted(chunks))
        self.loaded.append((order["manifest"], digest_of(data), order["fencing"]))
        self.version, self.manifest = order["model_version"], order["manifest"]
        return 200


@define
class FakeGate:
    """Admission gate without a warm-up; tests set `in_flight`."""

    in_flight: int = 0
    version: str = ""
    paused: bool = False
    resumed: list[str] = Factory(list)

    def pause_admission(self) -> None:
        """Record that admission is paused."""
        self.paused = True

    def running_count(self) -> int:
        """Return `in_flight`."""
        return self.in_flight

    def resume_cold(self, model_version: str) -> None:
        """Record the model version and that admission has resumed."""
        self.paused, self.version = False, model_version
        self.resumed.append(model_version)

    def is_warm(self) -> bool:
        """Return whether a version is served."""
        return bool(self.version) and not self.paused
