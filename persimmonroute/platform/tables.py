"""Call the platform's table service by its published protocol."""

from __future__ import annotations

import base64
import json
import typing
import urllib.parse


from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.platform import connection

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
# Time beyond the asked wait after which a watch counts as silent.
WATCH_GRACE_S = 1.0
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_HISTORY_LOST = 410
IDLE_CONNECTIONS = 4


class TableRow(typing.NamedTuple):
    """Hold one row; the value of a removed row is None."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Page(typing.NamedTuple):
    """Hold the rows of an answer and the newest version of the store."""

    rows: tuple[TableRow, ...]
    version: int
    # Earliest time by the own clock at which the store can have given
    # the answer, in seconds.
    answered_at: float


class StoreClock:
    """Tell when the store gave an answer, by the own steady clock.

    Each answer bears the time of the store's steady clock. The store can
    not have answered before it was asked, so the latest moment of asking
    against the store's clock bounds the difference of the clocks.
    """

    def __init__(self):
        self._least_offset_s = None

    def earliest_answer_time(self, store_s, requested_at, received_at):
        """Return the earliest own time at which an answer was given."""
        offset = requested_at - store_s
        known = self._least_offset_s
        if known is None or store_s + known > received_at:
            # Before the first answer, or the store's clock began anew.
            known = offset
        self._least_offset_s = max(known, offset)
        return store_s + self._least_offset_s


class RowWrite(typing.NamedTuple):
    """Write a row if its version is the expected one; 0 for no row.

    Without an expected version the row is written in any case.
    """

    table: str
    part: str
    key: str
    value: bytes
    expected_version: int | None = None


class TableClient:
    """Reach the tables of the platform's store at one address."""

    def __init__(self, address):
        self._address = address
        self._clock = StoreClock()
        self._idle = []

    async def read(self, table, part='', start=None, end=None):
        """Return a Page with all rows of a part, as of several moments.

        The version is that of the first answer, so that a watch from
        there misses no change.
        """
        rows, first, more = [], None, True
        while more:
            query = {'Table': table, 'part': part}
            if start is not None:
                query['From'] = start
            if end is not None:
                query['To'] = end
            requested_at = clock.now_s()
            _, answer = await self._call('GET', '/rows-get', query)
            page = self._read_page(answer, requested_at)
            rows += page.rows
            first = first or page
            more = bool(answer.get('HasMore')) and bool(page.rows)
            if more:
                start = page.rows[-1].key + '\x00'
        return first._replace(rows=tuple(rows))

    async def watch(self, table, after, wait_s):
        """Return a Page with the changes of a table behind a version.

        Raises HistoryLostError when the store no longer has them.
        """
        query = {
            'Table': table,
            'After': after,
            'WaitMs': int(wait_s * 1000),
        }
        requested_at = clock.now_s()
        status, answer = await self._call(
            'GET',
            '/rows-feed',
            query,
            timeout_s=wait_s + WATCH_GRACE_S,
            accepted=(STATUS_OK, STATUS_HISTORY_LOST),
        )
        if status == STATUS_HISTORY_LOST:
            raise exceptions.HistoryLostError(
                f'changes of {table!r} behind {after} are gone'
            )
        return self._read_page(answer, requested_at)

    async def transact(self, writes):
        """Write rows all or none; return (committed, conflicting rows)."""
        body = {
            'ExpectedRevision': [
                {**_row_name(w), 'ObjectVersion': w.expected_version}
                for w in writes
                if w.expected_version is not None
            ],
            'Puts': [
                {
                    **_row_name(w),
                    'Value': base64.b64encode(w.value).decode(),
                }
                for w in writes
            ],
            'Remove': [],
        }
        status, answer = await self._call(
            'POST',
            '/rows-tx',
            {},
            body,
            accepted=(STATUS_OK, STATUS_CONFLICT),
        )
        if status == STATUS_CONFLICT:
            return False, _rows(answer)
        return True, answer['ObjectVersion']

    def close(self):
        """Close all connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _read_page(self, answer, requested_at):
        try:
            answered_at = self._clock.earliest_answer_time(
                answer['NowMs'] / 1000, requested_at, clock.now_s()
            )
            return Page(_rows(answer), answer['ObjectVersion'], answered_at)
        except (KeyError, TypeError) as error:
            raise exceptions.PlatformUnavailableError(
                f'an answer of the store lacks a field: {error!r}'
            ) from error

    async def _call(
        self,
        method,
        path,
        query,
        body=None,
        timeout_s=CALL_TIMEOUT_S,
        accepted=(STATUS_OK,),
    ):
        target = path
        if query:
            target += '?' + urllib.parse.urlencode(query)
        data = b'' if body is None else json.dumps(body).encode()
        try:
            status, answer = await self._exchange(
                method, target, data, timeout_s
            )
            if status not in accepted:
                raise exceptions.PlatformUnavailableError(
                    f'{method} {path} gave status {status}'
                )
            return status, json.loads(answer) if answer else {}
        except (
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
            TimeoutError,
            ValueError,
        ) as error:
            raise exceptions.PlatformUnavailableError(
                f'{method} {path} failed: {error!r}'
            ) from error

    async def _exchange(self, method, target, data, timeout_s):
        conn = await self._take_connection()
        kept = False
        headers = [('host', self._address)]
        if data:
            headers += [
                ('content-type', 'application/json'),
                ('content-length', str(len(data))),
            ]
        try:
            conn.send_request(method, target, headers, data)
            status, answer = await connection.read_response(conn, timeout_s)
            kept = conn.finish()
            return status, answer
        finally:
            if kept and len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append(conn)
            else:
                conn.abort()

    async def _take_connection(self):
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
            conn.abort()
        return await connection.open_connection(
            self._address, CONNECT_TIMEOUT_S
        )


def _row_name(write):
    return {'Table': write.table, 'part': write.part, 'Key': write.key}


def _rows(answer):
    try:
        return tuple(_row(row) for row in answer['Rows'])
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.PlatformUnavailableError(
            f'the rows of the store cannot be read: {error!r}'
        ) from error


def _row(row):
    removed = bool(row.get('Removed'))
    value = None if removed else base64.b64decode(row.get('Value') or '')
    return TableRow(
        row.get('Table', ''),
        row.get('part', ''),
        row['Key'],
        value,
        row.get('ObjectVersion', 0),
    )
