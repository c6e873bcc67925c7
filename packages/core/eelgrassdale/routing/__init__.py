"""Decisions of the entry node."""
