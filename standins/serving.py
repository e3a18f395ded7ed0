"""Serve the HTTP side of a stand-in until it is told to stop."""

from __future__ import annotations

import asyncio
import signal

from persimmonroute import http_server

GRACE_S = 60


def serve(app, address, background=()):
    """Serve an application at an address with background coroutines."""
    asyncio.run(_serve(app, address, background))


async def _serve(app, address, background):
    server = http_server.build_server(app, address, GRACE_S)
    tasks = [asyncio.create_task(coroutine) for coroutine in background]
    serving = asyncio.create_task(server.serve())

    def stop():
        server.should_exit = True

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await serving
    for task in tasks:
        task.cancel()
