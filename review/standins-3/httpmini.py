"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import json

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Message:
    """A request or a response; header names are in lower case."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Return the value of a header."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the start line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Read a body with a length or in chunks."""
    if "chunked" in message.get("transfer-encoding"):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(message.get("content-length", "0") or 0))


def encode_response(status, headers, body):
    """Return a whole response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(host, port, handle):
    """Serve requests; `handle(message, reader, writer)` returns False to close."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    break
                message.body = await read_body(reader, message)
                if await handle(message, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20)


async def call(address, method, target, body=None, *, timeout=3.0):
    """Make one call with a JSON body on a new connection; return status and value."""
    data = b"" if body is None else json.dumps(body).encode()

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                (
                    f"{method} {target} HTTP/1.1\r\nhost: {address[0]}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(data)}\r\n"
                    "connection: close\r\n\r\n"
                ).encode()
                + data
            )
            message = await read_head(reader)
            if message is None:
                raise ConnectionError("no response")
            raw = await read_body(reader, message)
            return int(message.start.split()[1]), json.loads(raw or b"null")
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)
