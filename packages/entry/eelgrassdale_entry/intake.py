"""Turns checked HTTP requests into work for the dispatcher."""

import socket
from collections.abc import Callable

from eelgrassdale.catalog import ServiceKind
from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import Metrics, Tracer
from eelgrassdale_entry import answers, checks
from eelgrassdale_entry.channel import Channel
from eelgrassdale_entry.memory import ReaderMemory
from eelgrassdale_entry.messages import (
    AnswerSink,
    CallerGone,
    CallerRequest,
    NewRequest,
)
from eelgrassdale_entry.writer import Writer


class Intake:
    """Admits requests until the node leaves; safe to use from every thread."""

    def __init__(
        self,
        *,
        clock: Clock,
        replica: Replica,
        metrics: Metrics,
        tracer: Tracer,
        memory: ReaderMemory,
        writer: Writer,
        post: Callable[[object], None],
        may_serve: Callable[[], bool],
    ) -> None:
        self.tracer = tracer
        self._clock = clock
        self._replica = replica
        self._metrics = metrics
        self._memory = memory
        self._writer = writer
        self._post = post
        self._may_serve = may_serve
        self._is_leaving = False

    def refuse_new(self) -> None:
        """Refuse all further requests, because the node leaves."""
        self._is_leaving = True

    def channel(self, request_id: str, kind: ServiceKind) -> Channel | None:
        """Return a channel to a caller, or None without memory for one more."""
        if not self._memory.open_reader():
            return None
        is_model = kind is ServiceKind.MODEL
        channel = Channel(
            request_id=request_id,
            memory=self._memory,
            encode=answers.text_line if is_model else answers.raw_chunk,
            on_gone=lambda code: self._post(
                CallerGone(request_id=request_id, code=code)
            ),
            whole_characters=is_model,
        )
        channel.wake = self._writer.wake
        return channel

    def adopt(self, sock: socket.socket, channel: Channel) -> None:
        """Give a caller's socket to the writer task."""
        self._writer.adopt(sock, channel)

    def submit(
        self,
        *,
        request_id: str,
        service: str,
        kind: ServiceKind,
        headers: checks.CallerHeaders,
        body: bytes,
        method: str,
        path: str,
        passed: dict[str, str],
        traceparent: str,
        sink: AnswerSink,
    ) -> ResultError | None:
        """Send a request to the dispatcher, or return why it is refused."""
        self._metrics.count("requests")
        error = self._submit(
            request_id,
            service,
            kind,
            headers,
            body,
            method,
            path,
            passed,
            traceparent,
            sink,
        )
        if error is not None:
            self._metrics.count("requests_refused")
        return error

    def _submit(
        self,
        request_id,
        service,
        kind,
        headers,
        body,
        method,
        path,
        passed,
        traceparent,
        sink,
    ) -> ResultError | None:
        if self._is_leaving:
            return ResultError(code=ResultCode.LEAVING)
        if not self._may_serve():
            return ResultError(code=ResultCode.NOT_READY)
        target = checks.check_target(self._replica.current(), service, kind, headers)
        if target.is_error():
            return target.error
        found, account = target.ok
        prompt = None
        if kind is ServiceKind.MODEL:
            checked = checks.check_prompt(body)
            if checked.is_error():
                return checked.error
            prompt = checked.ok
        now = self._clock.monotonic()
        deadline_ms = headers.deadline_ms or found.deadline_ms
        tokens = prompt.tokens + prompt.max_tokens if prompt else 0
        self._post(
            NewRequest(
                request=CallerRequest(
                    request_id=request_id,
                    service=service,
                    kind=kind,
                    account=account.name,
                    weight=account.weight,
                    priority=checks.queue_priority(account, headers),
                    method=method,
                    path=path,
                    headers=passed,
                    body=body,
                    prompt_tokens=prompt.tokens if prompt else 0,
                    max_tokens=prompt.max_tokens if prompt else 0,
                    memory_bytes=tokens * found.token_bytes,
                    idempotent=found.idempotent,
                    key=headers.key,
                    key_text=headers.key_text,
                    arrived_at=now,
                    deadline=now + deadline_ms / 1000,
                    traceparent=traceparent,
                    affinity=prompt.affinity if prompt else "",
                    sink=sink,
                )
            )
        )
        return None
