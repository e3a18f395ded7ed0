"""Store revisions of the declarations in the table service."""

from __future__ import annotations

import typing

from returns import result

from persimmonroute import exceptions
from persimmonroute import operators
from persimmonroute import store
from persimmonroute.store import StoreStatus

TABLE = 'configuration'
CURRENT_KEY = 'current'
# Holds only the number of the current revision, which is cheap to poll.
HEAD_KEY = 'head'
REVISION_PREFIX = 'revision/'
CHANGE_PREFIX = 'change/'
OPERATOR_KEY = 'operator'
MAX_ATTEMPTS = 8


class Revision(typing.NamedTuple):
    """Store one accepted revision of the declarations."""

    number: int
    change: str
    document: str
    version: int
    signature: str = ''
    chain: tuple[operators.Handover, ...] = ()

    def to_bytes(self):
        """Encode the revision for other processes, with any signature."""
        if not self.signature:
            return self.document.encode()
        return operators.SignedRevision(
            self.number, self.document, self.signature, self.chain
        ).to_bytes()


NO_REVISION = Revision(0, '', '', 0)


class OperatorRow(typing.NamedTuple):
    """Store the first operator's public key and the handovers since."""

    root_key: str
    chain: tuple[operators.Handover, ...]
    version: int

    @property
    def public_key(self):
        """Return the current operator's public key, empty if there is none."""
        return operators.current_operator_key(self.chain, self.root_key)

    def to_value(self):
        """Encode the value of the row."""
        chain = [handover._asdict() for handover in self.chain]
        return {'root_key': self.root_key, 'chain': chain}


NO_OPERATOR = OperatorRow('', (), 0)


class ConfigurationStore:
    """Read revisions and write them by compare-and-set.

    Each transaction also checks the version of the operator row, so that a
    late write of an operator cannot take effect after their handover.
    """

    def __init__(self, tables, key=None):
        self._tables = tables
        self._key = key
        self._last_written = NO_REVISION

    @property
    def last_written(self):
        """Return the Revision of the last write attempt."""
        return self._last_written

    async def read_current(self):
        """Return the current Revision as a Result."""
        lookup = await self._read_row(CURRENT_KEY)
        return lookup.map(
            lambda row: _decode_revision(row) if row else NO_REVISION
        )

    async def read_head(self):
        """Return the number of the current revision as a Result."""
        lookup = await self._read_row(HEAD_KEY)
        return lookup.map(lambda row: row.value['revision'] if row else 0)

    async def read_operator(self):
        """Return the OperatorRow as a Result."""
        lookup = await self._read_row(OPERATOR_KEY)
        return lookup.map(
            lambda row: _decode_operator(row) if row else NO_OPERATOR
        )

    async def read_history(self):
        """Return all revisions, oldest first, as a Result."""
        reply = await self._tables.scan(TABLE, REVISION_PREFIX)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        return result.Success([_decode_revision(row) for row in reply.rows])

    async def publish(self, document, change, base=None):
        """Publish a document; return its revision number as a Result.

        The base is the revision that the change was made against, by
        default the current one. The change ID makes retries idempotent: a
        write whose response was lost is found by it.
        """
        return await self._commit_change(document, change, base, None)

    async def hand_over(self, public_key, change):
        """Transfer the operator role; return a revision number as a Result."""
        return await self._commit_change(None, change, None, public_key)

    async def _commit_change(self, document, change, base, new_key):
        for _ in range(MAX_ATTEMPTS):
            lookup = await self._find_change(change)
            if isinstance(lookup, result.Failure):
                continue
            if lookup.unwrap():
                return lookup
            current_result = await self.read_current()
            operator_result = await self.read_operator()
            if not _all_succeeded(current_result, operator_result):
                continue
            rejection = self._check_operator(operator_result.unwrap(), new_key)
            if rejection is not None:
                return result.Failure(rejection)
            current = current_result.unwrap()
            if new_key is None and current.document == document:
                return result.Success(current.number)
            base = current.number if base is None else base
            if base != current.number:
                return await self._resolve_conflict(change, current, base)
            new_document = current.document if document is None else document
            await self._write(
                current,
                operator_result.unwrap(),
                new_document,
                change,
                new_key,
            )
        return result.Failure(_unavailable())

    def _check_operator(self, operator, new_key):
        if operator == NO_OPERATOR:
            if new_key is not None and self._key is None:
                return exceptions.NotOperatorError(
                    'no operator has published a revision yet'
                )
            return None
        if self._key is None:
            return exceptions.NotOperatorError(
                'changes must be signed by the current operator'
            )
        if self._key.public_key != operator.public_key:
            return exceptions.NotOperatorError(
                'another operator holds the operator role'
            )
        return None

    async def _read_row(self, key):
        reply = await self._tables.read(TABLE, key)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        return result.Success(reply.rows[0] if reply.rows else None)

    async def _find_change(self, change):
        """Return the revision of a change ID, 0 if there is none."""
        lookup = await self._read_row(CHANGE_PREFIX + change)
        return lookup.map(lambda row: row.value['revision'] if row else 0)

    async def _resolve_conflict(self, change, current, base):
        # An earlier write of this change may have taken effect meanwhile.
        lookup = await self._find_change(change)
        if isinstance(lookup, result.Failure) or lookup.unwrap():
            return lookup
        return result.Failure(
            exceptions.RevisionConflictError(
                f'revision {current.number} is current, not the base {base}',
                f'rebase on revision {current.number} and apply again',
            )
        )

    async def _write(self, current, operator, document, change, new_key):
        number = current.number + 1
        operator = self._updated_operator(operator, number, new_key)
        value = {'revision': number, 'change': change, 'document': document}
        if self._key is not None:
            value['signature'] = self._key.sign_revision(number, document)
            value['chain'] = operator.to_value()['chain']
        self._last_written = _decode_revision(store.Row(CURRENT_KEY, value, 0))
        history_key = f'{REVISION_PREFIX}{number:012}'
        change_key = CHANGE_PREFIX + change
        writes = [
            store.Write(TABLE, CURRENT_KEY, value, current.version),
            store.Write(
                TABLE, HEAD_KEY, {'revision': number}, current.version
            ),
            store.Write(TABLE, history_key, value, 0),
            store.Write(TABLE, change_key, {'revision': number}, 0),
        ]
        if operator != NO_OPERATOR:
            writes.append(
                store.Write(
                    TABLE, OPERATOR_KEY, operator.to_value(), operator.version
                )
            )
        await self._tables.transact(tuple(writes))

    def _updated_operator(self, operator, number, new_key):
        if self._key is None:
            return operator
        if operator == NO_OPERATOR:
            operator = OperatorRow(self._key.public_key, (), 0)
        if new_key is None:
            return operator
        handover = self._key.sign_handover(number, new_key)
        return operator._replace(chain=(*operator.chain, handover))


def _all_succeeded(*results):
    return all(isinstance(item, result.Success) for item in results)


def _decode_operator(row):
    chain = tuple(operators.Handover(**item) for item in row.value['chain'])
    return OperatorRow(row.value['root_key'], chain, row.version)


def _decode_revision(row):
    value = row.value
    chain = value.get('chain', ())
    return Revision(
        value['revision'],
        value['change'],
        value['document'],
        row.version,
        value.get('signature', ''),
        tuple(operators.Handover(**item) for item in chain),
    )


def _unavailable():
    return exceptions.PlatformUnavailableError(
        'the table service did not complete the call'
    )
