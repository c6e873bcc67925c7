"""Configuration generations and how they reach every node."""
