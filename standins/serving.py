"""Serve the HTTP interface of a stand-in until a stop signal."""

from __future__ import annotations

import asyncio
import signal
import time

from persimmonroute import http_server

STOP_GRACE_S = 60
# Time to answer the request for a silence.
NOTICE_S = 0.02


def fall_silent(change):
    """Stand still for as long as a change by a test says, then go on.

    All connections stay open, and new ones are accepted by the system.
    """
    loop = asyncio.get_running_loop()
    if 'silent' in change:
        loop.call_later(NOTICE_S, time.sleep, change['silent'])


def serve(app, address, background=()):
    """Serve an application and run background coroutines."""
    asyncio.run(_serve(app, address, background))


async def _serve(app, address, background):
    server = http_server.build_server(app, address, STOP_GRACE_S)
    tasks = [asyncio.create_task(coroutine) for coroutine in background]
    server_task = asyncio.create_task(server.serve())

    def stop():
        server.should_exit = True

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    await server_task
    for task in tasks:
        task.cancel()
