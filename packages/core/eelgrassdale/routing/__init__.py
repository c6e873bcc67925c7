"""Routing decisions of the entry node, without input, output or clocks."""

from eelgrassdale.routing.choice import AgentView, Need, Place, Tier, choose
from eelgrassdale.routing.entries import IssuedKey, format_key, parse_key
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerReader, FrameVerdict
from eelgrassdale.routing.outcomes import final_code, keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import RetryBudget, may_send_again
from eelgrassdale.routing.subset import choose_subset, subset_size

__all__ = [
    "AgentView",
    "AnswerReader",
    "FairQueue",
    "FrameVerdict",
    "IssuedKey",
    "Need",
    "Place",
    "Queued",
    "RegionBudget",
    "RetryBudget",
    "Tier",
    "choose",
    "choose_subset",
    "final_code",
    "format_key",
    "keyed_code",
    "may_send_again",
    "parse_key",
    "subset_size",
]
