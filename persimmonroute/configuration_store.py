"""Publish declarations as revisions in the table service."""

from __future__ import annotations

import typing

from returns import result

from persimmonroute import exceptions
from persimmonroute import operators
from persimmonroute import store
from persimmonroute.store import StoreStatus

TABLE = 'configuration'
CURRENT_KEY = 'current'
# Only the number of the current revision, for those that poll.
HEAD_KEY = 'head'
REVISION_PREFIX = 'revision/'
CHANGE_PREFIX = 'change/'
OPERATOR_KEY = 'operator'
MAX_TRIES = 8


class Revision(typing.NamedTuple):
    """Hold one accepted revision of the declarations."""

    number: int
    change: str
    document: str
    version: int
    signature: str = ''
    chain: tuple[operators.Handover, ...] = ()

    def to_bytes(self):
        """Return what processes are told: signed if it is signed."""
        if not self.signature:
            return self.document.encode()
        return operators.SignedRevision(
            self.number, self.document, self.signature, self.chain
        ).to_bytes()


NO_REVISION = Revision(0, '', '', 0)


class OperatorRow(typing.NamedTuple):
    """Hold who operates: the first key and the handovers since."""

    root_key: str
    chain: tuple[operators.Handover, ...]
    version: int

    @property
    def public_key(self):
        """Return the key of the present operator, empty if unsigned."""
        return operators.find_operator_key(self.chain, self.root_key)

    def to_value(self):
        """Return the value of the row."""
        chain = [handover._asdict() for handover in self.chain]
        return {'root_key': self.root_key, 'chain': chain}


NO_OPERATOR = OperatorRow('', (), 0)


class ConfigurationStore:
    """Read and write revisions by compare-and-set.

    Each transaction also names the version of the operator's row, so that
    no change of an operator takes effect after their handover.
    """

    def __init__(self, tables, key=None):
        self._tables = tables
        self._key = key
        self._last_written = NO_REVISION

    @property
    def last_written(self):
        """Return the Revision that was last sent to be written."""
        return self._last_written

    async def read_current(self):
        """Return the current Revision as a Result."""
        found = await self._read_row(CURRENT_KEY)
        return found.map(lambda row: _revision(row) if row else NO_REVISION)

    async def read_head(self):
        """Return the number of the current revision as a Result."""
        found = await self._read_row(HEAD_KEY)
        return found.map(lambda row: row.value['revision'] if row else 0)

    async def read_operator(self):
        """Return the OperatorRow as a Result."""
        found = await self._read_row(OPERATOR_KEY)
        return found.map(lambda row: _operator(row) if row else NO_OPERATOR)

    async def read_history(self):
        """Return all revisions, oldest first, as a Result."""
        reply = await self._tables.scan(TABLE, REVISION_PREFIX)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        return result.Success([_revision(row) for row in reply.rows])

    async def publish(self, document, change, base=None):
        """Return the number of the accepted revision as a Result.

        The base is the revision that the change was made against, by
        default the current one. A write whose answer is lost is read
        back by its change.
        """
        return await self._change(document, change, base, None)

    async def hand_over(self, public_key, change):
        """Give the operation to another key; return the revision."""
        return await self._change(None, change, None, public_key)

    async def _change(self, document, change, base, new_key):
        for _ in range(MAX_TRIES):
            found = await self._find_change(change)
            if isinstance(found, result.Failure):
                continue
            if found.unwrap():
                return found
            current = await self.read_current()
            operator = await self.read_operator()
            if not _all_found(current, operator):
                continue
            refusal = self._find_refusal(operator.unwrap(), new_key)
            if refusal is not None:
                return result.Failure(refusal)
            present = current.unwrap()
            if new_key is None and present.document == document:
                return result.Success(present.number)
            base = present.number if base is None else base
            if base != present.number:
                return await self._resolve_conflict(change, present, base)
            wanted = present.document if document is None else document
            await self._write(
                present, operator.unwrap(), wanted, change, new_key
            )
        return result.Failure(_unavailable())

    def _find_refusal(self, operator, new_key):
        if operator == NO_OPERATOR:
            if new_key is not None and self._key is None:
                return exceptions.NotOperatorError('nobody operates yet')
            return None
        if self._key is None:
            return exceptions.NotOperatorError('the change is not signed')
        if self._key.public_key != operator.public_key:
            return exceptions.NotOperatorError(
                'the operation is in the hands of another operator'
            )
        return None

    async def _read_row(self, key):
        reply = await self._tables.read(TABLE, key)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        return result.Success(reply.rows[0] if reply.rows else None)

    async def _find_change(self, change):
        """Return the revision of a change, 0 if there is none."""
        found = await self._read_row(CHANGE_PREFIX + change)
        return found.map(lambda row: row.value['revision'] if row else 0)

    async def _resolve_conflict(self, change, present, base):
        # The own write may have taken effect since the change was sought.
        found = await self._find_change(change)
        if isinstance(found, result.Failure) or found.unwrap():
            return found
        return result.Failure(
            exceptions.RevisionConflictError(
                f'revision {present.number} is in force, not {base}',
                f'rebase on revision {present.number} and apply again',
            )
        )

    async def _write(self, present, operator, document, change, new_key):
        number = present.number + 1
        operator = self._next_operator(operator, number, new_key)
        value = {'revision': number, 'change': change, 'document': document}
        if self._key is not None:
            value['signature'] = self._key.sign_revision(number, document)
            value['chain'] = operator.to_value()['chain']
        self._last_written = _revision(store.Row(CURRENT_KEY, value, 0))
        history_key = f'{REVISION_PREFIX}{number:012}'
        change_key = CHANGE_PREFIX + change
        writes = [
            store.Write(TABLE, CURRENT_KEY, value, present.version),
            store.Write(
                TABLE, HEAD_KEY, {'revision': number}, present.version
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

    def _next_operator(self, operator, number, new_key):
        if self._key is None:
            return operator
        if operator == NO_OPERATOR:
            operator = OperatorRow(self._key.public_key, (), 0)
        if new_key is None:
            return operator
        handover = self._key.sign_handover(number, new_key)
        return operator._replace(chain=(*operator.chain, handover))


def _all_found(*results):
    return all(isinstance(found, result.Success) for found in results)


def _operator(row):
    chain = tuple(operators.Handover(**item) for item in row.value['chain'])
    return OperatorRow(row.value['root_key'], chain, row.version)


def _revision(row):
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
        'the table service gave no usable answer'
    )
