"""Keep what is quarantined in the platform's store.

Gateways tell one another of crashes, but all of them may stop at the same
time, and one that starts again must not let each such request crash
endpoints once more.
"""

from __future__ import annotations

import abc

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import row_keeping
from persimmonroute import logs

log = logs.EventLog(__name__)


class TraitRows(abc.ABC):
    """Read and write the rows of quarantined traits."""

    @abc.abstractmethod
    async def read(self):
        """Return the versions of the rows by trait."""

    @abc.abstractmethod
    async def add(self, trait):
        """Write the row of a trait unless it exists."""

    @abc.abstractmethod
    async def remove(self, trait, version):
        """Remove the row of a trait unless it was written again."""


class QuarantineKeeper(row_keeping.RowKeeper):
    """Read the quarantine at the start and write what changes."""

    def __init__(self, board, rows):
        super().__init__(board)
        self._rows = rows
        self._loaded = False
        self._known = frozenset()

    async def _synchronize(self):
        quarantine = self._board.quarantine
        self._log_changes(quarantine.quarantined)
        if self._restored or not self._loaded:
            await self._load()
        for trait in quarantine.find_unstored(clock.now_s()):
            await self._rows.add(trait)
            quarantine.apply_stored((trait,), clock.now_s())
        if quarantine.obsolete:
            await self._remove(quarantine.obsolete)

    async def _load(self):
        """Apply the rows, and write again what a restored store lost."""
        quarantine = self._board.quarantine
        stored = await self._rows.read()
        for trait in quarantine.stored - stored.keys():
            await self._rows.add(trait)
        quarantine.apply_stored(stored, clock.now_s())
        self._restored = False
        self._loaded = True

    async def _remove(self, traits):
        stored = await self._rows.read()
        for trait in traits & stored.keys():
            await self._rows.remove(trait, stored[trait])
        self._board.quarantine.discard_obsolete(traits)

    def _log_changes(self, quarantined):
        for trait in quarantined - self._known:
            log.emit(Event.TRAIT_QUARANTINED, trait=f'{trait:016x}')
        for trait in self._known - quarantined:
            log.emit(Event.TRAIT_CLEARED, trait=f'{trait:016x}')
        self._known = quarantined
