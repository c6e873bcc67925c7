"""Jobs: one for each admitted request that runs on the backend server."""

import json

from attrs import define, frozen

from eelgrassdale.results import ResultCode
from eelgrassdale_agent.answers import AnswerBuffer
from eelgrassdale_agent.backend import Exchange
from eelgrassdale_agent.plainclient import PlainRequest


@frozen(kw_only=True)
class JobSpec:
    """Parameters of one admitted request.

    `delivered_text` is the part of the answer that the caller has already received
    from an earlier attempt; `plain_request` is set for plain services only.
    """

    request_id: str
    attempt: int
    traceparent: str
    priority: int
    is_model: bool
    model_version: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    delivered_text: bytes
    plain_request: PlainRequest | None
    key: str

    @property
    def backend_request_id(self) -> str:
        """Identifier of the request at the engine, unique to each attempt."""
        return f"{self.request_id}.{self.attempt}"


@define(kw_only=True, eq=False)
class Job:
    """One request between its admission and the end of its answer.

    `tokens` is the number of tokens received; `skipped_bytes` counts the bytes of
    them that the caller had already and that are not appended to the answer. `parked`
    means that the engine stream was cancelled because the reader is slow, `resuming`
    that it is about to be started again. `stop_code` is set when the job has to end
    early. `model_version` is the one in the header of the engine's answer.
    """

    spec: JobSpec
    answer: AnswerBuffer
    ticket: int
    deadline: float
    exchange: Exchange | None = None
    epoch: int = 1
    tokens: int = 0
    skipped_bytes: int = 0
    parked: bool = False
    resuming: bool = False
    stop_code: ResultCode | None = None
    model_version: str = ""


def parse_prompt(body: bytes) -> str | None:
    """Return the prompt of a request to a model service, None if it is malformed.

    Examples
    --------
    >>> parse_prompt(b'{"prompt": "lids", "max_tokens": 4}')
    'lids'
    >>> parse_prompt(b"lids") is None
    True

    """
    try:
        prompt = json.loads(body)["prompt"]
    except (ValueError, KeyError, TypeError):
        return None
    return prompt if isinstance(prompt, str) else None
