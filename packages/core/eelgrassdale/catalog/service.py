"""A service, which callers request, and the limits of its backend servers."""

from enum import Enum

from attrs import frozen


class ServiceKind(Enum):
    """What runs on the backend servers of a service."""

    MODEL = "model"
    PLAIN = "plain"


@frozen(kw_only=True)
class Service:
    """A service and the limits of one of its backend servers.

    `cold_slots` and `max_slots` bound the concurrent requests of one backend
    server in cold start and when warm; `memory_bytes` bounds the memory of the
    requests it holds, `token_bytes` for each token. `queue_limit`
    bounds the waiting requests at one entry node. At most `max_loading`
    backend servers load weights or are cold at a time during a model push.
    """

    name: str
    kind: ServiceKind
    model_version: str = ""
    idempotent: bool = True
    priority: int = 1
    cold_slots: int = 1
    max_slots: int = 8
    memory_bytes: int = 64 * 1024 * 1024
    token_bytes: int = 1024
    queue_limit: int = 64
    deadline_ms: int = 30_000
    max_loading: int = 1
