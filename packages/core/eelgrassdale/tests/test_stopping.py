"""Tests of waiting for a stop signal."""

import signal
import subprocess
import sys

SCRIPT = """
from eelgrassdale.stopping import catch_stop_signals

wait_for_stop = catch_stop_signals()
print("ready", flush=True)
wait_for_stop()
"""
# The kernel delivers a signal to a thread that does not block it, here never to the
# main thread.
SIGNAL_IN_OTHER_THREAD_SCRIPT = """
import signal
import threading

from eelgrassdale.stopping import catch_stop_signals

wait_for_stop = catch_stop_signals()
threading.Thread(target=threading.Event().wait, daemon=True).start()
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
print("ready", flush=True)
wait_for_stop()
"""
SIGNAL_COUNT = 200


def test_many_signals_at_once_end_the_wait():
    # Guards against a handler that deadlocks when a second signal interrupts it:
    # a process that received two signals did not stop until it was killed.
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout.readline() == "ready\n"
        for _ in range(SIGNAL_COUNT):
            process.send_signal(signal.SIGTERM)
        process.wait(timeout=20)
    finally:
        process.kill()
        process.communicate()
    assert process.returncode in (0, -signal.SIGTERM)


def test_signal_received_by_another_thread_ends_the_wait():
    # Guards against a wait that only a signal to the main thread interrupts: an agent
    # under load did not stop, because another thread had received its SIGTERM.
    process = subprocess.Popen(
        [sys.executable, "-c", SIGNAL_IN_OTHER_THREAD_SCRIPT],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline() == "ready\n"
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    finally:
        process.kill()
        process.communicate()
