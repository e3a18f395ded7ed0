"""Split a stream of server-sent events into whole events."""

from __future__ import annotations

import typing

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'


class StreamEvent(typing.NamedTuple):
    """Hold the bytes of a whole event and its id, if it has one."""

    data: bytes
    id: int | None


class EventSplitter:
    """Keep the bytes of an event until it is whole."""

    def __init__(self):
        self._rest = b''

    @property
    def rest(self):
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data):
        """Return the events that the bytes complete."""
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
