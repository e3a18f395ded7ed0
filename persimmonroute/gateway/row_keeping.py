"""Keep rows of what gateways know in the platform's store."""

from __future__ import annotations

import abc
import asyncio
import random

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import polling
from persimmonroute import logs

log = logs.EventLog(__name__)

CHECK_INTERVAL_S = 0.5
# After the store was restored from an older copy, the first gateway to look
# writes the missing rows again; the others find them.
REWRITE_SPREAD_S = 2.0


class RowKeeper(abc.ABC):
    """Compare what the board knows with its rows, again and again."""

    def __init__(self, board):
        self._board = board
        self._restored = False

    def on_store_restored(self):
        """Compare with the rows of a store that may have lost some."""
        self._restored = True

    async def run(self):
        """Keep the rows up to date until cancelled."""
        backoff = polling.Backoff()
        while True:
            try:
                if self._restored:
                    await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_S))
                await self._synchronize()
                backoff.reset()
                await asyncio.sleep(CHECK_INTERVAL_S)
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
                gateways = self._board.peers.gateway_count(clock.now_s())
                await asyncio.sleep(backoff.draw_s(gateways))

    @abc.abstractmethod
    async def _synchronize(self):
        """Read and write the rows that have to be; clear _restored."""
