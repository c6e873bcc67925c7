"""Admission and at-most-once decisions of the agent."""

from eelgrassdale.admission.keys import check_key
from eelgrassdale.admission.keytable import KeyState, KeyTable
from eelgrassdale.admission.machine import AdmissionController
from eelgrassdale.admission.replay import Difference, ReplayReport, replay

__all__ = [
    "AdmissionController",
    "Difference",
    "KeyState",
    "KeyTable",
    "ReplayReport",
    "check_key",
    "replay",
]
