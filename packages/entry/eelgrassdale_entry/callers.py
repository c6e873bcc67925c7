"""The callers' HTTP interface of section 3.1, a CherryPy application."""

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
from eelgrassdale.results import ResultCode, ResultError, verdict_of
from eelgrassdale_entry import answers, checks
from eelgrassdale_entry.bulkheads import Bulkheads
from eelgrassdale_entry.channel import Channel
from eelgrassdale_entry.httpserver import HAND_OVER, HandOver
from eelgrassdale_entry.intake import Intake
from eelgrassdale_entry.listing import Listing
from eelgrassdale_entry.messages import HttpRequest
from eelgrassdale_entry.sinks import PlainSink, StreamSink

CALLER_CHECK_SECONDS = 0.25
MAX_KEYS = 100
READ_BYTES = 64 * 1024
# Bytes of an oversized body that are read before the error is answered.
DISCARD_BYTES = 4 * 1024 * 1024
JSON_TYPE = "application/json"

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
    """What the callers' interface needs of the process."""

    intake: Intake
    listing: Listing
    bulkheads: Bulkheads
    max_body_bytes: int
    health: Callable[[], tuple[bool, dict]]


class Callers:
    """Mounted at `/v1`."""

    def __init__(self, *, context: CallerContext) -> None:
        self._context = context

    @cherrypy.expose
    def health(self, *_: str, **__: str) -> bytes:
        """Answer whether this entry node serves."""
        is_ready, state = self._context.health()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json(int(status), state)

    @cherrypy.expose
    def entries(self, service: str = "", keys: str = "0", **_: str) -> bytes:
        """Answer the entry nodes in order of preference and issued keys."""
        request_id = _new_request_id()
        count = int(keys) if keys.isascii() and keys.isdigit() else -1
        if not 0 <= count <= MAX_KEYS:
            problem = checks.Problem(
                field="keys", value=keys, allowed=f"0 to {MAX_KEYS}"
            )
            return _refuse(
                request_id,
                ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,)),
            )
        found = self._context.listing.entries(service=service, keys=count)
        if found.is_error():
            return _refuse(request_id, found.error)
        return _json(
            int(HTTPStatus.OK), found.ok, answers.result_headers(request_id, 0)
        )

    @cherrypy.expose
    def services(self, *parts: str, **_: str) -> bytes:
        """Route a request of a service to one of its backend servers."""
        request_id = _new_request_id()
        if len(parts) == 2 and parts[1] == "generate":
            return self._generate(request_id, parts[0])
        if len(parts) >= 2 and parts[1] == "call":
            return self._call(request_id, parts[0])
        problem = checks.Problem(
            field="path", value="/".join(parts)[:80], allowed="generate or call/{path}"
        )
        return _refuse(
            request_id,
            ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,)),
        )

    def _generate(self, request_id: str, service: str) -> bytes:
        if cherrypy.request.method != "POST":
            return _refuse(request_id, _method_error("POST"))
        http = self._read_request(request_id, service, ServiceKind.MODEL)
        channel = self._context.intake.channel(request_id, ServiceKind.MODEL)
        if channel is None:
            return _refuse(request_id, _too_many_readers(http))
        error = self._context.intake.submit(http, StreamSink(channel=channel))
        if error is not None:
            channel.close()
            return _refuse(request_id, error)
        self._take_over(channel)
        return b""

    def _call(self, request_id: str, service: str) -> bytes:
        if cherrypy.request.method not in checks.METHODS:
            return _refuse(request_id, _method_error(", ".join(checks.METHODS)))
        http = self._read_request(request_id, service, ServiceKind.PLAIN)
        channel = self._context.intake.channel(request_id, ServiceKind.PLAIN)
        if channel is None:
            return _refuse(request_id, _too_many_readers(http))
        sink = PlainSink(channel=channel)
        error = self._context.intake.submit(http, sink)
        if error is not None:
            channel.close()
            return _refuse(request_id, error)
        with self._context.bulkheads.thread_for(service) as may_wait:
            if may_wait:
                self._wait(channel, sink)
        return self._plain_answer(channel, sink)

    def _wait(self, channel: Channel, sink: PlainSink) -> None:
        sock = _hand_over().sock
        while not sink.wait(CALLER_CHECK_SECONDS):
            if _has_left(sock):
                channel.on_gone(ResultCode.CALLER_CANCELLED)

    def _plain_answer(self, channel: Channel, sink: PlainSink) -> bytes:
        if sink.error is not None:
            channel.close()
            return _refuse(channel.request_id, sink.error)
        body = sink.whole_body()
        if body is None:
            sink.hand_over()
            self._take_over(channel)
            return b""
        channel.close()
        cherrypy.response.status = sink.status
        cherrypy.response.headers.pop("Content-Type", None)
        cherrypy.response.headers.update(sink.headers)
        _set_headers(answers.result_headers(channel.request_id, ResultCode.OK))
        return body

    def _take_over(self, channel: Channel) -> None:
        adopt = self._context.intake.adopt
        _hand_over().take_over = lambda sock: adopt(sock, channel)

    def _read_request(
        self, request_id: str, service: str, kind: ServiceKind
    ) -> HttpRequest:
        body = _read_body(self._context.max_body_bytes)
        _hand_over().request_read()
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

    def __init__(self, *, callers: Callers) -> None:
        self.v1 = callers


def new_application(context: CallerContext) -> Callable:
    """Return the WSGI application of the callers' interface."""
    tree = cherrypy._cptree.Tree()
    config = {
        "/": {**APPLICATION_CONFIG["/"], "error_page.default": error_page},
    }
    application = tree.mount(Root(callers=Callers(context=context)), "", config)
    application.log.screen = False
    # Every request has counters and a span; an access log line would cost
    # more than routing the request.
    application.log.access = _no_access_log
    return tree


def error_page(status: str, message: str, traceback: str, version: str) -> str:
    """Return the JSON body of an error that CherryPy itself found."""
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    code = (
        ResultCode.OUTCOME_UNKNOWN
        if status.startswith("5")
        else ResultCode.INVALID_REQUEST
    )
    error = ResultError(code=code, message=f"{status}: {message}")
    return json.dumps(error.as_json())


def _no_access_log() -> None:
    return None


def _hand_over() -> HandOver:
    return cherrypy.request.wsgi_environ[HAND_OVER]


def _refuse(request_id: str, error: ResultError) -> bytes:
    return _json(
        verdict_of(error.code).http_status,
        error.as_json(),
        answers.result_headers(request_id, error.code),
    )


def _json(status: int, body: dict, headers: dict[str, str] | None = None) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    _set_headers(headers or {})
    return json.dumps(body).encode()


def _set_headers(headers: dict[str, str]) -> None:
    for name, value in headers.items():
        cherrypy.response.headers[name] = value


def _method_error(allowed: str) -> ResultError:
    problem = checks.Problem(
        field="method", value=cherrypy.request.method, allowed=allowed
    )
    return ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,))


def _too_many_readers(http: HttpRequest) -> ResultError:
    error = ResultError(
        code=ResultCode.QUEUE_FULL,
        message="this entry node cannot hold memory for another caller",
    )
    return checks.refusal(error, keyed="Idempotency-Key" in http.headers)


def _new_request_id() -> str:
    return secrets.token_hex(12)


def _call_path() -> str:
    # The path after `call` is passed on as the caller wrote it, so that
    # percent-encoded parts keep their meaning.
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
    # Closing with unread bytes resets the connection, and the caller would
    # lose the error answer.
    left = min(int(length), limit + DISCARD_BYTES)
    while left > 0 and rfile.read(min(left, READ_BYTES)):
        left -= READ_BYTES
    return None


def _has_left(sock: socket.socket) -> bool:
    # A socket with a timeout waits for data before `recv`, also with
    # MSG_DONTWAIT, and then reports the timeout as an error.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    if not poller.poll(0):
        return False
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
