"""Proxy TCP connections on loopback and inject network faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from standins import platform_runner

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class Mode(enum.Enum):
    """Define how a proxy treats the bytes that it forwards."""

    PASS = 'pass'
    DELAY = 'delay'
    CUT_UP = 'cut up'
    CUT_DOWN = 'cut down'
    SILENT = 'silent'
    REFUSE = 'refuse'


class Proxy:
    """Forward TCP connections to one address."""

    def __init__(self):
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.target = None
        self.address = None
        # Called when a connection is reset because the target does not listen.
        self.on_refused = _ignore
        # Called with the bytes that are forwarded to the target.
        self.on_sent = _ignore
        self._mode_changed = asyncio.Event()
        self._server = None
        self._tasks = set()
        self._writers = set()

    async def start(self, address=None):
        """Accept connections, on a free port unless one is given."""
        host, _, port = (address or '127.0.0.1:0').rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def set_mode(self, mode, delay_s=0.0):
        """Change the mode for open and new connections."""
        self.mode, self.delay_s = mode, delay_s
        # Wake the connections that the previous mode stalled, so that they
        # forward the data they hold.
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset_all(self):
        """Reset both sides of every open connection."""
        for writer in list(self._writers):
            platform_runner.reset(writer)

    async def stop(self):
        """Stop accepting connections and close those that are open."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.mode is Mode.REFUSE:
            platform_runner.reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                upstream = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self.on_refused()
            platform_runner.reset(writer)
            return
        self._writers |= {writer, upstream[1]}
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], Mode.CUT_UP),
                self._forward(upstream[0], writer, Mode.CUT_DOWN),
            )
        except asyncio.CancelledError:
            # Raised by stop(); not re-raised, as asyncio would log it.
            return
        except OSError:
            # One side was reset, so reset the other as well.
            platform_runner.reset(writer)
            platform_runner.reset(upstream[1])
        finally:
            self._writers -= {writer, upstream[1]}
            writer.close()
            upstream[1].close()

    async def _forward(self, reader, writer, cut_mode):
        while True:
            data = await reader.read(READ_BYTES)
            while self.mode in (cut_mode, Mode.SILENT):
                await self._mode_changed.wait()
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            if cut_mode is Mode.CUT_UP:
                self.on_sent(data)
            writer.write(data)
            await writer.drain()


def _ignore(*args):
    pass
