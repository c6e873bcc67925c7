"""`eelgrassdale explain` prints the events of one request from log files."""

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

import click
from attrs import frozen

EXIT_NOT_FOUND = 1
# Fields that are printed at the start of a line or left out.
_UNLISTED_FIELDS = frozenset({"timestamp", "node", "event", "request", "level"})


@frozen(kw_only=True)
class LogLine:
    """One log event; `timestamp` is the text that the process wrote."""

    timestamp: str
    node: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, skipping text before the JSON, or None.

    Examples
    --------
    >>> line = parse_line('7.1 n-1 {"event": "sent", "node": "n-1", "server": "s"}')
    >>> line.event, line.fields
    ('sent', {'server': 's'})
    >>> parse_line("no event") is None
    True

    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(raw, dict) or "event" not in raw:
        return None
    return LogLine(
        timestamp=str(raw.get("timestamp", "")),
        node=str(raw.get("node", "")),
        event=str(raw["event"]),
        fields={key: raw[key] for key in raw if key not in _UNLISTED_FIELDS},
    )


def events_of_request(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the events that concern a request, ordered by timestamp.

    These are the events with its ID and, between the first and the last of them,
    the other events of the nodes that logged them. Of the other events,
    `request placed` and `attempt failed` are left out, because they concern other
    requests. So are those with `request` in their text, unless they name a backend
    server that the request was sent to.
    """
    request_lines: list[LogLine] = []
    other_lines: list[LogLine] = []
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        (request_lines if f'"{request_id}"' in text else other_lines).append(line)
    if not request_lines:
        return []
    servers = {
        line.fields["server"] for line in request_lines if "server" in line.fields
    }
    nodes = {line.node for line in request_lines}
    first_timestamp = min(line.timestamp for line in request_lines)
    last_timestamp = max(line.timestamp for line in request_lines)
    related = [
        line
        for line in other_lines
        if line.node in nodes
        and first_timestamp <= line.timestamp <= last_timestamp
        and line.event not in ("request placed", "attempt failed")
        and (line.fields.get("server") in servers or "request" not in line.event)
    ]
    return sorted(request_lines + related, key=lambda line: line.timestamp)


def format_line(line: LogLine) -> str:
    """Return the printed line of an event."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.timestamp}  {line.node:<24} {line.event}  {fields}".rstrip()


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File())
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print the log events in FILES that concern the request REQUEST_ID.

    Without FILES the logs are read from standard input. The exit status is 1
    when no line contains the ID.
    """
    sources = files or (click.get_text_stream("stdin"),)
    found = events_of_request(
        request_id, (text for source in sources for text in source)
    )
    if not found:
        click.echo(f"no log line contains the request ID {request_id}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in found:
        click.echo(format_line(line))
