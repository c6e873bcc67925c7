"""Data types, clients and pure decision functions shared by all programs."""

__version__ = "0.1.0"

__all__ = ["__version__"]
