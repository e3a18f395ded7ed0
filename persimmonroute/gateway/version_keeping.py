"""Keep in the platform's store which versions have served of late.

A gateway that starts cannot know which versions of a service came and went
before, and all gateways may start at the same time. A version has a row before
the first stream begins there and until it has been gone for long, so the rows
tell whether a stream that nobody knows can have begun at one version only.
"""

from __future__ import annotations

import abc
import asyncio
import math
import random

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import polling
from persimmonroute.gateway import row_keeping
from persimmonroute import logs
from persimmonroute import timeouts

log = logs.EventLog(__name__)

# A stream waits no longer for the row of its version; a transaction takes some
# milliseconds.
CONFIRM_TIMEOUT_S = 0.3
# Era of a store that was never restored from an older copy.
FIRST_ERA = 1
# After a restore endpoints register again within about two seconds, and the
# versions that the copy lacks are known then. A process that starts cannot
# tell when the store was restored.
RESTORED_SETTLE_S = 3.0
# Gateways that have to confirm the same version ask for its row at different
# times, so that in a large fleet most find the row of another.
CONFIRM_SPREAD_PER_GATEWAY_S = 0.0005


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
        # Versions with a row since an endpoint of theirs was last missing.
        self._confirmed = set()
        # Confirmations under way, with the time at which they began.
        self._confirming = {}
        # The rows as last read for a question, and when that read began.
        self._newest = {}
        self._read_at = -math.inf
        self._reading = asyncio.Lock()
        # Era of the store, and since when it is known here.
        self._era = None
        self._era_known_at = math.inf

    def on_store_restored(self):
        """Compare with the rows of a store that may have lost some."""
        super().on_store_restored()
        self._confirmed.clear()

    async def confirm(self, service, version):
        """Wait until the store has the row of a version.

        Without the store a stream begins all the same, soon after: then its
        version is not certain to be known after all gateways were killed.
        """
        key = (service, version)
        if key in self._confirmed:
            return
        now = clock.now_s()
        if key not in self._confirming:
            self._confirming[key] = asyncio.create_task(self._store(key)), now
        storing, began_at = self._confirming[key]
        left_s = began_at + CONFIRM_TIMEOUT_S - now
        if left_s > 0:
            await asyncio.wait((storing,), timeout=left_s)
        if not storing.done():
            log.emit(
                Event.VERSION_UNCONFIRMED, service=service, version=version
            )

    async def is_only_version(self, service, version):
        """Return whether a service can have had streams of no other version.

        The store is asked now: this gateway and its peers may have missed
        that a version came. Without the store the answer is no, and also while
        a store that was restored may lack versions.
        """
        try:
            async with timeouts.timeout(CONFIRM_TIMEOUT_S):
                stored = await self._read_newest()
        except (exceptions.PlatformUnavailableError, TimeoutError) as error:
            log.emit(Event.STORE_CALL_FAILED, problem=repr(error))
            return False
        if not self._has_settled(clock.now_s()):
            log.emit(Event.VERSIONS_UNCERTAIN, era=self._era)
            return False
        return {v for s, v in stored if s == service} == {version}

    def _has_settled(self, now):
        """Return whether endpoints have registered since a restore."""
        era = self._board.store_era
        if era != self._era:
            self._era, self._era_known_at = era, now
        if era is not None and era <= FIRST_ERA:
            return True
        return now - self._era_known_at >= RESTORED_SETTLE_S

    async def _read_newest(self):
        """Return rows that were read after the call of this method.

        Callers that ask at the same time share a read.
        """
        asked_at = clock.now_s()
        async with self._reading:
            if self._read_at <= asked_at:
                read_at = clock.now_s()
                self._newest = await self._rows.read()
                self._read_at = read_at
            return self._newest

    async def _store(self, key):
        backoff = polling.Backoff()
        try:
            while key in self._board.runner_registry.list_current_versions():
                try:
                    await self._add(key)
                    self._confirmed.add(key)
                    return
                except exceptions.PlatformUnavailableError:
                    gateways = self._board.peers.gateway_count(clock.now_s())
                    await asyncio.sleep(backoff.draw_s(gateways))
        finally:
            del self._confirming[key]

    async def _add(self, key):
        """Write the row of a version unless another gateway has."""
        now = clock.now_s()
        if not self._find_own([key], now):
            gateways = self._board.peers.gateway_count(now)
            await asyncio.sleep(
                random.uniform(0.0, gateways * CONFIRM_SPREAD_PER_GATEWAY_S)
            )
            if key in await self._rows.read():
                return
        await self._rows.add(*key)
        self._must_read = True

    async def _synchronize(self):
        self._has_settled(clock.now_s())
        registry = self._board.runner_registry
        if self._must_read or self._restored:
            former, self._stored = self._stored, await self._rows.read()
            rewritten = self._stored.items() - former.items()
            registry.apply_stored_versions(
                self._stored, {key for key, _ in rewritten}, clock.now_s()
            )
            self._must_read = self._restored = False
        # The row of a version that comes back may have been removed.
        self._confirmed &= registry.list_current_versions()
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
