"""Bounded queue of one service, fair between client accounts."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Any

from attrs import define, frozen


@frozen(kw_only=True)
class Queued:
    """One waiting request; `weight` is the share of its client account."""

    request_id: str
    account: str
    weight: int
    priority: int
    item: Any = None


@frozen(kw_only=True)
class Displaced:
    """A request refused by a full queue.

    `over_share` is true when its account waits with more than its share.
    """

    queued: Queued
    over_share: bool


@define(kw_only=True)
class _Account:
    weight: int
    deficit: float = 0.0
    waiting: deque = None


class FairQueue:
    """Deficit round robin over client accounts with weights.

    Within an account higher priorities leave first, then the order of
    arrival. When the queue is full the least entitled request is displaced:
    lowest priority first, then the account that waits with most per weight.

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
        """Iterate over the waiting requests in order of arrival."""
        return iter(list(self._by_id.values()))

    def push(self, queued: Queued) -> Displaced | None:
        """Add a request and return the one that is refused for it, if any.

        The refused request is the new one itself when it is the least
        entitled.
        """
        if len(self) < self.limit:
            self._add(queued, at_front=False)
            return None
        victim = self._least_entitled(queued)
        over_share = self._is_over_share(victim, queued)
        if victim is not queued:
            self.remove(victim.request_id)
            self._add(queued, at_front=False)
        return Displaced(queued=victim, over_share=over_share)

    def push_front(self, queued: Queued) -> None:
        """Return a request that left the queue and could not be served.

        It keeps its turn; the limit does not apply, since the request was
        counted before.
        """
        self._add(queued, at_front=True)

    def pop(self) -> Queued | None:
        """Remove and return the next request, or None when empty."""
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
        """Remove one request, or return None when it does not wait here."""
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
            account.waiting.insert(_position(account.waiting, queued), queued)
        self._by_id[queued.request_id] = queued

    def _least_entitled(self, newcomer: Queued) -> Queued:
        candidates = [account.waiting[-1] for account in self._accounts.values()]
        candidates.append(newcomer)
        return min(
            candidates,
            key=lambda queued: (
                queued.priority,
                -self._share(queued, newcomer),
                queued is not newcomer,
            ),
        )

    def _is_over_share(self, victim: Queued, newcomer: Queued) -> bool:
        weights = {name: account.weight for name, account in self._accounts.items()}
        weights.setdefault(newcomer.account, max(newcomer.weight, 1))
        fair = (self.limit + 1) / sum(weights.values())
        return self._share(victim, newcomer) > fair

    def _share(self, queued: Queued, newcomer: Queued) -> float:
        account = self._accounts.get(queued.account)
        waiting = len(account.waiting) if account else 0
        waiting += queued.account == newcomer.account
        return waiting / max(queued.weight, 1)


def _position(waiting: deque, queued: Queued) -> int:
    position = len(waiting)
    while position and waiting[position - 1].priority < queued.priority:
        position -= 1
    return position
