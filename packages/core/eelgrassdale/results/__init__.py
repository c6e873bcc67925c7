"""Numbered result codes and the typed errors that carry them."""

from eelgrassdale.results.codes import (
    CodeInfo,
    ExecutionState,
    ResultCode,
    RetryRule,
    info_of,
)
from eelgrassdale.results.errors import Problem, ResultError

__all__ = [
    "CodeInfo",
    "ExecutionState",
    "Problem",
    "ResultCode",
    "ResultError",
    "RetryRule",
    "info_of",
]
