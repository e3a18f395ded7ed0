"""Keep tables in memory as the platform's table service does."""

from __future__ import annotations

import typing


class StoredRow(typing.NamedTuple):
    """Store the value and version of one row."""

    value: object
    version: int


class Change(typing.NamedTuple):
    """Record a write of a row, or its removal if the value is None."""

    table: str
    partition: str
    key: str
    value: object
    version: int


class Tables:
    """Store rows and apply conditional transactions.

    All rows share one version counter, incremented by each transaction.
    """

    def __init__(self):
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[Change] = []
        self._history_start = 0
        self.version = 0
        self.transactions = 0
        self.writes = 0
        self.reads = 0

    def commit(self, expected, puts, removes=()):
        """Return (True, changes), or (False, current rows) on conflict.

        expected holds (name, version) pairs, puts (name, value) pairs and
        removes names; a name is (table, partition, key), and version 0 means
        that the row does not exist.
        """
        if not self._match(expected):
            return False, [
                self.find(name) for name, _ in expected if name in self._rows
            ]
        self.version += 1
        self.transactions += 1
        self.writes += len(puts) + len(removes)
        changes = [Change(*name, value, self.version) for name, value in puts]
        changes += [Change(*name, None, self.version) for name in removes]
        for change in changes:
            self._apply(change)
        return True, changes

    def find(self, name):
        """Return a row as a Change; its value is None if it is missing."""
        row = self._rows.get(name, StoredRow(None, 0))
        return Change(*name, row.value, row.version)

    def list_rows(self, table, partition, start='', end=None):
        """Return the rows of a partition in a key range, sorted by key."""
        self.reads += 1
        return [
            self.find(name)
            for name in sorted(self._rows)
            if name[:2] == (table, partition)
            and name[2] >= start
            and (end is None or name[2] < end)
        ]

    def list_partitions(self, table):
        """Return the sorted partitions of a table."""
        return sorted({name[1] for name in self._rows if name[0] == table})

    def changes_after(self, table, version):
        """Return the changes after a version, or None if truncated."""
        if not self._history_start <= version <= self.version:
            return None
        return [
            change
            for change in self._history
            if change.table == table and change.version > version
        ]

    def forget_history(self):
        """Truncate the change history, as the platform may at any time."""
        self._history.clear()
        self._history_start = self.version

    def copy(self):
        """Return a copy of the current rows and version."""
        return dict(self._rows), self.version

    def restore(self, copied):
        """Go back to a copy; versions given out since are given out again."""
        rows, self.version = copied
        self._rows = dict(rows)
        self._history = [c for c in self._history if c.version <= self.version]

    def transact(self, writes):
        """Return (committed, rows) for writes of JSON values.

        On conflict, the rows are those whose versions did not match.
        """
        names = [(w.table, '', w.key) for w in writes]
        expected = [
            (name, w.expected_version)
            for name, w in zip(names, writes, strict=True)
        ]
        puts = [(name, w.value) for name, w in zip(names, writes, strict=True)]
        committed, _ = self.commit(expected, puts)
        if committed:
            return True, [self._read_row(name) for name in names]
        return False, [
            self._read_row(name)
            for name, version in expected
            if self._version_of(name) != version
        ]

    def read(self, table, key):
        """Return the row of a key, with version 0 if it is missing."""
        self.reads += 1
        return self._read_row((table, '', key))

    def list_prefix(self, table, prefix):
        """Return the rows with a key prefix, sorted by key."""
        return [
            self._read_row((row.table, row.partition, row.key))
            for row in self.list_rows(table, '')
            if row.key.startswith(prefix)
        ]

    def _match(self, expected):
        return all(self._version_of(name) == v for name, v in expected)

    def _version_of(self, name):
        row = self._rows.get(name)
        return row.version if row else 0

    def _apply(self, change):
        name = (change.table, change.partition, change.key)
        if change.value is None:
            self._rows.pop(name, None)
        else:
            self._rows[name] = StoredRow(change.value, change.version)
        self._history.append(change)

    def _read_row(self, name):
        row = self.find(name)
        return {'key': row.key, 'value': row.value, 'version': row.version}
