"""Measurements and their baselines."""
