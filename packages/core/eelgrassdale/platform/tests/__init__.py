"""Tests of `eelgrassdale.platform`."""
