"""Runs a program until a signal asks it to stop."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable


async def run_until_stopped(
    *,
    run: Callable[[], Awaitable[None]],
    stop: Callable[[], Awaitable[None]],
    on_reload: Callable[[], None] = lambda: None,
) -> None:
    """Run a program until SIGTERM or SIGINT, then stop it; SIGHUP calls `on_reload`."""
    loop = asyncio.get_running_loop()
    stop_event = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_event.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    run_task = asyncio.ensure_future(run())
    stop_requested = asyncio.ensure_future(stop_event.wait())
    await asyncio.wait((run_task, stop_requested), return_when=asyncio.FIRST_COMPLETED)
    if run_task.done():
        stop_requested.cancel()
        await run_task
        return
    try:
        await stop()
    finally:
        run_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await run_task
