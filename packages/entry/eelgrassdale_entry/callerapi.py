"""The HTTP interface for callers (docs/design.md, section 3.1), in CherryPy."""

import json
import secrets
import select
import socket
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import urlsplit

import cherrypy
from attrs import frozen

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.results import ResultCode, ResultError, info_of
from eelgrassdale_entry import responses, validation
from eelgrassdale_entry.bulkheads import Bulkheads
from eelgrassdale_entry.channel import Channel
from eelgrassdale_entry.entrynodes import EntryNodeDirectory
from eelgrassdale_entry.httpserver import HANDOVER_ENVIRON_KEY, ConnectionHandover
from eelgrassdale_entry.intake import RequestIntake
from eelgrassdale_entry.messages import HttpRequest
from eelgrassdale_entry.sinks import PlainSink, StreamSink

DISCONNECT_CHECK_INTERVAL_SECONDS = 0.25
MAX_ISSUED_KEYS = 100
READ_BYTES = 64 * 1024
# Most bytes beyond the limit that are read of an oversized body before the error is
# sent.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
JSON_MEDIA_TYPE = "application/json"

APPLICATION_CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
    }
}


@frozen(kw_only=True)
class CallerContext:
    """State of the process that the callers' interface uses."""

    intake: RequestIntake
    entry_node_directory: EntryNodeDirectory
    bulkheads: Bulkheads
    max_body_bytes: int
    health: Callable[[], tuple[bool, dict]]


class CallerApi:
    """Handlers of the callers' interface, mounted at `/v1`."""

    def __init__(self, *, context: CallerContext) -> None:
        self._context = context

    @cherrypy.expose
    def health(self, *_: str, **__: str) -> bytes:
        """Return whether this entry node serves requests, with its state."""
        is_ready, state = self._context.health()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json_response(int(status), state)

    @cherrypy.expose
    def entries(self, service: str = "", keys: str = "0", **_: str) -> bytes:
        """Return the entry nodes in order of preference, and newly issued keys."""
        request_id = _new_request_id()
        count = int(keys) if keys.isascii() and keys.isdigit() else -1
        if not 0 <= count <= MAX_ISSUED_KEYS:
            problem = validation.Problem(
                field="keys", value=keys, allowed=f"0 to {MAX_ISSUED_KEYS}"
            )
            return _error_response(
                request_id,
                ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,)),
            )
        found = self._context.entry_node_directory.entries(service=service, keys=count)
        if found.is_error():
            return _error_response(request_id, found.error)
        return _json_response(
            int(HTTPStatus.OK), found.ok, responses.result_headers(request_id, 0)
        )

    @cherrypy.expose
    def services(self, *parts: str, **_: str) -> bytes:
        """Handle `generate` of a model service and `call` of a plain service."""
        request_id = _new_request_id()
        if len(parts) == 2 and parts[1] == "generate":
            return self._generate(request_id, parts[0])
        if len(parts) >= 2 and parts[1] == "call":
            return self._call(request_id, parts[0])
        problem = validation.Problem(
            field="path", value="/".join(parts)[:80], allowed="generate or call/{path}"
        )
        return _error_response(
            request_id,
            ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,)),
        )

    def _generate(self, request_id: str, service: str) -> bytes:
        if cherrypy.request.method != "POST":
            return _error_response(request_id, _method_error("POST"))
        http = self._read_request(request_id, service, ServiceKind.MODEL)
        channel = self._context.intake.channel(request_id, ServiceKind.MODEL)
        if channel is None:
            return _error_response(request_id, _reader_limit_error(http))
        error = self._context.intake.submit(http, StreamSink(channel=channel))
        if error is not None:
            channel.close()
            return _error_response(request_id, error)
        self._hand_to_writer(channel)
        return b""

    def _call(self, request_id: str, service: str) -> bytes:
        if cherrypy.request.method not in validation.ALLOWED_METHODS:
            return _error_response(
                request_id, _method_error(", ".join(validation.ALLOWED_METHODS))
            )
        http = self._read_request(request_id, service, ServiceKind.PLAIN)
        channel = self._context.intake.channel(request_id, ServiceKind.PLAIN)
        if channel is None:
            return _error_response(request_id, _reader_limit_error(http))
        sink = PlainSink(channel=channel)
        error = self._context.intake.submit(http, sink)
        if error is not None:
            channel.close()
            return _error_response(request_id, error)
        with self._context.bulkheads.thread_slot(service) as may_wait:
            if may_wait:
                self._wait(channel, sink)
        return self._plain_response(channel, sink)

    def _wait(self, channel: Channel, sink: PlainSink) -> None:
        sock = _connection_handover().sock
        while not sink.wait(DISCONNECT_CHECK_INTERVAL_SECONDS):
            if _is_disconnected(sock):
                channel.on_caller_gone(ResultCode.CALLER_CANCELLED)

    def _plain_response(self, channel: Channel, sink: PlainSink) -> bytes:
        if sink.error is not None:
            channel.close()
            return _error_response(channel.request_id, sink.error)
        body = sink.pop_small_body()
        if body is None:
            sink.hand_over()
            self._hand_to_writer(channel)
            return b""
        channel.close()
        cherrypy.response.status = sink.status
        cherrypy.response.headers.pop("Content-Type", None)
        cherrypy.response.headers.update(sink.headers)
        _set_headers(responses.result_headers(channel.request_id, ResultCode.OK))
        return body

    def _hand_to_writer(self, channel: Channel) -> None:
        adopt = self._context.intake.adopt
        _connection_handover().on_handover = lambda sock: adopt(sock, channel)

    def _read_request(
        self, request_id: str, service: str, kind: ServiceKind
    ) -> HttpRequest:
        body = _read_body(self._context.max_body_bytes)
        _connection_handover().mark_request_received()
        return HttpRequest(
            request_id=request_id,
            service=service,
            kind=kind,
            method=cherrypy.request.method,
            path=_call_path(),
            headers=cherrypy.request.headers,
            body=body,
        )


class Root:
    """Root of the application tree; only `/v1` is served."""

    def __init__(self, *, callers: CallerApi) -> None:
        self.v1 = callers


def new_application(context: CallerContext) -> Callable:
    """Return the WSGI application of the callers' interface."""
    tree = cherrypy._cptree.Tree()
    config = {
        "/": {**APPLICATION_CONFIG["/"], "error_page.default": error_page},
    }
    application = tree.mount(Root(callers=CallerApi(context=context)), "", config)
    application.log.screen = False
    # Counters and a span cover every request; an access log line would cost more
    # than routing the request.
    application.log.access = _no_access_log
    return tree


def error_page(status: str, message: str, traceback: str, version: str) -> str:
    """Return the JSON body of an error that CherryPy detected."""
    cherrypy.response.headers["Content-Type"] = JSON_MEDIA_TYPE
    code = (
        ResultCode.OUTCOME_UNKNOWN
        if status.startswith("5")
        else ResultCode.INVALID_REQUEST
    )
    error = ResultError(code=code, message=f"{status}: {message}")
    return json.dumps(error.as_json())


def _no_access_log() -> None:
    return None


def _connection_handover() -> ConnectionHandover:
    return cherrypy.request.wsgi_environ[HANDOVER_ENVIRON_KEY]


def _error_response(request_id: str, error: ResultError) -> bytes:
    return _json_response(
        info_of(error.code).http_status,
        error.as_json(),
        responses.result_headers(request_id, error.code),
    )


def _json_response(
    status: int, body: dict, headers: dict[str, str] | None = None
) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_MEDIA_TYPE
    _set_headers(headers or {})
    return json.dumps(body).encode()


def _set_headers(headers: dict[str, str]) -> None:
    for name, value in headers.items():
        cherrypy.response.headers[name] = value


def _method_error(allowed: str) -> ResultError:
    problem = validation.Problem(
        field="method", value=cherrypy.request.method, allowed=allowed
    )
    return ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,))


def _reader_limit_error(http: HttpRequest) -> ResultError:
    error = ResultError(
        code=ResultCode.QUEUE_FULL,
        message="this entry node has no memory for another concurrent caller",
    )
    return validation.local_refusal(error, keyed="Idempotency-Key" in http.headers)


def _new_request_id() -> str:
    return secrets.token_hex(12)


def _call_path() -> str:
    # The path after `call` is forwarded as the caller encoded it, because decoding
    # would change the meaning of percent-encoded characters.
    uri = urlsplit(cherrypy.request.wsgi_environ["REQUEST_URI"])
    path = "/" + "/".join(uri.path.split("/")[5:])
    return f"{path}?{uri.query}" if uri.query else path


def _read_body(limit: int) -> bytes | None:
    headers = cherrypy.request.headers
    length = headers.get("Content-Length", "")
    if not length and "Transfer-Encoding" not in headers:
        return b""
    rfile = cherrypy.request.rfile
    if not length.isdigit() or int(length) <= limit:
        body = rfile.read(limit + 1)
        return None if len(body) > limit else body
    # Closing a socket with unread bytes resets the connection, and the caller
    # would lose the error response.
    remaining = min(int(length), limit + MAX_DISCARDED_BYTES)
    while remaining > 0 and rfile.read(min(remaining, READ_BYTES)):
        remaining -= READ_BYTES
    return None


def _is_disconnected(sock: socket.socket) -> bool:
    # Python waits for data before `recv` on a socket with a timeout, even with
    # MSG_DONTWAIT, and then raises the timeout as an error.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    if not poller.poll(0):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
