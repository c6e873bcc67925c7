"""Bounded queue of one service with fair sharing between client accounts."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Any

from attrs import define, frozen


@frozen(kw_only=True)
class Queued:
    """One queued request; `weight` is that of its client account."""

    request_id: str
    account: str
    weight: int
    priority: int
    item: Any = None


@frozen(kw_only=True)
class ShedRequest:
    """A request that a full queue refused.

    `exceeds_share` is true if its client account had more requests in the queue
    than its fair share.
    """

    queued: Queued
    exceeds_share: bool


@define(kw_only=True)
class _Account:
    weight: int
    deficit: float = 0.0
    waiting: deque = None


class FairQueue:
    """Deficit round robin over weighted client accounts.

    Within an account, requests leave by descending priority, then in order of
    arrival.
    A full queue refuses the request of lowest priority, and among equals one of
    the account with the most waiting requests per weight.

    Examples
    --------
    >>> queue = FairQueue(limit=3)
    >>> for request_id, account in [("1", "a"), ("2", "a"), ("3", "b")]:
    ...     _ = queue.push(
    ...         Queued(request_id=request_id, account=account, weight=1, priority=1)
    ...     )
    >>> [queue.pop().request_id for _ in range(3)]
    ['1', '3', '2']

    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._accounts: OrderedDict[str, _Account] = OrderedDict()
        self._by_id: dict[str, Queued] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[Queued]:
        """Iterate over the waiting requests in the order they were added."""
        return iter(list(self._by_id.values()))

    def push(self, queued: Queued) -> ShedRequest | None:
        """Add a request; return the request that a full queue refuses, if any.

        That may be the new request itself.
        """
        if len(self) < self.limit:
            self._add(queued, at_front=False)
            return None
        victim = self._choose_victim(queued)
        exceeds_share = self._exceeds_share(victim, queued)
        if victim is not queued:
            self.remove(victim.request_id)
            self._add(queued, at_front=False)
        return ShedRequest(queued=victim, exceeds_share=exceeds_share)

    def push_front(self, queued: Queued) -> None:
        """Put a request that was popped but not served back at the front.

        It is the next to leave. The limit does not apply, since the request was
        within it before.
        """
        self._add(queued, at_front=True)

    def pop(self) -> Queued | None:
        """Remove and return the next request, or None if the queue is empty."""
        if not self._by_id:
            return None
        while True:
            name, account = next(iter(self._accounts.items()))
            if account.deficit < 1:
                account.deficit += account.weight
                if account.deficit < 1:
                    self._accounts.move_to_end(name)
                    continue
            account.deficit -= 1
            queued = account.waiting.popleft()
            del self._by_id[queued.request_id]
            self._end_turn(name, account)
            return queued

    def remove(self, request_id: str) -> Queued | None:
        """Remove and return a request, or return None if it is not queued."""
        queued = self._by_id.pop(request_id, None)
        if queued is None:
            return None
        account = self._accounts[queued.account]
        account.waiting.remove(queued)
        if not account.waiting:
            del self._accounts[queued.account]
        return queued

    def _end_turn(self, name: str, account: _Account) -> None:
        if not account.waiting:
            del self._accounts[name]
        elif account.deficit < 1:
            self._accounts.move_to_end(name)

    def _add(self, queued: Queued, *, at_front: bool) -> None:
        account = self._accounts.get(queued.account)
        if account is None:
            account = _Account(weight=max(queued.weight, 1), waiting=deque())
            self._accounts[queued.account] = account
        if at_front:
            account.waiting.appendleft(queued)
            account.deficit += 1
            self._accounts.move_to_end(queued.account, last=False)
        else:
            account.waiting.insert(_insert_position(account.waiting, queued), queued)
        self._by_id[queued.request_id] = queued

    def _choose_victim(self, incoming: Queued) -> Queued:
        candidates = [account.waiting[-1] for account in self._accounts.values()]
        candidates.append(incoming)
        return min(
            candidates,
            key=lambda queued: (
                queued.priority,
                -self._waiting_per_weight(queued, incoming),
                queued is not incoming,
            ),
        )

    def _exceeds_share(self, victim: Queued, incoming: Queued) -> bool:
        weights = {name: account.weight for name, account in self._accounts.items()}
        weights.setdefault(incoming.account, max(incoming.weight, 1))
        fair_share = (self.limit + 1) / sum(weights.values())
        return self._waiting_per_weight(victim, incoming) > fair_share

    def _waiting_per_weight(self, queued: Queued, incoming: Queued) -> float:
        account = self._accounts.get(queued.account)
        waiting = len(account.waiting) if account else 0
        waiting += queued.account == incoming.account
        return waiting / max(queued.weight, 1)


def _insert_position(waiting: deque, queued: Queued) -> int:
    position = len(waiting)
    while position and waiting[position - 1].priority < queued.priority:
        position -= 1
    return position
