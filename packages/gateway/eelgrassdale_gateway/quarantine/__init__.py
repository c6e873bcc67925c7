"""Quarantine of prompts whose requests end the backend servers that run them.

`evidence` decides which parts of prompts are at fault, `state` holds what one gateway
knows and refuses, `exchange` shares it with the other gateways, and `archive` keeps it
for when all of them restart.
"""

from eelgrassdale_gateway.quarantine.archive import QuarantineArchive
from eelgrassdale_gateway.quarantine.evidence import CrashReport
from eelgrassdale_gateway.quarantine.exchange import QuarantineExchange
from eelgrassdale_gateway.quarantine.state import (
    PromptQuarantine,
    Quarantine,
    SoundAnswer,
)

__all__ = [
    "CrashReport",
    "PromptQuarantine",
    "Quarantine",
    "QuarantineArchive",
    "QuarantineExchange",
    "SoundAnswer",
]
