"""Numbered result codes and the typed errors that carry them."""

from eelgrassdale.results.codes import Ran, ResultCode, Retry, Verdict, verdict_of
from eelgrassdale.results.errors import Problem, ResultError

__all__ = [
    "Problem",
    "Ran",
    "ResultCode",
    "ResultError",
    "Retry",
    "Verdict",
    "verdict_of",
]
