"""Measurements of eelgrassdale and the baselines they are compared with."""
