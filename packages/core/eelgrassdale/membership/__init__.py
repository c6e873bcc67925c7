"""Liveness and failure detection of nodes."""
