"""Waits for a signal to stop the process."""

import signal
import socket
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def catch_stop_signals() -> Callable[[], None]:
    """Catch SIGTERM and SIGINT; return a function that waits for the first one.

    Must be called in the main thread. The wait reads the descriptor to which the
    interpreter writes each signal number at once, in whichever thread the kernel
    delivers the signal. A Python handler would not do: it runs in the main thread
    only, and a main thread blocked on a lock is not woken by a signal that another
    thread received, or that arrived just before it blocked.

    Examples
    --------
    >>> before = [signal.getsignal(number) for number in STOP_SIGNALS]
    >>> wait_for_stop = catch_stop_signals()
    >>> signal.raise_signal(signal.SIGTERM)
    >>> wait_for_stop()
    >>> for number, handler in zip(STOP_SIGNALS, before):
    ...     _ = signal.signal(number, handler)
    >>> _ = signal.set_wakeup_fd(-1)

    """
    reading_end, writing_end = socket.socketpair()
    writing_end.setblocking(False)
    # A full buffer already holds a stop signal, so a warning would tell nothing.
    signal.set_wakeup_fd(writing_end.fileno(), warn_on_full_buffer=False)
    for number in STOP_SIGNALS:
        # Without a handler, the signal would end the process.
        signal.signal(number, lambda caught, frame: None)

    def wait_for_stop() -> None:
        # `writing_end` must stay open as long as the interpreter writes to it.
        while writing_end.fileno() >= 0:
            if any(number in STOP_SIGNALS for number in reading_end.recv(1)):
                return

    return wait_for_stop
