"""Exchange table rows between gateways while the store is unavailable."""

from __future__ import annotations

import asyncio
import base64
import typing

import h11

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import peer_reading
from persimmonroute import json_text
from persimmonroute import logs

log = logs.EventLog(__name__)

# Timeout for one peer; the rows of the others are used instead.
CALL_TIMEOUT_S = 0.5
MAX_AGE_S = 86_400.0


class Snapshot(typing.NamedTuple):
    """Store the rows of a table by key, as of a version of an era."""

    values: dict[str, bytes]
    version: int = 0
    era: int = 0


class PeerRows(typing.NamedTuple):
    """Store the rows of a peer and when they were last known to be current."""

    values: dict[str, bytes]
    confirmed_at: float
    # Version of the rows, and era of the store that it belongs to.
    version: int = 0
    era: int = 0

    @property
    def order(self):
        """Return a key that is greatest for the newest rows."""
        return self.era, self.version, self.confirmed_at


class PeerRowsClient:
    """Read rows from other gateways; seeds are those in the settings."""

    def __init__(self, addresses, own_address, open_connection, read_response):
        self._addresses = [a for a in addresses if a != own_address]
        self._open_connection = open_connection
        self._read_response = read_response

    async def read(self, table):
        """Return the newest PeerRows of a table that seeds have, or None."""
        results = await asyncio.gather(
            *(self.read_from(address, table) for address in self._addresses)
        )
        received = [rows for rows in results if rows is not None]
        return max(received, key=lambda r: r.order, default=None)

    async def read_from(self, address, table):
        """Return the PeerRows of one gateway, or None if it has none."""
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


def encode_rows(snapshot, age_s):
    """Encode a Snapshot and its age in seconds as a JSON document."""
    return {
        'age_s': min(max(age_s, 0.0), MAX_AGE_S),
        'version': snapshot.version,
        'era': snapshot.era,
        'rows': {
            key: base64.b64encode(value).decode()
            for key, value in snapshot.values.items()
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
        return PeerRows(
            values,
            requested_at - age_s,
            peer_reading.read_integer(int(document.get('version', 0))),
            peer_reading.read_number(
                int(document.get('era', 0)), 0, peer_reading.MAX_ERA
            ),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise exceptions.DocumentError(
            f'cannot decode the rows of a peer: {error!r}'
        ) from error
