"""Tests of `eelgrassdale.spread`."""
