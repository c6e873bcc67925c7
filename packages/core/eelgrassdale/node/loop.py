"""A thread that repeats one step until it is stopped."""

import threading
from collections.abc import Callable

import structlog

STOP_TIMEOUT_SECONDS = 3.0
# Delay after a step that raised an exception.
FAILURE_DELAY_SECONDS = 1.0

log = structlog.get_logger(__name__)


class Loop:
    """Runs `step` in a thread; `step` returns the seconds until the next run.

    A step that raises is logged and repeated, so one error does not end the
    task for the rest of the process.
    """

    def __init__(self, *, name: str, step: Callable[[], float]) -> None:
        self._name = name
        self._step = step
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    @property
    def stopping(self) -> bool:
        """Whether the loop was asked to stop."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def wake(self) -> None:
        """Run the next step now."""
        self._wake.set()

    def stop(self, *, wait_seconds: float = STOP_TIMEOUT_SECONDS) -> None:
        """End after the current step; wait for it at most `wait_seconds`."""
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(wait_seconds)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            try:
                delay = self._step()
            except Exception as exc:
                log.error(
                    "loop step failed; it will be repeated",
                    loop=self._name,
                    error=repr(exc),
                    exc_info=True,
                )
                delay = FAILURE_DELAY_SECONDS
            if delay > 0 and not self._stopping.is_set():
                self._wake.wait(delay)
