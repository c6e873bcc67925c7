"""Decision functions for the distribution of model weights."""

from eelgrassdale.weights.manifest import Manifest, manifest_of, parse_manifest
from eelgrassdale.weights.ownership import assign_owners, candidates

__all__ = ["Manifest", "assign_owners", "candidates", "manifest_of", "parse_manifest"]
