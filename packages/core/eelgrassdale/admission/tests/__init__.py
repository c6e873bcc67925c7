"""Tests of `eelgrassdale.admission`."""
