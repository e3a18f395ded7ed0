"""Keep in the platform's store which versions have served of late.

A gateway that starts cannot know which versions of a service came and went
before, and all gateways may start at the same time. A version has a row from
the moment it is seen until it has been gone for long, so the rows tell whether
a stream that nobody knows can have begun at one version only.
"""

from __future__ import annotations

import abc

from persimmonroute import clock
from persimmonroute.gateway import row_keeping


class VersionRows(abc.ABC):
    """Read and write the rows of services' versions."""

    @abc.abstractmethod
    async def read(self):
        """Return the numbers of the rows by service and version."""

    @abc.abstractmethod
    async def add(self, service, version):
        """Write the row of a version unless it exists."""

    @abc.abstractmethod
    async def remove(self, service, version, number):
        """Remove the row of a version unless it was written again."""


class VersionKeeper(row_keeping.RowKeeper):
    """Read the versions at the start, and write those that are new.

    Each row is left to one of the gateways that respond.
    """

    def __init__(self, board, rows):
        super().__init__(board)
        self._rows = rows
        self._stored = {}
        self._must_read = True

    async def _synchronize(self):
        registry = self._board.runner_registry
        if self._must_read or self._restored:
            self._stored = await self._rows.read()
            registry.apply_stored_versions(self._stored, clock.now_s())
            self._must_read = self._restored = False
        now = clock.now_s()
        seen = registry.list_versions(now)
        for key in self._find_own(seen - self._stored.keys(), now):
            await self._rows.add(*key)
            self._must_read = True
        for key in self._find_own(self._stored.keys() - seen, now):
            await self._rows.remove(*key, self._stored[key])
            self._must_read = True

    def _find_own(self, keys, now):
        """Return the versions whose rows this gateway has to change."""
        return [
            key
            for key in sorted(keys)
            if self._board.peers.is_responsible('/'.join(key), now)
        ]
