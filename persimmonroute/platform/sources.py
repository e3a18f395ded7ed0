"""Read and watch the tables of configuration, endpoints and gateways."""

from __future__ import annotations

import json
import math
import typing

import xxhash

from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import following
from persimmonroute.gateway import peer_rows
from persimmonroute.gateway import quarantine_keeping
from persimmonroute.gateway import rollout_keeping
from persimmonroute.gateway import version_keeping
from persimmonroute import logs
from persimmonroute.platform import documents
from persimmonroute.platform import tables as _tables

log = logs.EventLog(__name__)

GATEWAY_TABLE = 'gateways'
VERSION_TABLE = 'versions'
QUARANTINE_TABLE = 'quarantine'
ROLLOUT_TABLE = 'rollouts'
STATUS_TABLE = 'status'


class TableSource(following.Source):
    """Watch one table and decode its rows."""

    def __init__(self, tables, table, wait_s):
        self._tables = tables
        self._wait_s = wait_s
        self._version = 0
        self._era = None
        # Latest known value of every row, by key; None before the first read.
        self._values = None
        # Version of rows that a peer sent, up to which they are complete.
        self._imported_version = 0
        self.name = table

    def set_wait_s(self, wait_s):
        """Set how long a watch waits for changes, in seconds."""
        self._wait_s = wait_s

    async def read(self):
        """Read all rows of the table."""
        imported_before = self._imported_version
        page = await self._tables.read(self.name)
        restored = self._era is not None and page.era > self._era
        # The store knows better than what a peer sent before it was asked.
        newly_imported = self._imported_version > imported_before
        if newly_imported and self._is_outdated(page):
            raise exceptions.PlatformUnavailableError(
                f'rows of {self.name!r} are older than those of a peer'
            )
        self._imported_version = 0
        self._version = page.version
        self._era = page.era
        self._values = {}
        changes = self._apply_page(page, True)
        return changes._replace(restored=restored)

    def export_rows(self):
        """Return a Snapshot to send to a peer; None before the first read."""
        if self._values is None:
            return None
        return peer_rows.Snapshot(
            self._values, self._complete_to, self._era or 0
        )

    @property
    def _complete_to(self):
        return max(self._version, self._imported_version)

    def import_rows(self, received):
        """Return the Changes in PeerRows; None if they are older."""
        era = received.era if self._era is None else self._era
        if received.era != era or received.version < self._complete_to:
            return None
        self._values = {}
        self._imported_version = received.version
        changes = self._apply_page(self._build_page(received, era), True)
        return changes._replace(
            origin=following.Origin.PEER, newest_change=received.version
        )

    def _build_page(self, received, era):
        """Return the Page of PeerRows in an era."""
        rows = tuple(
            _tables.TableRow(self.name, '', key, value, 0)
            for key, value in received.values.items()
        )
        return _tables.Page(rows, received.version, received.confirmed_at, era)

    def _is_outdated(self, page):
        """Return whether a peer sent newer rows meanwhile."""
        return page.era == self._era and page.version < self._imported_version

    async def watch(self, long_poll):
        """Return the next changes; wait for them only if long_poll."""
        wait_s = self._wait_s if long_poll else 0.0
        imported_before = self._imported_version
        page = await self._tables.watch(self.name, self._version, wait_s)
        if page.era != self._era:
            raise exceptions.HistoryLostError(
                f'the store was restored; version {self._version} of'
                f' {self.name!r} belongs to era {self._era}'
            )
        if not self._is_outdated(page):
            self._version = max(self._version, page.version)
        elif self._imported_version == imported_before:
            raise exceptions.HistoryLostError(
                f'a peer sent a version of {self.name!r} that the store does'
                ' not have'
            )
        else:
            # The next watch brings them again, with what came since.
            page = page._replace(rows=())
        return self._apply_page(page, False)

    def _apply_page(self, page, complete):
        for row in page.rows:
            if row.value is None:
                self._values.pop(row.key, None)
            else:
                self._values[row.key] = row.value
        return self._decode(page, complete)

    def _decode(self, page, complete):
        raise NotImplementedError


class ConfigurationSource(TableSource):
    """Watch the configuration that operators publish."""

    def __init__(self, tables, wait_s, reads_orders=False):
        super().__init__(tables, documents.CONFIGURATION_TABLE, wait_s)
        self._reads_orders = reads_orders
        self._newest_version = 0
        # Row of the newest configuration; a restored store may hold an older.
        self._newest_row = {}
        # Whether the store's configuration is one that cannot be decoded.
        self._unreadable = False

    def export_rows(self):
        """Return a Snapshot of the newest configuration ever read."""
        return peer_rows.Snapshot(self._newest_row, self._newest_version)

    def import_rows(self, received):
        """Return the Changes in PeerRows; None if they are older."""
        known_version, unreadable = self._newest_version, self._unreadable
        # Versions of configurations belong to no era.
        changes = self._decode(self._build_page(received, 0), True)
        # A peer that has no newer version tells nothing of what the store has.
        configuration = changes.configuration
        if configuration is None or configuration.version <= known_version:
            self._unreadable = unreadable
        if configuration is None or configuration.version < known_version:
            return None
        return changes._replace(
            origin=following.Origin.PEER, confirms=not self._unreadable
        )

    def _decode(self, page, complete):
        configuration = None
        orders = self._decode_orders(page) if self._reads_orders else ()
        for row in page.rows:
            if row.key != documents.CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = documents.read_configuration(row.value)
                self._unreadable = False
                if configuration.version >= self._newest_version:
                    self._newest_version = configuration.version
                    self._newest_row = {row.key: row.value}
            except exceptions.DocumentError as error:
                self._unreadable = True
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return following.Changes(
            configuration,
            (),
            (),
            complete,
            page.responded_at,
            page.era,
            orders=orders,
            confirms=not self._unreadable,
        )

    def _decode_orders(self, page):
        """Return the readable orders to move services to other versions."""
        orders = []
        for row in page.rows:
            ordered = row.key.startswith(documents.ROLLOUT_PREFIX)
            if not ordered or row.value is None:
                continue
            try:
                orders.append(
                    documents.read_order(row.key, row.value, row.version)
                )
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return tuple(orders)


class RunnerSource(TableSource):
    """Watch the registrations of endpoints."""

    def __init__(self, tables, wait_s):
        super().__init__(tables, documents.RUNNER_TABLE, wait_s)

    def _decode(self, page, complete):
        runners, removed = {}, set()
        for row in page.rows:
            runners.pop(row.key, None)
            removed.discard(row.key)
            if row.value is None:
                removed.add(row.key)
                continue
            try:
                runners[row.key] = documents.read_runner(row.key, row.value)
            except exceptions.DocumentError as error:
                # An endpoint whose registration is malformed is unusable.
                removed.add(row.key)
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return following.Changes(
            None,
            tuple(runners.values()),
            tuple(removed),
            complete,
            page.responded_at,
            page.era,
            complete_to=page.version,
            newest_change=max((row.version for row in page.rows), default=0),
        )


class GatewayRow(typing.NamedTuple):
    """Describe a registered gateway; empty if it did not state a field."""

    address: str
    failure_domain: str
    # Processor share in cores.
    cores: float
    # Version of the row in the store.
    version: int


class GatewayList:
    """Register this gateway in the store and list its peers."""

    def __init__(self, tables):
        self._tables = tables

    async def announce(self, name, address, failure_domain, cores):
        """Register a gateway as a GatewayRow."""
        value = json.dumps(
            {
                'address': address,
                'failure_domain': failure_domain,
                'cores': cores,
            }
        ).encode()
        write = _tables.RowWrite(GATEWAY_TABLE, '', name, value)
        await self._tables.transact([write])

    async def remove(self, name, version):
        """Remove a gateway's row unless it has registered again since."""
        write = _tables.RowWrite(GATEWAY_TABLE, '', name, None, version)
        await self._tables.transact([write])

    async def read(self):
        """Return the GatewayRows of all gateways by name."""
        page = await self._tables.read(GATEWAY_TABLE)
        gateways = {}
        for row in page.rows:
            try:
                document = documents.read_gateway(row.value)
                gateways[row.key] = GatewayRow(*document, row.version)
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return gateways


class VersionRows(version_keeping.VersionRows):
    """Keep the versions of services that have served of late."""

    def __init__(self, tables):
        self._tables = tables

    async def read(self):
        """Return the numbers of the rows by service and version."""
        page = await self._tables.read(VERSION_TABLE)
        numbers = {}
        for row in page.rows:
            try:
                numbers[documents.read_version(row.value)] = row.version
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return numbers

    async def add(self, service, version):
        """Write the row of a version unless it exists."""
        await self._write(service, version, 0)

    async def remove(self, service, version, number):
        """Remove the row of a version unless it was written again."""
        await self._write(service, version, number, removed=True)

    async def _write(self, service, version, expected, removed=False):
        document = {'service': service, 'version': version}
        # Names may be longer than keys.
        key = xxhash.xxh3_64_hexdigest(f'{service}/{version}'.encode())
        value = None if removed else json.dumps(document).encode()
        write = _tables.RowWrite(VERSION_TABLE, '', key, value, expected)
        await self._tables.transact([write])


class QuarantineRows(quarantine_keeping.TraitRows):
    """Keep the traits of requests that crash endpoints in the store."""

    def __init__(self, tables):
        self._tables = tables

    async def read(self):
        """Return the versions of the rows by trait."""
        page = await self._tables.read(QUARANTINE_TABLE)
        versions = {}
        for row in page.rows:
            try:
                versions[documents.read_trait(row.key)] = row.version
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return versions

    async def add(self, trait):
        """Write the row of a trait unless it exists."""
        write = _tables.RowWrite(
            QUARANTINE_TABLE, '', f'{trait:016x}', b'{}', 0
        )
        await self._tables.transact([write])

    async def remove(self, trait, version):
        """Remove the row of a trait unless it was written again."""
        write = _tables.RowWrite(
            QUARANTINE_TABLE, '', f'{trait:016x}', None, version
        )
        await self._tables.transact([write])


class RolloutRows(rollout_keeping.RolloutRows):
    """Keep how far the rollouts of versions are in the store."""

    def __init__(self, tables):
        self._tables = tables
        self._era = None

    async def read(self):
        """Return all rows as a RolloutPage."""
        page = await self._tables.read(ROLLOUT_TABLE)
        self._era = page.era
        return self._decode(page)

    async def watch(self, after, wait_s):
        """Return the RolloutPage of the changes after a version."""
        page = await self._tables.watch(ROLLOUT_TABLE, after, wait_s)
        if page.era != self._era:
            raise exceptions.HistoryLostError(
                f'the store was restored; version {after} of'
                f' {ROLLOUT_TABLE!r} belongs to era {self._era}'
            )
        return self._decode(page)

    async def write(self, row, expected_version):
        """Write a row and its status if the row has this version."""
        service = row.order.service
        document = documents.encode_rollout(
            row, self._tables.era or 0, self._find_given_s(row)
        )
        status = documents.encode_status(row)
        writes = [
            _tables.RowWrite(
                ROLLOUT_TABLE,
                '',
                service,
                json.dumps(document).encode(),
                expected_version,
            ),
            _tables.RowWrite(
                STATUS_TABLE,
                '',
                f'{documents.ROLLOUT_PREFIX}{service}',
                json.dumps(status).encode(),
            ),
        ]
        committed, version = await self._tables.transact(writes)
        return version if committed else None

    async def read_status(self, service):
        """Return the StatusRow of a service, or None."""
        key = f'{documents.ROLLOUT_PREFIX}{service}'
        page = await self._tables.read(STATUS_TABLE, start=key)
        for row in page.rows:
            if row.key != key:
                continue
            try:
                phase, target = documents.read_status(row.value)
                return rollout_keeping.StatusRow(phase, target, row.version)
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return None

    def _find_given_s(self, row):
        """Return when an order was given by the store's clock, or None."""
        if row.given_at == math.inf:
            return None
        return self._tables.clock.to_store_s(row.given_at)

    def _decode(self, page):
        rows = []
        for row in page.rows:
            if row.value is None:
                continue
            try:
                decoded, era, given_s = documents.read_rollout(
                    row.key, row.value
                )
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
                continue
            given_at = math.inf
            # A restored store may have another clock.
            if given_s is not None and era == page.era:
                given_at = self._tables.clock.to_local_s(given_s)
            rows.append(
                decoded._replace(given_at=given_at, version=row.version)
            )
        return rollout_keeping.RolloutPage(tuple(rows), page.version, page.era)
