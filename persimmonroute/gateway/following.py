"""Watch the configuration and the endpoints in the platform's store."""

from __future__ import annotations

import abc
import asyncio
import enum
import math
import typing

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import board as boards
from persimmonroute.gateway import model
from persimmonroute.gateway import peer_choice
from persimmonroute.gateway import polling
from persimmonroute.gateway import rollout_control
from persimmonroute import logs

log = logs.EventLog(__name__)

# After an outage of the store, endpoints get this long to register again
# before missing registrations count as removed.
RECOVERY_S = 2.2
# Beyond the time that gateways take to read a change, one that peers have read
# is asked for again.
MISSED_CHANGE_S = 0.5
# The registrations are read from peers this often at most, and each of those
# that have newer ones is asked about once in the second time: the rows of many
# endpoints are long, and change all the time.
PEER_REGISTRATIONS_S = 1.0
PEER_REGISTRATIONS_ASK_S = 0.4


class Origin(enum.Enum):
    """Tell who sent rows."""

    STORE = 'store'
    PEER = 'peer'


class Changes(typing.NamedTuple):
    """Store the decoded result of one read or watch of a table."""

    configuration: model.Configuration | None
    runners: tuple[model.Runner, ...]
    removed: tuple[str, ...]
    # True when the result contains all rows of the table.
    complete: bool
    # Earliest time at which the store can have produced the response.
    responded_at: float
    # Number of times that the store was restored from an older copy.
    era: int = 0
    # True when the table was last read in an earlier era.
    restored: bool = False
    # Version up to which all changes were read, and that of the newest change
    # among them; 0 if the rows are not from the store.
    complete_to: int = 0
    newest_change: int = 0
    # Orders to move services to other versions.
    orders: tuple[rollout_control.Order, ...] = ()
    origin: Origin = Origin.STORE
    # False while the store has a newer configuration that cannot be decoded.
    confirms: bool = True


class Source(abc.ABC):
    """Read one table of the store, then watch its changes."""

    name = 'table'

    @abc.abstractmethod
    def set_wait_s(self, wait_s):
        """Set how long a watch waits for changes, in seconds."""

    @abc.abstractmethod
    async def read(self):
        """Return all rows as Changes and remember their version."""

    @abc.abstractmethod
    async def watch(self, long_poll):
        """Return the next Changes, which may be empty.

        Without long polling the store responds at once, which shows
        whether it is available again after an outage.
        Raises HistoryLostError when the table has to be read again.
        """

    @abc.abstractmethod
    def export_rows(self):
        """Return a Snapshot for a peer, or None before the first read."""

    @abc.abstractmethod
    def import_rows(self, received):
        """Return the Changes in PeerRows; None if they are older."""


class Follower:
    """Keep the board's copy of one table up to date."""

    # Shortest time between two reads of the table from peers.
    _peer_interval_s = 0.0
    # Time in which each peer with newer rows is asked about once.
    _ask_interval_s = 0.1

    def __init__(self, board, source, peer_rows, on_change):
        self._board = board
        self._source = source
        self._peer_rows = peer_rows
        self._on_change = on_change
        self._available = True
        self._backoff = polling.Backoff()
        self._recovering_until = 0.0
        self._outdated = asyncio.Event()
        # Set to end a watch before its time, which then starts again.
        self._interrupted = asyncio.Event()
        self._choice = peer_choice.PeerChoice(self._ask_interval_s)
        self._checked_at = -math.inf
        # Reads the table from a peer; the store is asked all the while.
        self._peer_read = None
        self._peer_read_at = -math.inf

    def check_age(self, now):
        """Ask the store at once, or a peer, if what is known is too old."""
        step_s = min(now - self._checked_at, self._ask_interval_s)
        self._checked_at = now
        if self._peer_read is not None and not self._peer_read.done():
            return
        if now - self._peer_read_at < self._peer_interval_s:
            return
        if not self._may_ask_peers(now):
            return
        gateways = 1 + len(self._board.peers.list_reports(now))
        address = self._choice.find_holder(
            self._find_holders(now), gateways, step_s
        )
        if address is not None:
            self._peer_read_at = now
            self._peer_read = asyncio.ensure_future(
                self._read_from_peer(address)
            )

    def _may_ask_peers(self, now):
        """Return whether the store does not tell of changes in time."""
        return not self._available

    def _find_holders(self, now):
        """Return the Holders of newer rows among the peers that respond."""
        holders = [
            peer_choice.Holder(report.rows_address, self._read_version(report))
            for report in self._board.peers.list_reports(now)
            if report.rows_address
        ]
        known = self._known_version
        return [holder for holder in holders if holder.version > known]

    def _read_version(self, report):
        """Return the version of a peer's rows that compares with these."""
        raise NotImplementedError

    @property
    def _known_version(self):
        """Return the version of the rows that are known here."""
        raise NotImplementedError

    async def close(self):
        """Stop reading from a peer."""
        if self._peer_read is not None:
            self._peer_read.cancel()
            await asyncio.gather(self._peer_read, return_exceptions=True)

    def read_again(self):
        """Stop waiting for changes and read the whole table."""
        self._outdated.set()

    async def run(self):
        """Watch the table until cancelled."""
        loaded = False
        while True:
            try:
                if loaded:
                    changes = await self._watch()
                else:
                    self._outdated.clear()
                    changes = await self._source.read()
                loaded = True
            except exceptions.HistoryLostError as error:
                log.emit(Event.HISTORY_LOST, problem=error.problem)
                loaded = False
                # A store that keeps losing its history is not asked at once.
                await asyncio.sleep(self._change_pause_s(True))
                continue
            except exceptions.PlatformUnavailableError as error:
                self._record_unavailable(error)
                if not loaded or self._peers_are_newer():
                    await self._read_from_seeds()
                await asyncio.sleep(self._backoff.draw_s(self._gateways()))
                continue
            self._record_available()
            urgent = self._is_urgent(changes)
            self._apply(changes)
            if self._peers_are_newer():
                await self._read_from_seeds()
            if not changes.complete and (changes.runners or changes.removed):
                # One more call brings all changes of this time.
                await asyncio.sleep(self._change_pause_s(urgent))

    def _gateways(self):
        return self._board.peers.gateway_count(clock.now_s())

    def _change_pause_s(self, urgent):
        return polling.change_pause_s(self._gateways(), urgent)

    def _is_urgent(self, changes):
        """Return whether changes end the use of what is known here."""
        return True

    async def _watch(self):
        """Return the next Changes unless the table has to be read again."""
        self._prepare_watch(clock.now_s())
        watching = asyncio.ensure_future(self._source.watch(self._available))
        outdated = asyncio.ensure_future(self._outdated.wait())
        interrupted = asyncio.ensure_future(self._interrupted.wait())
        tasks = (watching, outdated, interrupted)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                return watching.result()
            if outdated.done():
                raise exceptions.HistoryLostError(
                    f'rows of {self._source.name!r} have to be read again'
                )
            self._interrupted.clear()
            # A watch that ends just now has already passed its changes.
            watching.cancel()
            await asyncio.wait((watching,))
            if not watching.cancelled():
                return watching.result()
            return await self._source.watch(False)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _prepare_watch(self, now):
        """Set how long the next watch waits."""

    @property
    def source(self):
        """Return the source of the table."""
        return self._source

    def _peers_are_newer(self):
        """Return whether peers reported a newer version."""
        return False

    async def _read_from_seeds(self):
        """Apply the newest rows of the seeds unless a peer is known."""
        if self._find_holders(clock.now_s()):
            return
        newest = await self._peer_rows.read(self._source.name)
        if newest is not None:
            self._import(newest)

    async def _read_from_peer(self, address):
        """Apply the rows of a peer in place of the store's."""
        received = await self._peer_rows.read_from(address, self._source.name)
        if received is None or not self._import(received):
            self._choice.record_failure(address)
        else:
            self._choice.record_success()

    def _import(self, received):
        """Apply PeerRows; return False if they are outdated."""
        changes = self._source.import_rows(received)
        if changes is None:
            return False
        log.emit(
            Event.ROWS_FROM_PEER,
            table=self._source.name,
            rows=len(received.values),
            age_s=round(clock.now_s() - received.confirmed_at, 3),
        )
        self._apply(changes)
        return True

    def _record_unavailable(self, error):
        if self._available:
            self._available = False
            log.emit(
                Event.PLATFORM_UNAVAILABLE,
                table=self._source.name,
                problem=error.problem,
            )

    def _record_available(self):
        self._backoff.reset()
        if not self._available:
            self._available = True
            self._recovering_until = clock.now_s() + RECOVERY_S
            log.emit(Event.PLATFORM_AVAILABLE, table=self._source.name)

    def _apply(self, changes):
        now = clock.now_s()
        if changes.restored:
            self._recovering_until = now + RECOVERY_S
            log.emit(
                Event.STORE_RESTORED, table=self._source.name, era=changes.era
            )
        self._board.raise_store_era(changes.era)
        self._apply_changes(changes, now)
        if changes.configuration or changes.runners or changes.removed:
            self._on_change(now)

    def _apply_changes(self, changes, now):
        raise NotImplementedError


class ConfigurationFollower(Follower):
    """Keep the board's configuration current.

    Peers confirm it to one another, so together they ask the store as often
    as one gateway alone would, and each of them the less.
    """

    def __init__(self, board, source, peer_rows, on_change, poll_s):
        super().__init__(board, source, peer_rows, on_change)
        self._poll_s = poll_s
        self._schedule = polling.PollSchedule(poll_s)
        # Receives the orders in the Changes.
        self.on_orders = lambda changes: None
        # Called when the peers have to learn something before they are due.
        self.on_news = lambda: None

    @property
    def _known_version(self):
        return self._board.version

    def _read_version(self, report):
        return report.configuration_version

    def _is_awaited(self, now):
        """Return whether a peer can learn of a change from peers alone."""
        reports = self._board.peers.list_reports(now)
        return any(report.store_away for report in reports)

    def _record_unavailable(self, error):
        super()._record_unavailable(error)
        if not self._board.store_away:
            self._board.store_away = True
            self.on_news()

    def _record_available(self):
        super()._record_available()
        self._board.store_away = False

    def _may_ask_peers(self, now):
        behind_s = self._board.behind_s(now)
        return not self._available or behind_s >= boards.MISSED_CONFIGURATION_S

    def check_age(self, now):
        """Ask the store at once if peers do not confirm often enough."""
        super().check_age(now)
        age_s = self._board.configuration_freshness.age_s(now)
        if self._available and self._schedule.ask_now(age_s, now):
            self._source.set_wait_s(self._poll_s)
            self._interrupted.set()

    def _prepare_watch(self, now):
        gateways = self._board.peers.gateway_count(now)
        age_s = self._board.configuration_freshness.age_s(now)
        self._source.set_wait_s(self._schedule.draw_wait_s(gateways, age_s))

    def _peers_are_newer(self):
        return self._board.newest_reported_version > self._board.version

    def _apply_changes(self, changes, now):
        if changes.orders:
            self.on_orders(changes)
        configuration = changes.configuration
        if configuration is not None:
            behind_s = self._board.behind_s(now)
            if self._board.adopt_configuration(configuration, now):
                log.emit(
                    Event.CONFIGURATION_IN_FORCE,
                    version=configuration.version,
                    origin=changes.origin.value,
                    age_s=round(now - changes.responded_at, 3),
                    behind_s=round(behind_s, 3),
                )
                if changes.origin is Origin.PEER or self._is_awaited(now):
                    self.on_news()
        # A store that was restored from an older copy may lack a version
        # that peers have applied, so it confirms nothing older.
        is_newest = changes.confirms and not self._peers_are_newer()
        if self._board.version and is_newest:
            self._board.configuration_freshness.confirm(
                changes.responded_at, now
            )


class RunnerFollower(Follower):
    """Keep the board's endpoints current."""

    _peer_interval_s = PEER_REGISTRATIONS_S
    _ask_interval_s = PEER_REGISTRATIONS_ASK_S

    def __init__(self, board, source, peer_rows, on_change, on_removed):
        super().__init__(board, source, peer_rows, on_change)
        self._on_removed = on_removed
        self._poll_s = polling.MAX_POLL_S
        # When it was last looked for whether this gateway has to poll often.
        self._looked_at = 0.0

    def _prepare_watch(self, now):
        """Let a few gateways poll often: all polls may be lost at once."""
        self._poll_s = polling.MAX_POLL_S
        if self._is_sentinel(now):
            self._poll_s = polling.SENTINEL_POLL_S
        self._looked_at = now
        self._source.set_wait_s(self._poll_s)

    def _must_take_over(self, now):
        """Return whether a gateway that polled often has stopped."""
        if self._poll_s <= polling.SENTINEL_POLL_S:
            return False
        if now - self._looked_at <= polling.SENTINEL_POLL_S:
            return False
        self._looked_at = now
        return self._is_sentinel(now)

    def _is_sentinel(self, now):
        return self._board.peers.is_among_first(
            self._source.name, polling.SENTINELS, now
        )

    @property
    def _known_version(self):
        era = self._board.store_era or 0
        return self._board.registration_changes.complete_to(era)

    def _read_version(self, report):
        # Versions of unlike eras cannot be compared.
        same_era = report.store_era == (self._board.store_era or 0)
        return report.registrations_version if same_era else 0

    def check_age(self, now):
        """Ask the store at once if peers know of more changes."""
        super().check_age(now)
        if self._available and self._must_take_over(now):
            self._interrupted.set()
        # Gateways gather changes for a while before they read them.
        patience_s = self._change_pause_s(False) + MISSED_CHANGE_S
        changes = self._board.registration_changes
        if self._available and changes.is_overdue(patience_s, now):
            log.emit(Event.CHANGE_MISSED, table=self._source.name)
            self._interrupted.set()

    def _apply_changes(self, changes, now):
        self._board.registrations_read |= changes.complete
        if changes.complete_to:
            self._board.registration_changes.record_read(
                changes.era, changes.complete_to, changes.newest_change
            )
        if changes.restored:
            removed_views = self._board.runner_registry.apply_restored(
                changes.runners, now
            )
        else:
            removed_views = self._apply_runners(changes, now)
        for record in changes.runners:
            log.emit(
                Event.RUNNER_CHANGED,
                runner=record.id,
                service=record.service,
                leaving=record.leaving,
            )
        for view in removed_views:
            log.emit(Event.RUNNER_GONE, runner=view.id)
            if not view.record.leaving:
                self._board.quarantine.record_crash(view.record, now)
            self._on_removed(view.record)

    def _is_urgent(self, changes):
        known = {view.id: view.record for view in self._board.runner_registry}
        changed = any(known.get(r.id, r) != r for r in changes.runners)
        return changed or not known.keys().isdisjoint(changes.removed)

    def _apply_runners(self, changes, now):
        removed = set(changes.removed)
        if changes.complete:
            listed = {record.id for record in changes.runners}
            removed |= {v.id for v in self._board.runner_registry} - listed
        # A peer may have read the rows of a store that was away just now.
        recovering = (
            now < self._recovering_until or changes.origin is Origin.PEER
        )
        return self._board.runner_registry.apply(
            changes.runners, removed, recovering, now
        )
