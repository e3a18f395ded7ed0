"""Track which gateways know the version of each open stream.

Gateways restart and stop while a stream lasts, and what they knew is gone with
them. A stream is told to the gateways that keep it now whenever those change,
so the load is one message for each stream and keeper, and again only for the
streams whose keeper was replaced.
"""

from __future__ import annotations

import typing


class Keeper(typing.NamedTuple):
    """Name a start of a gateway; the next one knows nothing of it."""

    name: str
    incarnation: int


class OpenStream:
    """Store what began a stream, and the keepers that were told."""

    def __init__(self, origin):
        self.origin = origin
        self.told = set()


class OpenStreams:
    """Store the open streams of this gateway by their keys."""

    def __init__(self):
        self._streams = {}
        # Keys of streams that no keeper has been told of yet.
        self._new = set()

    def __len__(self):
        return len(self._streams)

    def __contains__(self, key):
        return key in self._streams

    def add(self, key, origin):
        """Add a stream that begins, or goes on, at this gateway."""
        self._streams[key] = OpenStream(origin)
        self._new.add(key)

    def remove(self, key):
        """Remove a stream and return its origin, or None if it is not open."""
        self._new.discard(key)
        stream = self._streams.pop(key, None)
        return None if stream is None else stream.origin

    def take_untold(self, find_keepers, changed):
        """Return keys and origins with the Keepers that have to be told.

        If the keepers may have changed, all streams are looked at.
        """
        keys = list(self._streams) if changed else list(self._new)
        self._new.clear()
        untold = []
        for key in keys:
            stream = self._streams[key]
            missing = [k for k in find_keepers(key) if k not in stream.told]
            stream.told.update(missing)
            untold += [(key, stream.origin, keeper) for keeper in missing]
        return untold
