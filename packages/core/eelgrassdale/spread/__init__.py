"""Configuration generations and how they reach every node."""

from eelgrassdale.spread.head import (
    Head,
    HeadRead,
    commit_change,
    fetch_delta,
    read_head,
)
from eelgrassdale.spread.replica import Replica, ReplicaState

__all__ = [
    "Head",
    "HeadRead",
    "Replica",
    "ReplicaState",
    "commit_change",
    "fetch_delta",
    "read_head",
]
