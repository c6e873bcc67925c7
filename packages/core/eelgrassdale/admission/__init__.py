"""Decisions of the agent about requests."""
