"""Continuous batching of a stand-in engine: running and waiting streams.

The state has no clock and no threads; the engine steps it under its own lock.
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

    Its tokens pass through `outbox`; None there means that no further token
    follows although the answer is not complete.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int
    resume_from: int
    order: int = 0
    prefill_steps: int = 0
    made: int = 0
    is_ended_early: bool = False
    outbox: queue.SimpleQueue = attrs.Factory(queue.SimpleQueue)

    @property
    def is_complete(self) -> bool:
        """Whether all tokens were made."""
        return self.resume_from + self.made >= self.max_tokens

    @property
    def has_ended(self) -> bool:
        """Whether no further token will be made."""
        return self.is_complete or self.is_ended_early

    @property
    def tokens_held(self) -> int:
        """Tokens whose state is in memory: the prompt and what was made."""
        return prompt_tokens(self.prompt) + self.resume_from + self.made

    def make_token(self, weights: str) -> None:
        """Make the next token."""
        index = self.resume_from + self.made
        self.made += 1
        self.outbox.put(token_text(weights=weights, prompt=self.prompt, index=index))

    def end_early(self) -> None:
        """Make no further tokens."""
        self.is_ended_early = True
        self.outbox.put(None)


def prompt_tokens(prompt: str) -> int:
    """Return the tokens of a prompt, at four bytes each.

    Examples
    --------
    >>> prompt_tokens("suggest a lid")
    4

    """
    return -(-len(prompt.encode()) // 4)


class PrefixCache:
    """Prompt prefixes seen lately, the least recently used dropped first."""

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()

    def use(self, prompt: str) -> bool:
        """Return whether the prompt's prefix is held, and hold it from now on."""
        prefix = prompt[:PREFIX_CHARACTERS]
        is_hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._capacity:
            self._prefixes.popitem(last=False)
        return is_hit

    def clear(self) -> None:
        """Forget all prefixes."""
        self._prefixes.clear()


class Batch:
    """Streams of one engine.

    Parameters
    ----------
    max_running : int
        Streams that get a token in each step; further ones wait.
    prefill_steps : int
        Steps before the first token when the prompt's prefix is not cached.
    cache_capacity : int
        Number of prompt prefixes that are held.
    """

    def __init__(
        self, *, max_running: int, prefill_steps: int, cache_capacity: int
    ) -> None:
        self._max_running = max_running
        self._prefill_steps = prefill_steps
        self._order = itertools.count()
        self._prefixes = PrefixCache(capacity=cache_capacity)
        self.prefix_hits = 0
        self.running: list[Stream] = []
        self.waiting: list[Stream] = []

    @property
    def tokens_held(self) -> int:
        """Tokens in memory over all running streams and waiting prompts."""
        return sum(stream.tokens_held for stream in self.running + self.waiting)

    def add(self, stream: Stream) -> None:
        """Let a stream wait for its place in the batch."""
        stream.order = next(self._order)
        self.waiting.append(stream)

    def cancel(self, request_id: str) -> int:
        """Cancel the streams of a request and return how many there were."""
        found = [
            stream
            for stream in self.running + self.waiting
            if stream.request_id == request_id
        ]
        for stream in found:
            self.drop(stream)
        return len(found)

    def drop(self, stream: Stream) -> None:
        """Cancel one stream; its place and memory are free at once."""
        stream.end_early()
        self._remove_ended()

    def lose_all(self) -> None:
        """End all streams as a crash does, and forget all prefixes."""
        for stream in self.running + self.waiting:
            stream.end_early()
        self._remove_ended()
        self._prefixes.clear()

    def step(self, *, weights: str) -> int:
        """Give each running stream its next token and return the number of tokens.

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
        self._fill()
        made = 0
        for stream in self.running:
            if stream.prefill_steps > 0:
                stream.prefill_steps -= 1
                continue
            stream.make_token(weights)
            made += 1
        self._remove_ended()
        return made

    def _fill(self) -> None:
        self.waiting.sort(key=lambda stream: (-stream.priority, stream.order))
        free = self._max_running - len(self.running)
        admitted, self.waiting = self.waiting[:free], self.waiting[free:]
        for stream in admitted:
            if self._prefixes.use(stream.prompt):
                self.prefix_hits += 1
            else:
                stream.prefill_steps = self._prefill_steps
        self.running.extend(admitted)

    def _remove_ended(self) -> None:
        self.running = [stream for stream in self.running if not stream.has_ended]
        self.waiting = [stream for stream in self.waiting if not stream.has_ended]
