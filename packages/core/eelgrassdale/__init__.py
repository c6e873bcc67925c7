"""Values, aggregates and decisions shared by all programs of eelgrassdale."""

__version__ = "0.1.0"

__all__ = ["__version__"]
