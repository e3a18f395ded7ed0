"""Call the platform's table service over its HTTP protocol."""

from __future__ import annotations

import base64
import json
import typing
import urllib.parse


from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute import http_connection
from persimmonroute import json_text
from persimmonroute import loop_lanes
from persimmonroute.platform import names

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
# Added to the long-poll wait before a watch times out.
WATCH_GRACE_S = 1.0
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_HISTORY_LOST = 410
MAX_IDLE_CONNECTIONS = 4


class TableRow(typing.NamedTuple):
    """Store one row; the value of a removed row is None."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Page(typing.NamedTuple):
    """Store the rows of a response and the store version it reflects."""

    rows: tuple[TableRow, ...]
    version: int
    # Lower bound of the time at which the store responded, in seconds of
    # the local monotonic clock.
    responded_at: float
    # Number of times that the store was restored from an older copy;
    # versions of different eras cannot be compared.
    era: int = 0


class StoreClock:
    """Convert timestamps of the store to the local monotonic clock.

    Each response carries a timestamp of the store's monotonic clock. The
    store cannot respond before the request is sent, so the largest observed
    difference between the local send time and the store's timestamp is a
    lower bound of the clock offset.
    """

    def __init__(self):
        self._min_offset_s = None

    def earliest_response_time(self, store_time_s, requested_at, received_at):
        """Return the earliest local time at which the store responded."""
        offset = requested_at - store_time_s
        min_offset_s = self._min_offset_s
        if min_offset_s is None or store_time_s + min_offset_s > received_at:
            # First response, or the store's clock was reset.
            min_offset_s = offset
        self._min_offset_s = max(min_offset_s, offset)
        return store_time_s + self._min_offset_s

    def to_store_s(self, local_s):
        """Return the store's time at a local time, or None if unknown."""
        if self._min_offset_s is None:
            return None
        return local_s - self._min_offset_s

    def to_local_s(self, store_s):
        """Return the local time at a time of the store, or None."""
        if self._min_offset_s is None:
            return None
        return store_s + self._min_offset_s


class RowWrite(typing.NamedTuple):
    """Write one row if its current version equals the expected version.

    Version 0 expects that the row does not exist; None writes the row
    unconditionally. A value of None removes the row.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    expected_version: int | None = None


class TableClient:
    """Read, watch and write tables of the store at one address."""

    def __init__(self, address):
        self._address = address
        self._clock = StoreClock()
        # None until the first response.
        self._era = None
        self._idle_connections = []

    @property
    def clock(self):
        """Return the StoreClock of the present era."""
        return self._clock

    @property
    def era(self):
        """Return the era of the last response, or None before the first."""
        return self._era

    async def read(self, table, part='', start=None, end=None):
        """Return a Page with all rows of one part of a table.

        The rows are fetched page by page and are no consistent snapshot. The
        version is that of the first page, so a watch that starts there
        misses no change.
        """
        rows, first_page, has_more = [], None, True
        while has_more:
            query = {'Table': table, 'part': part}
            if start is not None:
                query['From'] = start
            if end is not None:
                query['To'] = end
            requested_at = clock.now_s()
            _, response = await self._call('GET', '/rows-get', query)
            page = self._decode_page(response, requested_at)
            rows += page.rows
            first_page = first_page or page
            if page.era != first_page.era:
                raise exceptions.PlatformUnavailableError(
                    f'the store was restored while {table!r} was read'
                )
            has_more = bool(response.get('HasMore')) and bool(page.rows)
            if has_more:
                start = page.rows[-1].key + '\x00'
        return first_page._replace(rows=tuple(rows))

    async def watch(self, table, after, wait_s):
        """Return a Page with the changes of a table after a version.

        Raises HistoryLostError if the store has discarded those changes.
        """
        query = {
            'Table': table,
            'After': after,
            'WaitMs': int(wait_s * 1000),
        }
        requested_at = clock.now_s()
        status, response = await self._call(
            'GET',
            '/rows-feed',
            query,
            timeout_s=wait_s + WATCH_GRACE_S,
            accepted=(STATUS_OK, STATUS_HISTORY_LOST),
        )
        if status == STATUS_HISTORY_LOST:
            raise exceptions.HistoryLostError(
                f'changes of {table!r} after version {after} were discarded'
            )
        return self._decode_page(response, requested_at)

    async def transact(self, writes):
        """Write rows atomically; return (committed, version or conflicts)."""
        body = {
            'ExpectedRevision': [
                {**_encode_row_id(w), 'ObjectVersion': w.expected_version}
                for w in writes
                if w.expected_version is not None
            ],
            'Puts': [
                {
                    **_encode_row_id(w),
                    'Value': base64.b64encode(w.value).decode(),
                }
                for w in writes
                if w.value is not None
            ],
            'Remove': [_encode_row_id(w) for w in writes if w.value is None],
        }
        status, response = await self._call(
            'POST',
            '/rows-tx',
            {},
            body,
            accepted=(STATUS_OK, STATUS_CONFLICT),
        )
        if status == STATUS_CONFLICT:
            return False, _decode_rows(response)
        return True, response['ObjectVersion']

    def close(self):
        """Close all idle connections."""
        for conn in self._idle_connections:
            conn.close()
        self._idle_connections.clear()

    def _decode_page(self, response, requested_at):
        try:
            responded_at = self._clock.earliest_response_time(
                response['NowMs'] / 1000, requested_at, clock.now_s()
            )
            return Page(
                _decode_rows(response),
                response['ObjectVersion'],
                responded_at,
                self._era,
            )
        except (KeyError, TypeError) as error:
            raise exceptions.PlatformUnavailableError(
                f'malformed response of the table service: {error!r}'
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
            status, response = await self._exchange(
                method, target, data, timeout_s
            )
            if status not in accepted:
                raise exceptions.PlatformUnavailableError(
                    f'{method} {path} returned status {status}'
                )
            return status, json_text.parse(response) if response else {}
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
        reusable = False
        headers = [('host', self._address)]
        if data:
            headers += [
                ('content-type', 'application/json'),
                ('content-length', str(len(data))),
            ]
        try:
            conn.send_request(method, target, headers, data)
            response = await http_connection.read_response(conn, timeout_s)
            reusable = conn.finish()
            self._record_era(response.headers)
            return response.status, response.body
        finally:
            if reusable and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
                self._idle_connections.append(conn)
            else:
                conn.abort()

    def _record_era(self, headers):
        """Store the era of a response; reject one of an earlier era."""
        era = int(headers.get(names.STORE_ERA, b'0'))
        if self._era is not None and era < self._era:
            raise ValueError(
                f'response of store era {era} received in era {self._era}'
            )
        if self._era is not None and era > self._era:
            # The restored store's clock may differ, too.
            self._clock = StoreClock()
        self._era = era

    async def _take_connection(self):
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.reusable:
                return conn
            conn.abort()
        # Whoever opens it, others use it later.
        return await loop_lanes.run_in(
            loop_lanes.Lane.CONTROL,
            http_connection.open_connection(self._address, CONNECT_TIMEOUT_S),
        )


def _encode_row_id(write):
    return {'Table': write.table, 'part': write.part, 'Key': write.key}


def _decode_rows(response):
    try:
        return tuple(_decode_row(row) for row in response['Rows'])
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.PlatformUnavailableError(
            f'cannot decode rows of the table service: {error!r}'
        ) from error


def _decode_row(row):
    removed = bool(row.get('Removed'))
    value = None if removed else _decode_value(row.get('Value') or '')
    return TableRow(
        row.get('Table', ''),
        row.get('part', ''),
        row['Key'],
        value,
        row.get('ObjectVersion', 0),
    )


def _decode_value(text):
    """Return the bytes of a value; those of an unreadable one are empty.

    Whoever reads the row refuses it then, and the other rows are used.
    """
    try:
        return base64.b64decode(text)
    except (TypeError, ValueError):
        return b''
