"""Pass rows of the store between gateways while it is away."""

from __future__ import annotations

import asyncio
import base64
import json
import typing

import h11

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs

log = logs.EventLog(__name__)

# A peer that does not answer within this is passed over.
CALL_TIMEOUT_S = 0.5
LONGEST_AGE_S = 86_400.0


class PeerRows(typing.NamedTuple):
    """Hold rows that a peer has read, and when they were known to hold."""

    values: dict[str, bytes]
    confirmed_at: float


class PeerRowsClient:
    """Ask the gateways that the settings name."""

    def __init__(self, addresses, own_address, open_connection, read_answer):
        self._addresses = [a for a in addresses if a != own_address]
        self._open_connection = open_connection
        self._read_answer = read_answer

    async def read(self, table):
        """Return the youngest PeerRows of a table, or None."""
        answers = await asyncio.gather(
            *(self._ask(address, table) for address in self._addresses)
        )
        found = [rows for rows in answers if rows is not None]
        return max(found, key=lambda r: r.confirmed_at, default=None)

    async def _ask(self, address, table):
        asked_at = clock.now_s()
        try:
            document = json.loads(await self._call(address, table))
            return decode_rows(document, asked_at)
        except (
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
            exceptions.DocumentError,
            TimeoutError,
            ValueError,
            h11.LocalProtocolError,
        ) as error:
            # Seeds may be stale or down; others are asked as well.
            log.emit(
                Event.PEER_ROWS_UNAVAILABLE,
                address=address,
                problem=repr(error),
            )
            return None

    async def _call(self, address, table):
        conn = await self._open_connection(address, CALL_TIMEOUT_S)
        try:
            target = f'/rows/{table}'
            conn.send_request('GET', target, [('host', address)], b'')
            status, data = await self._read_answer(conn, CALL_TIMEOUT_S)
            if status != 200:
                raise exceptions.DocumentError(f'status {status}')
            return data
        finally:
            conn.abort()


def encode_rows(values, age_s):
    """Return the JSON document of rows and their age."""
    return {
        'age_s': min(age_s, LONGEST_AGE_S),
        'rows': {
            key: base64.b64encode(value).decode()
            for key, value in values.items()
        },
    }


def decode_rows(document, asked_at):
    """Return the PeerRows in a document, or raise DocumentError.

    The peer answered after it was asked, so the rows are dated from then.
    """
    try:
        values = {
            key: base64.b64decode(value)
            for key, value in document['rows'].items()
        }
        return PeerRows(values, asked_at - float(document['age_s']))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise exceptions.DocumentError(
            f'rows of a peer cannot be read: {error!r}'
        ) from error
