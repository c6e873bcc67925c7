"""Configuration generations and how they reach every node."""

from eelgrassdale.spread.replica import Replica, ReplicaState

__all__ = ["Replica", "ReplicaState"]
