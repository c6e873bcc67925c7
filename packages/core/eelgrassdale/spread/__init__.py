"""Configuration generations and how they reach every node."""

from eelgrassdale.spread.head import (
    Head,
    VersionedHead,
    commit_change,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.replica import Replica, ReplicaState

__all__ = [
    "Head",
    "Replica",
    "ReplicaState",
    "VersionedHead",
    "commit_change",
    "fetch_delta",
    "read_head",
]
