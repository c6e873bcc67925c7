"""`eelgrassdale explain` prints the life of one request from log files."""

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

import click
from attrs import frozen

EXIT_NOT_FOUND = 1
# Fields that head a line, or say nothing about the request.
_HEAD_FIELDS = frozenset({"timestamp", "node", "event", "request", "level"})


@frozen(kw_only=True)
class LogLine:
    """One event of a log; `timestamp` is as the process wrote it."""

    timestamp: str
    node: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, which may have other text before it.

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
        fields={key: raw[key] for key in raw if key not in _HEAD_FIELDS},
    )


def lines_of(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the events that concern a request, in order of time.

    Beside those with its id they are the events that its nodes wrote of the
    backend servers it was sent to, while it lived.
    """
    own: list[LogLine] = []
    others: list[LogLine] = []
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        (own if f'"{request_id}"' in text else others).append(line)
    if not own:
        return []
    servers = {line.fields["server"] for line in own if "server" in line.fields}
    nodes = {line.node for line in own}
    begun = min(line.timestamp for line in own)
    ended = max(line.timestamp for line in own)
    related = [
        line
        for line in others
        if line.node in nodes
        and begun <= line.timestamp <= ended
        and line.event not in ("request placed", "attempt failed")
        and (line.fields.get("server") in servers or "request" not in line.event)
    ]
    return sorted(own + related, key=lambda line: line.timestamp)


def format_line(line: LogLine) -> str:
    """Return one line of the report."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.timestamp}  {line.node:<24} {line.event}  {fields}".rstrip()


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File())
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Print what the logs in FILES say of the request REQUEST_ID.

    Without FILES the logs are read from standard input. The exit status is 1
    when no line has the id.
    """
    sources = files or (click.get_text_stream("stdin"),)
    found = lines_of(request_id, (text for source in sources for text in source))
    if not found:
        click.echo(f"no line has the request id {request_id}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in found:
        click.echo(format_line(line))
