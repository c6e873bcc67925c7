"""Waits for a signal to stop the process."""

import queue
import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def catch_stop_signals() -> Callable[[], None]:
    """Catch SIGTERM and SIGINT; return a function that waits for the first one.

    Must be called in the main thread. The handler uses `queue.SimpleQueue`,
    whose `put` is reentrant. `threading.Event` is not: a second signal during
    `set` would deadlock on the lock that the first one holds, and a supervisor
    that signals both the process and its group sends two signals.

    Examples
    --------
    >>> before = [signal.getsignal(number) for number in STOP_SIGNALS]
    >>> wait_for_stop = catch_stop_signals()
    >>> signal.raise_signal(signal.SIGTERM)
    >>> wait_for_stop()
    >>> for number, handler in zip(STOP_SIGNALS, before):
    ...     _ = signal.signal(number, handler)

    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda caught, _: received.put(caught))

    def wait_for_stop() -> None:
        received.get()

    return wait_for_stop
