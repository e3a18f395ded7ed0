"""Run a daemon with a step of its shutdown that takes a minute.

Usage: python -m standins.slow_exit STEP ARGUMENT...
"""

from __future__ import annotations

import asyncio
import sys
import threading
import time

from persimmonroute import daemon
from persimmonroute.gateway import shell

STEP_S = 60.0


class SlowObject:
    """Take long to be destroyed with the interpreter."""

    def __del__(self, sleep=time.sleep):
        """Sleep as the modules are cleared."""
        sleep(STEP_S)


def delay_interpreter():
    """Delay the end of the interpreter."""
    sys.modules['standins.slow_object'] = SlowObject()


def delay_threads():
    """Leave a thread that the end of the interpreter waits for."""
    threading.Thread(target=time.sleep, args=(STEP_S,)).start()


def delay_tasks():
    """Leave a task that ignores its cancellation."""
    close = shell.GatewayShell.close

    async def close_beside_task(self):
        self.slow_task = asyncio.create_task(_ignore_cancellation())
        await asyncio.sleep(0)
        await close(self)

    shell.GatewayShell.close = close_beside_task


def delay_close():
    """Let the gateway wait as it closes."""

    async def close(self):
        await asyncio.sleep(STEP_S)

    shell.GatewayShell.close = close


def block_close():
    """Block the event loop as the gateway closes."""

    async def close(self):
        time.sleep(STEP_S)

    shell.GatewayShell.close = close


def block_drain():
    """Block the event loop as requests are drained."""

    def announce_stop(self):
        time.sleep(STEP_S)

    shell.GatewayShell.announce_stop = announce_stop


STEPS = {
    'interpreter': delay_interpreter,
    'threads': delay_threads,
    'tasks': delay_tasks,
    'close': delay_close,
    'blocked-close': block_close,
    'blocked-drain': block_drain,
}


async def _ignore_cancellation():
    ends_at = time.monotonic() + STEP_S
    while time.monotonic() < ends_at:
        try:
            await asyncio.sleep(STEP_S)
        except asyncio.CancelledError:
            continue


if __name__ == '__main__':
    STEPS[sys.argv[1]]()
    sys.exit(daemon.main(sys.argv[2:]))
