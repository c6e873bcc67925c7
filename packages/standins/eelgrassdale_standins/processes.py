"""Child processes on loopback: port reservation, start, signals and exit."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

POLL_SECONDS = 0.02
KILL_WAIT_SECONDS = 10.0
LOG_TAIL_CHARACTERS = 3000
LOOPBACK = "127.0.0.1"


class ProcessError(Exception):
    """A process did not start, answer or end as expected."""


class PortReservation:
    """Loopback ports from the operating system, reserved until `close`.

    Each port stays bound by a socket that does not listen. A server that sets
    SO_REUSEADDR can still bind it, but neither an outgoing connection nor another
    deployment can take it, not even while a process is being restarted.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def new_address(self) -> str:
        """Return a reserved `host:port`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        self._sockets.append(sock)
        return f"{LOOPBACK}:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Release all ports."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


@attrs.frozen(kw_only=True)
class Command:
    """Command line of a process; `log` receives its standard output and error."""

    name: str
    arguments: tuple[str, ...]
    log: Path


class Process:
    """One running child process.

    Signals are sent to the process id of this child only.
    """

    def __init__(self, command: Command) -> None:
        self.command = command
        with command.log.open("ab") as log:
            self._child = subprocess.Popen(
                command.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal; None while the process runs."""
        return self._child.poll()

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.exit_code is None:
            self._child.send_signal(signal_number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.signal(signal.SIGKILL)
        self.wait(KILL_WAIT_SECONDS)

    def freeze(self) -> None:
        """Stop the execution of the process until `resume`.

        Returns once all its threads have stopped: on a busy machine, some run
        for milliseconds after the signal.
        """
        if self.exit_code is None:
            self._child.send_signal(signal.SIGSTOP)
            # WNOWAIT leaves the exit status to be collected by `exit_code`.
            os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop by SIGTERM."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float) -> int | None:
        """Return the exit code, None if the process still runs after `seconds`."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._child.wait(seconds)
        return None

    def log_tail(self) -> str:
        """Return the last part of the log."""
        return self.command.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]


def standin_arguments(module: str, address: str, *options: object) -> tuple[str, ...]:
    """Return the command line of a stand-in.

    Examples
    --------
    >>> standin_arguments("vmlist", "127.0.0.1:1", "--lag-seconds", 2)[2:]
    ('eelgrassdale_standins.vmlist', '--address', '127.0.0.1:1', '--lag-seconds', '2')

    """
    options = tuple(str(option) for option in options)
    module = f"eelgrassdale_standins.{module}"
    return (sys.executable, "-m", module, "--address", address, *options)


def program_arguments(program: str, options: Sequence[object]) -> tuple[str, ...]:
    """Return the command line of a program installed beside the interpreter."""
    path = Path(sys.executable).parent / program
    return (str(path), *(str(option) for option in options))


def wait_until(
    condition: Callable[[], bool],
    *,
    timeout_seconds: float,
    description: str,
    poll_seconds=POLL_SECONDS,
) -> float:
    """Wait until `condition` holds and return the seconds waited.

    Raises
    ------
    ProcessError
        The condition does not hold within `timeout_seconds`.

    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_seconds:
            raise ProcessError(f"timed out after {timeout_seconds:g} s: {description}")
        time.sleep(poll_seconds)
    return time.monotonic() - start


def is_running(pid: int) -> bool:
    """Return whether a process of this id exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True
