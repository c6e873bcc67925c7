"""The administration API, a CherryPy application that listens on its own port."""

import hmac
import json
import threading
from collections.abc import Mapping, Sequence
from http import HTTPStatus

import attrs
import cherrypy
import structlog
from attrs import frozen
from cheroot import wsgi
from expression import Error, Ok, Result

from eelgrassdale.catalog import (
    CLASS_BY_KIND,
    CatalogObject,
    Configuration,
    DataCentreState,
    object_from_fields,
    print_configuration,
)
from eelgrassdale.catalog.encoding import json_fields_of
from eelgrassdale.node.context import NodeContext
from eelgrassdale.platform.objects import ObjectStore
from eelgrassdale.results import Problem, ResultCode, ResultError, info_of
from eelgrassdale.spread import read_head
from eelgrassdale.wire.client import parse_address
from eelgrassdale_entry.changes import AcceptedChange, Edits, change_objects
from eelgrassdale_operators.progress import read_statuses

SERVER_THREADS = 8
MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_SECONDS = 10.0
BEARER = "Bearer "
STATE_BY_ACTION = {
    "take-out": DataCentreState.OUT,
    "return": DataCentreState.IN_SERVICE,
}

APPLICATION_CONFIG = {
    "/": {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "tools.encode.on": False,
        "tools.trailing_slash.on": False,
    }
}

log = structlog.get_logger(__name__)

ApiResult = Result[Mapping[str, object], ResultError]


@frozen(kw_only=True)
class AdminContext:
    """State of the process that the administration API uses."""

    node: NodeContext
    store: ObjectStore
    operator_tokens: Sequence[str]


class AdminApi:
    """Handlers mounted at `/v1`; every call needs an operator token."""

    def __init__(self, *, context: AdminContext) -> None:
        self._context = context

    @cherrypy.expose
    def default(self, *path: str, **_: str) -> bytes:
        """Authenticate a call and route it by its method and path."""
        if not is_authorised(
            cherrypy.request.headers.get("Authorization", ""),
            self._context.operator_tokens,
        ):
            cherrypy.response.headers["WWW-Authenticate"] = "Bearer"
            return _write_response(Error(ResultError(code=ResultCode.UNAUTHORISED)))
        return _write_response(self._route(cherrypy.request.method, path))

    def _route(self, method: str, path: tuple[str, ...]) -> ApiResult:
        match (method, *path):
            case ("GET", "configuration"):
                return Ok(self._configuration())
            case ("GET", "generation"):
                return Ok(self._generation())
            case ("GET", "status"):
                return Ok(self._status())
            case ("GET", kind) if kind in CLASS_BY_KIND:
                return Ok(self._objects(kind))
            case ("GET", kind, name) if kind in CLASS_BY_KIND:
                return self._object(kind, name)
            case ("PUT", kind) if kind in CLASS_BY_KIND:
                return self._put_all(kind)
            case ("PUT", kind, name) if kind in CLASS_BY_KIND:
                return self._put(kind, name)
            case ("POST", "data-centres", name, action) if action in STATE_BY_ACTION:
                return self._set_state(name, STATE_BY_ACTION[action])
        return Error(
            _invalid_request("path", f"{method} {'/'.join(path)}", "a known path")
        )

    def _configuration(self) -> Mapping[str, object]:
        cfg = self._current()
        return {
            "generation": cfg.generation,
            "configuration": json.loads(print_configuration(cfg)),
        }

    def _generation(self) -> Mapping[str, object]:
        head_result = read_head(self._context.store)
        return {
            "in_force": self._current().generation,
            "accepted": head_result.ok.head.generation if head_result.is_ok() else None,
        }

    def _status(self) -> Mapping[str, object]:
        members = self._context.node.members.current().by_name
        statuses = read_statuses(
            {name: member.node_address for name, member in members.items()}
        )
        nodes = {
            name: {
                "role": members[name].role.value,
                "data_centre": members[name].data_centre,
                "membership": members[name].state.value,
                "generation": status.generation,
                "state": status.state,
                "violations": status.counters.get("violations", 0),
            }
            for name, status in statuses.items()
            if status is not None
        }
        return {
            "generation": self._current().generation,
            "nodes": nodes,
            "unreachable": sorted(set(members) - set(nodes)),
        }

    def _objects(self, kind: str) -> Mapping[str, object]:
        cfg = self._current()
        return {
            "generation": cfg.generation,
            "objects": {
                name: json_fields_of(obj)
                for name, obj in sorted(_objects_by_name(cfg, kind).items())
            },
        }

    def _object(self, kind: str, name: str) -> ApiResult:
        cfg = self._current()
        found = _objects_by_name(cfg, kind).get(name)
        if found is None:
            return Error(_invalid_request(kind, name, "the name of an object"))
        return Ok({"generation": cfg.generation, "object": json_fields_of(found)})

    def _put(self, kind: str, name: str) -> ApiResult:
        return _read_json().bind(
            lambda fields: _decode_object(kind, name, fields).bind(
                lambda obj: self._apply_edit(lambda _: Ok({f"{kind}/{name}": obj}))
            )
        )

    def _put_all(self, kind: str) -> ApiResult:
        return _read_json().bind(
            lambda by_name: _decode_objects(kind, by_name).bind(
                lambda objects: self._apply_edit(
                    lambda cfg: Ok(_replacement_edits(cfg, kind, objects))
                )
            )
        )

    def _set_state(self, name: str, state: DataCentreState) -> ApiResult:
        def edit(cfg: Configuration) -> Result[Edits, ResultError]:
            found = cfg.data_centres.get(name)
            if found is None:
                return Error(
                    _invalid_request("data-centres", name, "the name of a data centre")
                )
            return Ok({f"data-centres/{name}": attrs.evolve(found, state=state)})

        return self._apply_edit(edit)

    def _apply_edit(self, edit) -> ApiResult:
        expected = _parse_if_match(cherrypy.request.headers.get("If-Match", ""))
        if expected.is_error():
            return Error(expected.error)
        changed = change_objects(
            self._context.store,
            self._context.node.replica.state(),
            edit,
            expected_generation=expected.ok,
        )
        if changed.is_ok() and changed.ok.delta is not None:
            log.info("configuration accepted", generation=changed.ok.generation)
            # Applied here at once, so that an accepted change propagates even if
            # the store goes down before a watcher has read it.
            self._context.node.replica.apply_if_newer(changed.ok.delta)
        return changed.map(_accepted_fields)

    def _current(self) -> Configuration:
        return self._context.node.replica.current()


class AdminServer(wsgi.Server):
    """HTTP server of the administration API.

    Parameters
    ----------
    address : str
        `host:port` to bind.
    context : AdminContext
        State of the process that the API uses.
    """

    def __init__(self, *, address: str, context: AdminContext) -> None:
        parsed = parse_address(address)
        super().__init__(
            (parsed.host, parsed.port),
            new_application(context),
            numthreads=SERVER_THREADS,
            max=SERVER_THREADS,
            server_name="eelgrassdale",
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=1,
        )
        self.max_request_header_size = MAX_HEADER_BYTES
        self.max_request_body_size = MAX_BODY_BYTES

    def start_serving(self) -> None:
        """Bind the address, then serve in background threads until `stop`.

        Raises
        ------
        OSError
            The address cannot be bound.

        """
        self.prepare()
        threading.Thread(target=self.serve, name="admin", daemon=True).start()

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Write a server message to the structured log."""
        log.log(level, "message from the admin server", message=msg, exc_info=traceback)


def new_application(context: AdminContext) -> cherrypy.Application:
    """Return the WSGI application of the administration API."""
    application = cherrypy.Application(
        AdminApi(context=context), "/v1", APPLICATION_CONFIG
    )
    application.log.screen = False
    return application


def is_authorised(header: str, tokens: Sequence[str]) -> bool:
    """Return whether an `Authorization` header carries one of the tokens.

    Examples
    --------
    >>> is_authorised("Bearer secret-token", ["secret-token"])
    True
    >>> is_authorised("", ["secret-token"]), is_authorised("Bearer ", [])
    (False, False)

    """
    if not header.startswith(BEARER):
        return False
    given = header[len(BEARER) :].encode()
    # Each comparison takes constant time and none is skipped, so that the
    # timing reveals nothing about the tokens.
    matches = [hmac.compare_digest(given, token.encode()) for token in tokens]
    return any(matches)


def _objects_by_name(cfg: Configuration, kind: str) -> Mapping[str, CatalogObject]:
    return getattr(cfg, kind.replace("-", "_"))


def _replacement_edits(
    cfg: Configuration, kind: str, objects: Mapping[str, CatalogObject]
) -> Edits:
    """Return the edits that replace all objects of a kind by `objects`."""
    removed = {f"{kind}/{name}": None for name in _objects_by_name(cfg, kind)}
    return removed | {f"{kind}/{name}": obj for name, obj in objects.items()}


def _read_json() -> Result[dict, ResultError]:
    try:
        value = json.loads(cherrypy.request.body.fp.read())
    except ValueError as exc:
        return Error(_invalid_request("body", str(exc), "a JSON object"))
    if not isinstance(value, dict):
        return Error(_invalid_request("body", value, "a JSON object"))
    return Ok(value)


def _decode_object(
    kind: str, name: str, fields: object
) -> Result[CatalogObject, ResultError]:
    if not isinstance(fields, dict):
        return Error(_invalid_request(f"{kind}/{name}", fields, "a JSON object"))
    if fields.get("name", name) != name:
        return Error(_invalid_request(f"{kind}/{name}.name", fields["name"], name))
    return object_from_fields(kind, {**fields, "name": name})


def _decode_objects(
    kind: str, by_name: Mapping[str, object]
) -> Result[dict[str, CatalogObject], ResultError]:
    decoded = {
        name: _decode_object(kind, name, fields) for name, fields in by_name.items()
    }
    problems = [
        problem
        for result in decoded.values()
        if result.is_error()
        for problem in result.error.problems
    ]
    if problems:
        return Error(
            ResultError(code=ResultCode.CONFIGURATION_INVALID, problems=tuple(problems))
        )
    return Ok({name: result.ok for name, result in decoded.items()})


def _parse_if_match(header: str) -> Result[int | None, ResultError]:
    text = header.strip().strip('"')
    if not text:
        return Ok(None)
    if not text.isdecimal():
        return Error(_invalid_request("If-Match", header, '"<generation>"'))
    return Ok(int(text))


def _accepted_fields(accepted: AcceptedChange) -> Mapping[str, object]:
    return {
        "generation": accepted.generation,
        "changed": accepted.delta is not None,
        "diff": accepted.diff,
    }


def _write_response(result: ApiResult) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    if result.is_ok():
        cherrypy.response.status = int(HTTPStatus.OK)
        return json.dumps(result.ok).encode()
    error = result.error
    cherrypy.response.status = info_of(error.code).http_status
    body = error.as_json()
    if error.code is ResultCode.CONFIGURATION_CONFLICT and error.problems:
        body["diff"] = error.problems[0].value
    return json.dumps(body).encode()


def _invalid_request(field: str, value: object, allowed: str) -> ResultError:
    problem = Problem(field=field, value=value, allowed=allowed)
    return ResultError(code=ResultCode.INVALID_REQUEST, problems=(problem,))
