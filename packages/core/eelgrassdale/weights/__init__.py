"""Decisions about the distribution of model weights."""
