"""HTTP/1.1 over asyncio: a server that detects closed callers, and a client.

`h11` parses and frames messages; this package owns sockets and time limits.
"""

from eelgrassdale.http1.callerbudget import CallerBudget, ServerShare
from eelgrassdale.http1.client import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    connect,
)
from eelgrassdale.http1.exchange import Exchange
from eelgrassdale.http1.memory import ByteBudget, MemoryExhausted, Reservation
from eelgrassdale.http1.messages import Headers, Request, ResponseHead, get_header
from eelgrassdale.http1.pool import ConnectionPool
from eelgrassdale.http1.server import CallerLimits, HttpServer

__all__ = [
    "ByteBudget",
    "CallerBudget",
    "CallerLimits",
    "ClientConnection",
    "ConnectFailed",
    "ConnectionPool",
    "Exchange",
    "ExchangeFailed",
    "Headers",
    "HttpServer",
    "MemoryExhausted",
    "Request",
    "Reservation",
    "ResponseHead",
    "ServerShare",
    "connect",
    "get_header",
]
