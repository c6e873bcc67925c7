"""Continuous batching of a stand-in engine: running and waiting streams.

The batch has neither a clock nor threads; the engine calls `step` under its lock.
"""

import collections
import itertools
import queue

import attrs

from eelgrassdale_standins.models import token_text

PREFIX_CHARACTERS = 64


@attrs.define(kw_only=True)
class Stream:
    """One request inside the engine.

    Its tokens are queued in `outbox`; None there means that the stream was
    aborted before its last token.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    arrival_number: int = 0
    prefill_steps: int = 0
    generated_count: int = 0
    is_aborted: bool = False
    outbox: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)

    @property
    def is_complete(self) -> bool:
        """Whether all tokens were generated."""
        return self.resume_from + self.generated_count >= self.max_tokens

    @property
    def is_finished(self) -> bool:
        """Whether no further token will be generated."""
        return self.is_complete or self.is_aborted

    @property
    def tokens_held(self) -> int:
        """Tokens whose state is in memory: those of the prompt and of the answer."""
        return (
            count_prompt_tokens(self.prompt) + self.resume_from + self.generated_count
        )

    def generate_token(self, weights: str) -> None:
        """Generate the next token."""
        index = self.resume_from + self.generated_count
        self.generated_count += 1
        self.outbox.put(token_text(weights=weights, prompt=self.prompt, index=index))

    def abort(self) -> None:
        """Generate no further tokens and signal the early end to the reader."""
        self.is_aborted = True
        self.outbox.put(None)


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at four bytes each, rounded up.

    Examples
    --------
    >>> count_prompt_tokens("suggest a lid")
    4

    """
    return -(-len(prompt.encode()) // 4)


class PrefixCache:
    """LRU cache of the prefixes of recent prompts."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()

    def access(self, prompt: str) -> bool:
        """Return whether the prompt's prefix is cached, and cache it."""
        prefix = prompt[:PREFIX_CHARACTERS]
        is_hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._capacity:
            self._prefixes.popitem(last=False)
        return is_hit

    def clear(self) -> None:
        """Drop all prefixes."""
        self._prefixes.clear()


class Batch:
    """Streams of one engine.

    Parameters
    ----------
    max_running : int
        Streams that generate a token in each step; further ones wait.
    prefill_steps : int
        Steps before the first token when the prompt's prefix is not cached.
    cache_capacity : int
        Number of prompt prefixes in the cache.
    """

    def __init__(
        self, *, max_running: int, prefill_steps: int, cache_capacity: int
    ) -> None:
        self._max_running = max_running
        self._prefill_steps = prefill_steps
        self._arrival_numbers = itertools.count()
        self._prefixes = PrefixCache(capacity=cache_capacity)
        self.prefix_hits = 0
        self.running: list[Stream] = []
        self.waiting: list[Stream] = []

    @property
    def tokens_held(self) -> int:
        """Tokens in memory, summed over the running and waiting streams."""
        return sum(stream.tokens_held for stream in self.running + self.waiting)

    def add(self, stream: Stream) -> None:
        """Queue a stream until it is admitted to the batch."""
        stream.arrival_number = next(self._arrival_numbers)
        self.waiting.append(stream)

    def cancel(self, request_id: str) -> int:
        """Cancel the streams of a request and return their number."""
        matching = [
            stream
            for stream in self.running + self.waiting
            if stream.request_id == request_id
        ]
        for stream in matching:
            self.cancel_stream(stream)
        return len(matching)

    def cancel_stream(self, stream: Stream) -> None:
        """Cancel one stream and free its place and memory immediately."""
        stream.abort()
        self._remove_finished()

    def abort_all(self) -> None:
        """Abort all streams and clear the prefix cache, as a crash does."""
        for stream in self.running + self.waiting:
            stream.abort()
        self._remove_finished()
        self._prefixes.clear()

    def step(self, *, weights: str) -> int:
        """Generate the next token of each running stream; return the number made.

        A stream that is still in prefill uses up one of its prefill steps instead.

        Examples
        --------
        >>> batch = Batch(max_running=1, prefill_steps=0, cache_capacity=4)
        >>> for name in ("a", "b"):
        ...     batch.add(
        ...         Stream(
        ...             request_id=name, prompt="p", max_tokens=1, priority=1,
        ...             resume_from=0,
        ...         )
        ...     )
        >>> batch.step(weights="w"), len(batch.waiting)
        (1, 1)

        """
        self._admit_waiting()
        generated_count = 0
        for stream in self.running:
            if stream.prefill_steps > 0:
                stream.prefill_steps -= 1
                continue
            stream.generate_token(weights)
            generated_count += 1
        self._remove_finished()
        return generated_count

    def _admit_waiting(self) -> None:
        self.waiting.sort(key=lambda stream: (-stream.priority, stream.arrival_number))
        free_places = self._max_running - len(self.running)
        admitted, self.waiting = self.waiting[:free_places], self.waiting[free_places:]
        for stream in admitted:
            if self._prefixes.access(stream.prompt):
                self.prefix_hits += 1
            else:
                stream.prefill_steps = self._prefill_steps
        self.running.extend(admitted)

    def _remove_finished(self) -> None:
        self.running = [stream for stream in self.running if not stream.is_finished]
        self.waiting = [stream for stream in self.waiting if not stream.is_finished]
