"""Tests of `eelgrassdale.node`."""
