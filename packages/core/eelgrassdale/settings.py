"""Validated settings; all invalid values are reported together.

A settings class is a frozen attrs class whose fields have validators from this
module. `build_settings` runs all validators before it returns an error.
"""

import sys
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import urlsplit

import attrs
import click
from attrs import field, frozen
from expression import Error, Ok, Result

from eelgrassdale.logs import LOG_FORMATS
from eelgrassdale.results import Problem, ResultCode, ResultError

LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65535
EXIT_SETTINGS_INVALID = 2

T = TypeVar("T")
Validator = Callable[[Any, attrs.Attribute, Any], None]


class SettingError(ValueError):
    """A value that a validator rejects."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


def reject_value(attribute: attrs.Attribute, value: object, allowed: str) -> None:
    """Raise `SettingError` for the value of a field.

    `allowed` describes the accepted values.
    """
    raise SettingError(Problem(field=attribute.name, value=value, allowed=allowed))


def is_address(text: object) -> bool:
    """Return whether `text` is `host:port` with a port above 0.

    Examples
    --------
    >>> is_address("127.0.0.1:7000"), is_address("127.0.0.1"), is_address("a:0")
    (True, False, False)

    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return bool(host) and is_number and 0 < int(port) <= MAX_PORT


def text_required(_: Any, attribute: attrs.Attribute, value: object) -> None:
    """Accept a string that is not blank."""
    if not isinstance(value, str) or not value.strip():
        reject_value(attribute, value, "a string that is not blank")


def address(_: Any, attribute: attrs.Attribute, value: object) -> None:
    """Accept `host:port`."""
    if not is_address(value):
        reject_value(attribute, value, "host:port with a port from 1 to 65535")


def url(_: Any, attribute: attrs.Attribute, value: object) -> None:
    """Accept a URL with scheme `http` or `https`."""
    parts = urlsplit(str(value))
    if parts.scheme not in ("http", "https") or not parts.netloc:
        reject_value(attribute, value, "a URL that starts with http:// or https://")


def optional(validator: Validator) -> Validator:
    """Return a validator that also accepts an empty string."""

    def check(owner: Any, attribute: attrs.Attribute, value: object) -> None:
        if value != "":
            validator(owner, attribute, value)

    return check


def each_element(validator: Validator) -> Validator:
    """Return a validator that applies `validator` to each element."""

    def check(owner: Any, attribute: attrs.Attribute, value: Any) -> None:
        for element in value:
            validator(owner, attribute, element)

    return check


def one_of(*allowed: str) -> Validator:
    """Return a validator that accepts one of the given strings."""

    def check(_: Any, attribute: attrs.Attribute, value: object) -> None:
        if value not in allowed:
            reject_value(attribute, value, f"one of {', '.join(allowed)}")

    return check


def number_between(low: float, high: float) -> Validator:
    """Return a validator that accepts numbers from `low` to `high`."""

    def check(_: Any, attribute: attrs.Attribute, value: object) -> None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            reject_value(attribute, value, f"a number from {low} to {high}")

    return check


def parse_int(value: object) -> object:
    """Return `value` as an integer if it can be converted, else unchanged."""
    try:
        return int(value)
    except (TypeError, ValueError):
        return value


def parse_float(value: object) -> object:
    """Return `value` as a float if it can be converted, else unchanged."""
    try:
        return float(value)
    except (TypeError, ValueError):
        return value


@frozen(kw_only=True)
class NodeSettings:
    """Settings shared by entry nodes and agents.

    `peer` holds the node addresses of a few entry nodes that a node contacts at
    start. An entry node probes at most `probe_limit` backend servers.
    """

    name: str = field(validator=text_required)
    data_centre: str = field(validator=text_required)
    region: str = field(validator=text_required)
    node_address: str = field(validator=address)
    object_api_url: str = field(validator=url)
    vm_list_url: str = field(validator=url)
    peer: tuple[str, ...] = field(
        default=(), converter=tuple, validator=each_element(address)
    )
    probe_limit: int = field(
        default=32, converter=parse_int, validator=number_between(1, 512)
    )
    statsd_address: str = field(default="", validator=optional(address))
    otlp_endpoint: str = field(default="", validator=optional(url))
    log_format: str = field(default="json", validator=one_of(*LOG_FORMATS))
    log_level: str = field(default="info", validator=one_of(*LOG_LEVELS))


def settings_problems(cls: type, values: dict[str, object]) -> list[Problem]:
    """Return the problems of `values` as settings of class `cls`."""
    problems = []
    for attribute in attrs.fields(cls):
        value = values.get(attribute.name, attribute.default)
        if value is attrs.NOTHING:
            value = ""
        if attribute.converter is not None:
            value = attribute.converter(value)
        if attribute.validator is None:
            continue
        try:
            attribute.validator(None, attribute, value)
        except SettingError as exc:
            problems.append(exc.problem)
    return problems


def build_settings(cls: type[T], **values: object) -> Result[T, ResultError]:
    """Return the settings, or a `SETTINGS_INVALID` error with all problems.

    Examples
    --------
    >>> result = build_settings(NodeSettings, name="vm-1", node_address="here")
    >>> [problem.field for problem in result.error.problems][:3]
    ['data_centre', 'region', 'node_address']

    """
    problems = settings_problems(cls, values)
    if problems:
        return Error(
            ResultError(code=ResultCode.SETTINGS_INVALID, problems=tuple(problems))
        )
    return Ok(cls(**values))


def settings_or_exit(cls: type[T], **values: object) -> T:
    """Return the settings, or print all problems and exit with status 2."""
    result = build_settings(cls, **values)
    if result.is_ok():
        return result.ok
    code = result.error.code
    for problem in result.error.problems:
        click.echo(f"{int(code)} {code.name} {problem}", err=True)
    sys.exit(EXIT_SETTINGS_INVALID)


_NODE_OPTIONS = (
    click.option("--name", default="", help="Name of this VM in the VM list."),
    click.option("--data-centre", default="", help="Data centre of this VM."),
    click.option("--region", default="", help="Region of the data centre."),
    click.option("--node-address", default="", help="host:port for other nodes."),
    click.option("--object-api-url", default="", help="URL of the object API."),
    click.option("--vm-list-url", default="", help="URL of the VM list."),
    click.option(
        "--peer",
        multiple=True,
        help="Node address of an entry node to contact at start; may be repeated.",
    ),
    click.option(
        "--probe-limit",
        default="32",
        show_default=True,
        help="Maximum number of backend servers that an entry node probes.",
    ),
    click.option("--statsd-address", default="", help="host:port of statsd, or none."),
    click.option("--otlp-endpoint", default="", help="URL for OTLP traces, or none."),
    click.option(
        "--log-format", default="json", show_default=True, help="json|console"
    ),
    click.option(
        "--log-level",
        default="info",
        show_default=True,
        help="Lowest level that is written.",
    ),
)


def node_options(command: Callable) -> Callable:
    """Add the options of `NodeSettings` to a click command.

    The command must set `auto_envvar_prefix` in its `context_settings`; then
    every option has an environment variable such as `EELGRASSDALE_NAME`.
    """
    for option in reversed(_NODE_OPTIONS):
        command = option(command)
    return command
