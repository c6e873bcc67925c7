"""Tests of the top-level modules."""
