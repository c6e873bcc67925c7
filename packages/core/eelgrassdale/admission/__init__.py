"""Admission and at-most-once decisions of the agent."""

from eelgrassdale.admission.keys import check_key
from eelgrassdale.admission.ledger import KeyState, KeyTable
from eelgrassdale.admission.machine import Admission
from eelgrassdale.admission.replay import Difference, ReplayReport, replay

__all__ = [
    "Admission",
    "Difference",
    "KeyState",
    "KeyTable",
    "ReplayReport",
    "check_key",
    "replay",
]
