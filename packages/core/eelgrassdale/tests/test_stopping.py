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
SIGNALS = 200


def test_many_signals_at_once_end_the_wait():
    # Guards against a handler that blocks when a second signal interrupts it:
    # a process that got two stayed until it was killed.
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout.readline() == "ready\n"
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGTERM)
        process.wait(timeout=20)
    finally:
        process.kill()
        process.communicate()
    assert process.returncode in (0, -signal.SIGTERM)
