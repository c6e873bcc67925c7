"""Duties that one gateway has for all: usage reports, and orders of servers."""

from eelgrassdale_gateway.duties.cloudcalls import CloudCallFailed, CloudCalls
from eelgrassdale_gateway.duties.duties import Duties, MakeCloudCalls
from eelgrassdale_gateway.duties.dutystore import DutyKinds, DutyStore
from eelgrassdale_gateway.duties.exchange import Candidate
from eelgrassdale_gateway.duties.lease import DutyPermit
from eelgrassdale_gateway.duties.settings import DutySettings

__all__ = [
    "Candidate",
    "CloudCallFailed",
    "CloudCalls",
    "Duties",
    "DutyKinds",
    "DutyPermit",
    "DutySettings",
    "DutyStore",
    "MakeCloudCalls",
]
