"""Baseline of slow readers: CherryPy's threads write streamed bodies."""

import time
from collections.abc import Iterator

import cherrypy
import click

from eelgrassdale.wire.client import parse_address

THREADS = 64
PIECE_BYTES = 64 * 1024
SMALL_ANSWER_SECONDS = 0.005


class Baseline:
    """The paths of an entry node that the measurement uses."""

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer at once."""
        return b"{}"

    @cherrypy.expose
    def services(self, *parts: str) -> bytes | Iterator[bytes]:
        """Answer a large body in pieces or a small one after a short time."""
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        if "bytes" in parts:
            return _pieces(int(parts[-1]))
        time.sleep(SMALL_ANSWER_SECONDS)
        return b"{}"


def _pieces(count: int) -> Iterator[bytes]:
    for _ in range(count // PIECE_BYTES):
        yield bytes(PIECE_BYTES)


@click.command()
@click.option("--address", required=True)
def main(address: str) -> None:
    """Serve the baseline until it is ended."""
    parsed = parse_address(address)
    cherrypy.config.update(
        {
            "environment": "production",
            "log.screen": False,
            "server.socket_host": parsed.host,
            "server.socket_port": parsed.port,
            "server.thread_pool": THREADS,
            "server.socket_queue_size": 1024,
        }
    )
    root = type("Root", (), {"v1": Baseline()})()
    config = {"/": {"response.stream": True, "request.process_request_body": False}}
    cherrypy.quickstart(root, "/", config)


if __name__ == "__main__":
    main()
