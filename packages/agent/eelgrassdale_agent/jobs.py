"""What runs on the backend server: one job for each admitted request."""

import json

from attrs import define, frozen

from eelgrassdale.results import ResultCode
from eelgrassdale_agent.answers import Answer
from eelgrassdale_agent.backend import Exchange
from eelgrassdale_agent.plain import PlainRequest


@frozen(kw_only=True)
class Task:
    """What one admitted request asks of the backend server."""

    request_id: str
    attempt: int
    traceparent: str
    priority: int
    is_model: bool
    model_version: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    skip: bytes
    call: PlainRequest | None
    key: str

    @property
    def backend_id(self) -> str:
        """Name of the request at the engine; attempts must not share one."""
        return f"{self.request_id}.{self.attempt}"


@define(kw_only=True, eq=False)
class Job:
    """One request between its admission and the end of its answer.

    `tokens` counts the tokens received, `skipped` the bytes of them that the
    caller had before. `stop_code` is set when the job has to end early;
    `model_version` is the one that the engine states in its answer.
    """

    task: Task
    answer: Answer
    ticket: int
    deadline: float
    exchange: Exchange | None = None
    epoch: int = 1
    tokens: int = 0
    skipped: int = 0
    parked: bool = False
    resuming: bool = False
    stop_code: ResultCode | None = None
    model_version: str = ""


def prompt_of(body: bytes) -> str | None:
    """Return the prompt of a request to a model service, None when malformed.

    Examples
    --------
    >>> prompt_of(b'{"prompt": "lids", "max_tokens": 4}')
    'lids'
    >>> prompt_of(b"lids") is None
    True

    """
    try:
        prompt = json.loads(body)["prompt"]
    except (ValueError, KeyError, TypeError):
        return None
    return prompt if isinstance(prompt, str) else None
