"""Tests of the entry node."""
