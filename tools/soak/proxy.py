"""Stand between two processes on loopback and harm their connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from standins import platform_runner

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class Mode(enum.Enum):
    """Say what happens to the bytes of a link."""

    PASS = 'pass'
    DELAY = 'delay'
    CUT_UP = 'cut up'
    CUT_DOWN = 'cut down'
    SILENT = 'silent'


class Proxy:
    """Forward connections to one address."""

    def __init__(self):
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.target = None
        self.address = None
        self._restored = asyncio.Event()
        self._server = None
        self._tasks = set()
        self._writers = set()

    async def start(self, address=None):
        """Begin to accept, on a free port unless one is given."""
        host, _, port = (address or '127.0.0.1:0').rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def set_mode(self, mode, delay_s=0.0):
        """Change what happens from now on."""
        self.mode, self.delay_s = mode, delay_s
        # What a cut held up goes on when the link is back.
        self._restored.set()
        self._restored = asyncio.Event()

    def reset_all(self):
        """Reset every open connection, on both sides."""
        for writer in list(self._writers):
            platform_runner.reset(writer)

    async def stop(self):
        """End all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self.target.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                there = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            platform_runner.reset(writer)
            return
        self._writers |= {writer, there[1]}
        try:
            await asyncio.gather(
                self._pump(reader, there[1], Mode.CUT_UP),
                self._pump(there[0], writer, Mode.CUT_DOWN),
            )
        except asyncio.CancelledError:
            # Only stop() cancels; asyncio would print a trace of it.
            return
        except OSError:
            # One side broke off, so the other is told likewise.
            platform_runner.reset(writer)
            platform_runner.reset(there[1])
        finally:
            self._writers -= {writer, there[1]}
            writer.close()
            there[1].close()

    async def _pump(self, reader, writer, cut):
        while True:
            data = await reader.read(READ_BYTES)
            while self.mode in (cut, Mode.SILENT):
                await self._restored.wait()
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
