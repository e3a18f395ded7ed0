"""Split a byte stream into server-sent events."""

from __future__ import annotations

import typing

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'


class StreamEvent(typing.NamedTuple):
    """Store the raw bytes of one event and its id, if it has a numeric one."""

    data: bytes
    id: int | None


class EventSplitter:
    """Buffer stream data until an event is complete."""

    def __init__(self):
        self._rest = b''

    @property
    def rest(self):
        """Return the buffered bytes of the incomplete last event."""
        return self._rest

    def feed(self, data):
        """Add a chunk and return the events that it completes."""
        parts = (self._rest + data).split(SEPARATOR)
        self._rest = parts.pop()
        return [
            StreamEvent(part + SEPARATOR, _read_id(part)) for part in parts
        ]


def _read_id(part):
    for line in part.split(b'\n'):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
