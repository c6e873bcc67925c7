"""Validation of HTTP requests and their submission to the dispatcher."""

import socket
from collections.abc import Callable

from attrs import evolve
from expression import Error, Ok, Result

from eelgrassdale.catalog import Service, ServiceKind
from eelgrassdale.clock import Clock
from eelgrassdale.results import ResultCode, ResultError
from eelgrassdale.spread.replica import Replica
from eelgrassdale.telemetry import Metrics, SpanKind, Tracer
from eelgrassdale_entry import responses, validation
from eelgrassdale_entry.channel import Channel
from eelgrassdale_entry.messages import (
    CallerGone,
    CallerRequest,
    HttpRequest,
    NewRequest,
    ResponseSink,
)
from eelgrassdale_entry.readermemory import ReaderMemoryBudget
from eelgrassdale_entry.writer import Writer


class RequestIntake:
    """Admits requests until the node leaves; safe to use from any thread."""

    def __init__(
        self,
        *,
        clock: Clock,
        replica: Replica,
        metrics: Metrics,
        tracer: Tracer,
        memory: ReaderMemoryBudget,
        writer: Writer,
        post: Callable[[object], None],
        may_serve: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._metrics = metrics
        self._tracer = tracer
        self._memory = memory
        self._writer = writer
        self._post = post
        self._may_serve = may_serve
        self._is_leaving = False

    def refuse_new(self) -> None:
        """Refuse all further requests, because the node is leaving."""
        self._is_leaving = True

    def channel(self, request_id: str, kind: ServiceKind) -> Channel | None:
        """Return a new channel to a caller, or None if memory does not allow it."""
        if not self._memory.open_reader():
            return None
        is_model = kind is ServiceKind.MODEL
        channel = Channel(
            request_id=request_id,
            memory=self._memory,
            encode=responses.text_line if is_model else responses.raw_chunk,
            on_caller_gone=lambda code: self._post(
                CallerGone(request_id=request_id, code=code)
            ),
            whole_characters=is_model,
        )
        channel.wake = self._writer.wake
        return channel

    def adopt(self, sock: socket.socket, channel: Channel) -> None:
        """Hand a caller's socket to the writer task."""
        self._writer.adopt(sock, channel)

    def submit(self, http: HttpRequest, sink: ResponseSink) -> ResultError | None:
        """Send a request to the dispatcher, or return the error that refuses it."""
        self._metrics.count("requests")
        headers = validation.parse_headers(http.headers)
        if headers.is_error():
            error = headers.error
        else:
            error = self._submit_checked(http, headers.ok, sink)
        if error is not None:
            self._metrics.count("requests_refused")
        return error

    def _submit_checked(
        self, http: HttpRequest, headers: validation.CallerHeaders, sink: ResponseSink
    ) -> ResultError | None:
        with self._tracer.span(
            SpanKind.ENTRY,
            traceparent=headers.traceparent,
            service=http.service,
            request_id=http.request_id,
        ) as traceparent:
            request = self._new_request(http, headers, sink, traceparent)
            if request.is_error():
                keyed = headers.key is not None
                return validation.local_refusal(request.error, keyed=keyed)
            self._post(NewRequest(request=request.ok))
        return None

    def _new_request(
        self,
        http: HttpRequest,
        headers: validation.CallerHeaders,
        sink: ResponseSink,
        traceparent: str,
    ) -> Result[CallerRequest, ResultError]:
        if self._is_leaving:
            return Error(ResultError(code=ResultCode.LEAVING))
        if not self._may_serve():
            return Error(ResultError(code=ResultCode.NOT_READY))
        if http.body is None:
            return Error(ResultError(code=ResultCode.REQUEST_TOO_LARGE))
        target = validation.resolve_target(
            self._replica.current(), http.service, http.kind, headers
        )
        if target.is_error():
            return Error(target.error)
        found, account = target.ok
        now = self._clock.monotonic()
        deadline_ms = headers.deadline_ms or found.deadline_ms
        request = CallerRequest(
            request_id=http.request_id,
            service=http.service,
            kind=http.kind,
            account=account.name,
            weight=account.weight,
            priority=validation.queue_priority(account, headers),
            method=http.method,
            path=http.path,
            headers=validation.forwarded_headers(http.headers),
            body=http.body,
            idempotent=found.idempotent,
            key=headers.key,
            key_text=headers.key_text,
            arrived_at=now,
            deadline=now + deadline_ms / 1000,
            traceparent=traceparent,
            sink=sink,
        )
        if http.kind is ServiceKind.PLAIN:
            return Ok(request)
        return validation.parse_prompt(http.body).map(
            lambda prompt: _with_prompt(request, prompt, found)
        )


def _with_prompt(
    request: CallerRequest, prompt: validation.Prompt, service: Service
) -> CallerRequest:
    tokens = prompt.tokens + prompt.max_tokens
    return evolve(
        request,
        prompt_tokens=prompt.tokens,
        max_tokens=prompt.max_tokens,
        memory_bytes=tokens * service.token_bytes,
        affinity=prompt.affinity,
    )
