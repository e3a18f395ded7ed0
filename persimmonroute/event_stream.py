"""Split a byte stream into server-sent events."""

from __future__ import annotations

import re
import typing

from persimmonroute import exceptions

SEPARATOR = b'\n\n'
# Two line endings in a row, of any of the three kinds that streams may use.
_BLANK_LINE = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
MAX_BLANK_LINE_BYTES = 4
# A status line, and a header that is no field of an event.
_RESPONSE_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r?\n'
    rb'(?!data:|id:|event:|retry:)[\w-]+:'
)
ID_FIELD = b'id:'
# A longer id is no number of an event.
MAX_ID_DIGITS = 20
COMMENT = b':'
HTTP_VERSION = b'HTTP/1.'
# A longer event is taken for bytes without end.
MAX_EVENT_BYTES = 1_048_576
CONTENT_TYPE = b'text/event-stream'
STATUS_OK = 200


def is_stream_type(content_type):
    """Return whether a content type, as text, is that of event streams."""
    return content_type.lower().startswith(CONTENT_TYPE.decode())


def is_stream(status, content_type):
    """Return whether a response is an event stream and no error."""
    return status == STATUS_OK and is_stream_type(content_type)


class StreamEvent(typing.NamedTuple):
    """Store the raw bytes of one event and its id, if it has a numeric one."""

    data: bytes
    id: int | None

    @property
    def holds_response_head(self):
        """Return whether another HTTP response begins inside the event.

        In a body without a length nothing else tells it from the stream.
        """
        if self.data.startswith(HTTP_VERSION):
            return True
        return bool(
            HTTP_VERSION in self.data and _RESPONSE_HEAD.search(self.data)
        )

    @property
    def is_comment(self):
        """Return whether the event has no field, so that readers skip it."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(COMMENT) for line in lines)


class EventSplitter:
    """Buffer stream data until an event is complete."""

    def __init__(self):
        self._rest = bytearray()

    @property
    def rest(self):
        """Return the buffered bytes that complete no event."""
        return bytes(self._rest)

    @property
    def rest_size(self):
        """Return the number of the buffered bytes."""
        return len(self._rest)

    @property
    def in_event(self):
        """Return whether the buffered bytes belong to an incomplete event.

        Blank lines and comments belong to none.
        """
        lines = self._rest.splitlines()
        return any(line and not line.startswith(COMMENT) for line in lines)

    def feed(self, data):
        """Add a chunk and return the events that it completes.

        Raises EndpointBrokenError if an event does not end.
        """
        events = []
        # A blank line ends in the new bytes.
        searched_from = max(len(self._rest) - MAX_BLANK_LINE_BYTES + 1, 0)
        self._rest += data
        if _BLANK_LINE.search(self._rest, searched_from):
            events = self._take_events()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise exceptions.EndpointBrokenError('an event does not end')
        return [StreamEvent(event, _read_id(event)) for event in events]

    def _take_events(self):
        buffered = bytes(self._rest)
        if b'\r' in buffered:
            events, rest = _split_any_ending(buffered)
        else:
            parts = buffered.split(SEPARATOR)
            rest = parts.pop()
            events = [part + SEPARATOR for part in parts]
        self._rest = bytearray(rest)
        return events


def _split_any_ending(data):
    """Return the events in data and the bytes that complete none."""
    events, start = [], 0
    for match in _BLANK_LINE.finditer(data):
        events.append(data[start : match.end()])
        start = match.end()
    return events, data[start:]


def _read_id(event):
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            numeric = value.isdigit() and len(value) <= MAX_ID_DIGITS
            return int(value) if numeric else None
    return None
