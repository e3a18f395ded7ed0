"""Split a byte stream into server-sent events."""

from __future__ import annotations

import typing

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'
COMMENT = b':'
CONTENT_TYPE = b'text/event-stream'


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
        """Return the buffered bytes that complete no event."""
        return self._rest

    @property
    def in_event(self):
        """Return whether the buffered bytes belong to an incomplete event.

        Blank lines and comments belong to none.
        """
        lines = self._rest.splitlines()
        return any(line and not line.startswith(COMMENT) for line in lines)

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
