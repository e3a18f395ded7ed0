"""Exchange table rows between gateways while the store is unavailable."""

from __future__ import annotations

import asyncio
import base64
import typing

import h11

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import json_text
from persimmonroute import logs

log = logs.EventLog(__name__)

# Timeout for one peer; the rows of the others are used instead.
CALL_TIMEOUT_S = 0.5
MAX_AGE_S = 86_400.0


class PeerRows(typing.NamedTuple):
    """Store the rows of a peer and when they were last known to be current."""

    values: dict[str, bytes]
    confirmed_at: float


class PeerRowsClient:
    """Read rows from the seed gateways in the settings."""

    def __init__(self, addresses, own_address, open_connection, read_response):
        self._addresses = [a for a in addresses if a != own_address]
        self._open_connection = open_connection
        self._read_response = read_response

    async def read(self, table):
        """Return the most recently confirmed PeerRows of a table, or None."""
        results = await asyncio.gather(
            *(self._read_from(address, table) for address in self._addresses)
        )
        received = [rows for rows in results if rows is not None]
        return max(received, key=lambda r: r.confirmed_at, default=None)

    async def _read_from(self, address, table):
        requested_at = clock.now_s()
        try:
            document = json_text.parse(await self._call(address, table))
            return decode_rows(document, requested_at)
        except (
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
            exceptions.DocumentError,
            TimeoutError,
            ValueError,
            h11.LocalProtocolError,
        ) as error:
            # Seeds may be outdated or down; the others are queried too.
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
            response = await self._read_response(conn, CALL_TIMEOUT_S)
            if response.status != 200:
                raise exceptions.DocumentError(
                    f'unexpected status {response.status}'
                )
            return response.body
        finally:
            conn.abort()


def encode_rows(values, age_s):
    """Encode rows and their age in seconds as a JSON document."""
    return {
        'age_s': min(max(age_s, 0.0), MAX_AGE_S),
        'rows': {
            key: base64.b64encode(value).decode()
            for key, value in values.items()
        },
    }


def decode_rows(document, requested_at):
    """Decode a JSON document into PeerRows, or raise DocumentError.

    The peer responded after requested_at, so the age counts back from then.
    """
    try:
        values = {
            key: base64.b64decode(value)
            for key, value in document['rows'].items()
        }
        age_s = float(document['age_s'])
        # Rules out NaN, which compares false with everything.
        if not 0.0 <= age_s <= MAX_AGE_S:
            raise ValueError(f'the age of {age_s} s is out of range')
        return PeerRows(values, requested_at - age_s)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise exceptions.DocumentError(
            f'cannot decode the rows of a peer: {error!r}'
        ) from error
