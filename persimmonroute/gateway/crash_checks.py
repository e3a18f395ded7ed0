"""Ask endpoints whose connections broke whether they crashed."""

from __future__ import annotations

import asyncio

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import quarantine
from persimmonroute import logs

log = logs.EventLog(__name__)


class CrashChecker:
    """Connect to endpoints at once after a break: they soon start again."""

    def __init__(self, crash_quarantine, client):
        self._quarantine = crash_quarantine
        self._client = client
        # Checks under way, by the id of the crash that they look for.
        self._checks = {}

    def check(self, view, verify):
        """Check whether an endpoint crashed.

        verify also asks whether its incarnation still responds.
        """
        crash = quarantine.crash_id(view.record)
        if crash not in self._checks:
            self._checks[crash] = asyncio.create_task(
                self._connect(view, verify)
            )
            self._checks[crash].add_done_callback(
                lambda _: self._checks.pop(crash, None)
            )

    def record_crash(self, view):
        """Record that an endpoint crashed."""
        suspects = self._quarantine.record_crash(view.record, clock.now_s())
        if suspects:
            log.emit(
                Event.RUNNER_CRASHED,
                runner=view.id,
                suspects=[f'{trait:016x}' for trait in suspects],
            )

    async def _connect(self, view, verify):
        try:
            await self._client.check(view.record, verify)
        except exceptions.EndpointRefusedError:
            self.record_crash(view)
        except exceptions.EndpointReplacedError:
            view.record_ending(Ending.MISDIRECTED, clock.now_s())
            self.record_crash(view)
        except exceptions.EndpointUnreachableError:
            # A crash that shows in the registration only.
            return
