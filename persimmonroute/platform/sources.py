"""Read configuration, endpoints and gateways from the store's tables."""

from __future__ import annotations

import json

from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import following
from persimmonroute import logs
from persimmonroute.platform import documents
from persimmonroute.platform import tables as _tables

log = logs.EventLog(__name__)

GATEWAY_TABLE = 'gateways'


class TableSource(following.Source):
    """Follow one table and decode its rows."""

    def __init__(self, tables, table, wait_s):
        self._tables = tables
        self._wait_s = wait_s
        self._version = 0
        # Values of all rows as they were read last.
        self._values = {}
        self.name = table

    async def read(self):
        """Read the whole table."""
        page = await self._tables.read(self.name)
        self._version = page.version
        self._values = {}
        return self._take(page, True)

    def export_rows(self):
        """Return the values of all rows by key, for a peer."""
        return self._values

    def import_rows(self, values, answered_at):
        """Return the Changes in rows that a peer has read."""
        rows = [
            _tables.TableRow(self.name, '', key, value, 0)
            for key, value in values.items()
        ]
        self._values = {}
        return self._take(_tables.Page(tuple(rows), 0, answered_at), True)

    async def watch(self, long_poll):
        """Wait for changes, or only ask for them."""
        wait_s = self._wait_s if long_poll else 0.0
        page = await self._tables.watch(self.name, self._version, wait_s)
        self._version = max(self._version, page.version)
        return self._take(page, False)

    def _take(self, page, complete):
        for row in page.rows:
            if row.value is None:
                self._values.pop(row.key, None)
            else:
                self._values[row.key] = row.value
        return self._decode(page, complete)

    def _decode(self, page, complete):
        raise NotImplementedError


class ConfigurationSource(TableSource):
    """Follow what operators declare."""

    def __init__(self, tables, wait_s):
        super().__init__(tables, documents.CONFIGURATION_TABLE, wait_s)

    def _decode(self, page, complete):
        found = None
        for row in page.rows:
            if row.key != documents.CONFIGURATION_KEY or row.value is None:
                continue
            try:
                found = documents.read_configuration(row.value)
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return following.Changes(found, (), (), complete, page.answered_at)


class RunnerSource(TableSource):
    """Follow the endpoints that register themselves."""

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
                # Such an entry names no endpoint to use.
                removed.add(row.key)
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return following.Changes(
            None,
            tuple(runners.values()),
            tuple(removed),
            complete,
            page.answered_at,
        )


class GatewayList:
    """List the gateways of the deployment in the store."""

    def __init__(self, tables):
        self._tables = tables

    async def announce(self, name, address):
        """Write the entry of a gateway."""
        value = json.dumps({'address': address}).encode()
        write = _tables.RowWrite(GATEWAY_TABLE, '', name, value)
        await self._tables.transact([write])

    async def read(self):
        """Return the addresses of all gateways by name."""
        page = await self._tables.read(GATEWAY_TABLE)
        found = {}
        for row in page.rows:
            try:
                found[row.key] = json.loads(row.value)['address']
            except (ValueError, KeyError, TypeError) as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=repr(error))
        return found
