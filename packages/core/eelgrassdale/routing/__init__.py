"""Routing decisions of the entry node, free of sockets and clocks."""

from eelgrassdale.routing.entries import IssuedKey, format_key, parse_key

__all__ = ["IssuedKey", "format_key", "parse_key"]
