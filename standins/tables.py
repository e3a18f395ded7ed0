"""Keep rows in memory as the platform's table service does."""

from __future__ import annotations

import typing


class StoredRow(typing.NamedTuple):
    """Hold the value and version of one row."""

    value: dict
    version: int


class Tables:
    """Apply transactions of conditional writes."""

    def __init__(self):
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self.transactions = 0
        self.writes = 0
        self.reads = 0

    def transact(self, writes):
        """Return (committed, rows); conflicting rows when not committed."""
        conflicts = [w for w in writes if not self._matches(w)]
        if conflicts:
            return False, [self._present(w.table, w.key) for w in conflicts]
        self.transactions += 1
        self.writes += len(writes)
        return True, [self._apply(w) for w in writes]

    def read(self, table, key):
        """Return the row of a key, with version 0 when there is none."""
        self.reads += 1
        return self._present(table, key)

    def scan(self, table, prefix):
        """Return the rows whose keys start with a prefix, in order."""
        self.reads += 1
        return [
            self._present(table, key)
            for name, key in sorted(self._rows)
            if name == table and key.startswith(prefix)
        ]

    def _matches(self, write):
        row = self._rows.get((write.table, write.key))
        return write.expected_version == (row.version if row else 0)

    def _apply(self, write):
        row = StoredRow(write.value, write.expected_version + 1)
        self._rows[(write.table, write.key)] = row
        return self._present(write.table, write.key)

    def _present(self, table, key):
        row = self._rows.get((table, key))
        value, version = (row.value, row.version) if row else (None, 0)
        return {'key': key, 'value': value, 'version': version}
