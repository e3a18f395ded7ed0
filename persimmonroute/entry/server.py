"""Run the HTTP server of an entry and its graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import time

from persimmonroute import clock
from persimmonroute import draining
from persimmonroute.entry import messages
from persimmonroute.events import Event
from persimmonroute import http_server
from persimmonroute import logs

log = logs.EventLog(__name__)

# Time for the load balancer to see that the entry is not ready.
BALANCER_NOTICE_S = 1.0
# Part of the grace period reserved for shutdown after the last request.
SHUTDOWN_RESERVE_S = 0.7
# Time between two looks at the clocks in a stop.
CLOCK_CHECK_S = 0.1
# Part of a suspension that the core may not know of.
MAX_CLOCK_SHIFT_S = 0.05


class EntryServer:
    """Serve callers until shutdown is requested and requests have ended."""

    def __init__(self, shell, app, settings, guard=None):
        self._shell = shell
        self._settings = settings
        # Between the clocks of the core and of the server, as announced.
        self._announced_shift_s = math.inf
        self._server = http_server.build_server(
            app,
            settings.address,
            settings.stop_grace_s,
            guard=guard,
        )

    async def run(self, stop):
        """Serve until the stop event is set and requests have ended."""
        self._shell.start()
        serving = asyncio.create_task(self._server.serve())
        log.emit(Event.PROCESS_STARTED, address=self._settings.address)
        await stop.wait()
        log.emit(Event.PROCESS_STOPPING)
        grace_s = self._settings.stop_grace_s
        drain = begin_drain(clock.now_s(), grace_s)
        self._announce(drain)
        watching = asyncio.create_task(self._watch_clocks(drain))
        ending = asyncio.create_task(
            draining.end_open(drain, self._end_calls, self._server.cancel_open)
        )
        await asyncio.sleep(max(drain.closes_at - clock.now_s(), 0.0))
        self._server.stop(drain.ends_at - clock.now_s())
        await serving
        ending.cancel()
        watching.cancel()
        with draining.guard('close'):
            await self._shell.close()
        log.emit(Event.PROCESS_STOPPED)

    def _announce(self, drain):
        """Tell the core of the stop, unless it knows when that ends.

        The clock of the core and its timers stands still in a suspended
        process.
        """
        shift_s = time.monotonic() - clock.now_s()
        if abs(shift_s - self._announced_shift_s) < MAX_CLOCK_SHIFT_S:
            return
        self._announced_shift_s = shift_s
        core_drain = draining.Drain(
            drain.closes_at + shift_s, drain.ends_at + shift_s
        )
        with draining.guard('announce'):
            self._shell.handle(messages.StopRequested(core_drain))

    async def _watch_clocks(self, drain):
        """Tell the core when a suspension has shortened the stop."""
        while True:
            await asyncio.sleep(CLOCK_CHECK_S)
            self._announce(drain)

    def _end_calls(self):
        """Tell the outcome of open requests before they are cancelled."""
        with draining.guard('end bodies'):
            self._shell.core.board.open_requests.end_all()
        self._shell.handle(messages.StopExpired())


def begin_drain(now, stop_grace_s):
    """Return the Drain of an entry that is asked to stop."""
    return draining.begin(
        now,
        BALANCER_NOTICE_S,
        http_server.CLOSE_S,
        stop_grace_s - SHUTDOWN_RESERVE_S,
    )
