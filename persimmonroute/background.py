"""Keep periodic tasks running."""

from __future__ import annotations

import asyncio

from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

RESTART_DELAY_S = 0.5


async def run_forever(function):
    """Run a background task, and restart it after an unexpected error."""
    while True:
        try:
            await function()
        except Exception as error:
            log.emit(
                Event.GATEWAY_FAULT,
                step=getattr(function, '__qualname__', repr(function)),
                problem=repr(error),
            )
        await asyncio.sleep(RESTART_DELAY_S)
