"""Baseline server for slow readers: CherryPy threads write streamed bodies."""

import time
from collections.abc import Iterator

import cherrypy
import click

from eelgrassdale.wire.client import parse_address

THREAD_COUNT = 64
BODY_CHUNK_BYTES = 64 * 1024
SMALL_ANSWER_DELAY_SECONDS = 0.005


class BaselineEntryNode:
    """The paths of an entry node that the measurement requests."""

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer at once."""
        return b"{}"

    @cherrypy.expose
    def services(self, *parts: str) -> bytes | Iterator[bytes]:
        """Stream a large body in chunks, or send a small one after a short delay."""
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        if "bytes" in parts:
            return _zero_chunks(int(parts[-1]))
        time.sleep(SMALL_ANSWER_DELAY_SECONDS)
        return b"{}"


def _zero_chunks(length: int) -> Iterator[bytes]:
    for _ in range(length // BODY_CHUNK_BYTES):
        yield bytes(BODY_CHUNK_BYTES)


@click.command()
@click.option("--address", required=True)
def main(address: str) -> None:
    """Serve the baseline until the process is terminated."""
    host_and_port = parse_address(address)
    cherrypy.config.update(
        {
            "environment": "production",
            "log.screen": False,
            "server.socket_host": host_and_port.host,
            "server.socket_port": host_and_port.port,
            "server.thread_pool": THREAD_COUNT,
            "server.socket_queue_size": 1024,
        }
    )
    root = type("Root", (), {"v1": BaselineEntryNode()})()
    config = {"/": {"response.stream": True, "request.process_request_body": False}}
    cherrypy.quickstart(root, "/", config)


if __name__ == "__main__":
    main()
