"""Limits the memory that the bodies of many messages take together."""

from attrs import define, field


class MemoryExhausted(Exception):
    """A body does not fit into the memory that is left for bodies."""


@define(kw_only=True)
class ByteBudget:
    """A number of bytes that many reservations share.

    Examples
    --------
    >>> budget = ByteBudget(limit=10)
    >>> first, second = budget.reservation(), budget.reservation()
    >>> first.resize(8)
    >>> second.resize(3)
    Traceback (most recent call last):
        ...
    eelgrassdale.http1.memory.MemoryExhausted: 3 bytes needed, 2 of 10 left
    >>> first.release()
    >>> second.resize(3)
    >>> budget.used
    3

    """

    limit: int
    used: int = field(default=0, init=False)

    def reservation(self) -> "Reservation":
        """Return a reservation of 0 bytes."""
        return Reservation(budget=self)


@define(kw_only=True, eq=False)
class Reservation:
    """The bytes that one body takes of a budget."""

    budget: ByteBudget
    _size: int = field(default=0, init=False)

    def resize(self, size: int) -> None:
        """Reserve `size` bytes in place of the present number.

        Raises
        ------
        MemoryExhausted
            If the budget has too few bytes left; the reservation does not change.
        """
        budget = self.budget
        left = budget.limit - budget.used + self._size
        if size > max(left, self._size):
            raise MemoryExhausted(f"{size} bytes needed, {left} of {budget.limit} left")
        budget.used += size - self._size
        self._size = size

    def release(self) -> None:
        """Give all bytes back."""
        self.resize(0)
