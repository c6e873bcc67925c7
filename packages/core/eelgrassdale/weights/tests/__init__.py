"""Tests of `eelgrassdale.weights`."""
