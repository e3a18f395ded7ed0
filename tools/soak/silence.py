"""Hold what an endpoint writes while it is silent."""

from __future__ import annotations

import contextlib

# Share of the connections whose next write is let through in part, so that
# they fall silent inside a head or an event.
PARTIAL_SHARE = 0.5


class WriteGate:
    """Hold the writes of all connections of an endpoint for a while."""

    def __init__(self, rng, opened):
        self.rng = rng
        # asyncio.Event that is set while nothing is held.
        self.opened = opened
        self._silences = 0
        self._holding = set()
        self.opened.set()

    @contextlib.contextmanager
    def close(self):
        """Hold all writes; silences may overlap."""
        self._silences += 1
        self.opened.clear()
        try:
            yield
        finally:
            self._silences -= 1
            if not self._silences:
                self._open()

    def hold(self, writer):
        """Flush a writer when the silence ends."""
        self._holding.add(writer)

    def _open(self):
        self.opened.set()
        holding, self._holding = self._holding, set()
        for writer in holding:
            writer.flush()


class GatedWriter:
    """Write to one connection unless its endpoint is silent."""

    def __init__(self, reader, writer, gate):
        self._reader = reader
        self._writer = writer
        self._gate = gate
        self._held = []
        self._closing = False

    def __getattr__(self, name):
        return getattr(self._writer, name)

    @property
    def peer_closed(self):
        """Return whether the peer has closed or reset the connection."""
        return (
            self._reader.at_eof()
            or self._reader.exception() is not None
            or self._writer.transport.is_closing()
        )

    @property
    def holding(self):
        """Return whether something is still to be written."""
        return bool(self._held)

    def write(self, data):
        """Write data now, or at the end of a silence."""
        if self._gate.opened.is_set():
            self._writer.write(data)
        elif data:
            written = 0
            if not self._held and self._gate.rng.random() < PARTIAL_SHARE:
                written = self._gate.rng.randrange(len(data))
                self._writer.write(data[:written])
            self._held.append(data[written:])
            self._gate.hold(self)

    def flush(self):
        """Write what was held."""
        held, self._held = b''.join(self._held), []
        if not self._writer.transport.is_closing():
            self._writer.write(held)
        if self._closing:
            self._writer.close()

    async def drain(self):
        """Wait until the silence has ended and the data is on its way."""
        await self._gate.opened.wait()
        await self._writer.drain()

    def close(self):
        """Close the connection once everything is written."""
        self._closing = True
        if not self._held:
            self._writer.close()
