"""Run the HTTP server of an entry and its graceful shutdown."""

from __future__ import annotations

import asyncio

from persimmonroute.entry import messages
from persimmonroute.events import Event
from persimmonroute import http_server
from persimmonroute import logs

log = logs.EventLog(__name__)

# Time for the load balancer to see that the entry is not ready.
BALANCER_NOTICE_S = 1.0


class EntryServer:
    """Serve callers until shutdown is requested and requests have ended."""

    def __init__(self, shell, app, settings):
        self._shell = shell
        self._settings = settings
        self._server = http_server.build_server(
            app, settings.address, settings.stop_grace_s
        )

    async def run(self, stop):
        """Serve until the stop event is set and requests have ended."""
        self._shell.start()
        serving = asyncio.create_task(self._server.serve())
        log.emit(Event.PROCESS_STARTED, address=self._settings.address)
        await stop.wait()
        log.emit(Event.PROCESS_STOPPING)
        self._shell.handle(messages.StopRequested())
        await asyncio.sleep(BALANCER_NOTICE_S)
        self._server.should_exit = True
        await serving
        await self._shell.close()
        log.emit(Event.PROCESS_STOPPED)
