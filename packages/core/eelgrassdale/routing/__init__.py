"""Routing decisions of the entry node, without input, output or clocks."""

from eelgrassdale.routing.choice import (
    AgentView,
    Location,
    RequestRequirements,
    Tier,
    choose_server,
)
from eelgrassdale.routing.fairqueue import FairQueue, Queued
from eelgrassdale.routing.frames import AnswerValidator, FrameVerdict
from eelgrassdale.routing.keys import IssuedKey, format_key, parse_key
from eelgrassdale.routing.outcomes import final_code, keyed_code
from eelgrassdale.routing.regions import RegionBudget
from eelgrassdale.routing.retry import RetryBudget, may_send_again
from eelgrassdale.routing.subset import choose_subset, subset_size

__all__ = [
    "AgentView",
    "AnswerValidator",
    "FairQueue",
    "FrameVerdict",
    "IssuedKey",
    "Location",
    "Queued",
    "RegionBudget",
    "RequestRequirements",
    "RetryBudget",
    "Tier",
    "choose_server",
    "choose_subset",
    "final_code",
    "format_key",
    "keyed_code",
    "may_send_again",
    "parse_key",
    "subset_size",
]
