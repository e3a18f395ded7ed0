"""Follow the configuration and the endpoints in the platform's store."""

from __future__ import annotations

import abc
import asyncio
import typing

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import model
from persimmonroute import logs

log = logs.EventLog(__name__)

# Pause after a failed call; doubles up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
# Entries are confirmed this long after the store is back, before those
# that are missing are taken to be gone.
RECOVERY_S = 2.2


class Changes(typing.NamedTuple):
    """Hold what was read of a table, decoded."""

    configuration: model.Configuration | None
    runners: tuple[model.Runner, ...]
    removed: tuple[str, ...]
    # Set when all rows of the table were read.
    complete: bool
    # Earliest time at which the store can have given the answer.
    answered_at: float


class Source(abc.ABC):
    """Read one table of the store whole, then follow its changes."""

    name = 'table'

    @abc.abstractmethod
    async def read(self):
        """Return all rows as Changes and remember their version."""

    @abc.abstractmethod
    async def watch(self, long_poll):
        """Return the next Changes; empty when there are none.

        Without patience the answer comes at once, as after an outage.
        Raises HistoryLostError when the table has to be read again.
        """

    @abc.abstractmethod
    def export_rows(self):
        """Return the values of all rows by key, for a peer."""

    @abc.abstractmethod
    def import_rows(self, values, answered_at):
        """Return the Changes in rows that a peer has read."""


class Follower:
    """Keep the board's view of one table up to date."""

    def __init__(self, board, source, peer_rows, on_change):
        self._board = board
        self._source = source
        self._peer_rows = peer_rows
        self._on_change = on_change
        self._up = True
        self._pause_s = FIRST_PAUSE_S
        self._recovering_until = 0.0

    async def run(self):
        """Follow the table until cancelled."""
        fresh = False
        while True:
            try:
                if fresh:
                    changes = await self._source.watch(self._up)
                else:
                    changes = await self._source.read()
                fresh = True
            except exceptions.HistoryLostError as error:
                log.emit(Event.HISTORY_LOST, problem=error.problem)
                fresh = False
                continue
            except exceptions.PlatformUnavailableError as error:
                self._note_down(error)
                if not fresh or self._behind():
                    await self._ask_peers()
                await asyncio.sleep(self._pause_s)
                self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)
                continue
            self._note_up()
            self._apply(changes)

    @property
    def source(self):
        """Return the source of the table."""
        return self._source

    def _behind(self):
        """Tell whether peers are known to have read something newer."""
        return False

    async def _ask_peers(self):
        """Take over what a peer has read while the store is away."""
        found = await self._peer_rows.read(self._source.name)
        if found is not None:
            log.emit(
                Event.ROWS_FROM_PEER,
                table=self._source.name,
                rows=len(found.values),
                age_s=round(clock.now_s() - found.confirmed_at, 3),
            )
            self._apply(
                self._source.import_rows(found.values, found.confirmed_at)
            )

    def _note_down(self, error):
        if self._up:
            self._up = False
            log.emit(
                Event.PLATFORM_UNAVAILABLE,
                table=self._source.name,
                problem=error.problem,
            )

    def _note_up(self):
        self._pause_s = FIRST_PAUSE_S
        if not self._up:
            self._up = True
            self._recovering_until = clock.now_s() + RECOVERY_S
            log.emit(Event.PLATFORM_AVAILABLE, table=self._source.name)

    def _apply(self, changes):
        now = clock.now_s()
        self._apply_changes(changes, now)
        if changes.configuration or changes.runners or changes.removed:
            self._on_change(now)

    def _apply_changes(self, changes, now):
        raise NotImplementedError


class ConfigurationFollower(Follower):
    """Keep the configuration in force."""

    def _behind(self):
        return self._board.newest_reported_version > self._board.version

    def _apply_changes(self, changes, now):
        configuration = changes.configuration
        if configuration is not None:
            if self._board.adopt_configuration(configuration, now):
                log.emit(
                    Event.CONFIGURATION_IN_FORCE, version=configuration.version
                )
        if self._board.version:
            self._board.configuration_freshness.confirm(changes.answered_at)


class RunnerFollower(Follower):
    """Keep the list of endpoints."""

    def __init__(self, board, source, peer_rows, on_change, on_gone):
        super().__init__(board, source, peer_rows, on_change)
        self._on_gone = on_gone

    def _apply_changes(self, changes, now):
        removed = set(changes.removed)
        if changes.complete:
            listed = {record.id for record in changes.runners}
            removed |= {v.id for v in self._board.runner_registry} - listed
        gone = self._board.runner_registry.apply(
            changes.runners, removed, now < self._recovering_until, now
        )
        for record in changes.runners:
            log.emit(
                Event.RUNNER_CHANGED,
                runner=record.id,
                service=record.service,
                leaving=record.leaving,
            )
        for view in gone:
            log.emit(Event.RUNNER_GONE, runner=view.id)
            self._board.quarantine.record_crash(view.id, now)
            self._on_gone(view.record)
