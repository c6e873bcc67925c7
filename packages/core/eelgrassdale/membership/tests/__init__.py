"""Tests of `eelgrassdale.membership`."""
