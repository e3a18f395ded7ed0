"""Keep one stream to each sidecar."""

from __future__ import annotations

import asyncio
import contextlib

import grpc

from persimmonroute.entry import messages
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.generated import exchange_pb2_grpc
from persimmonroute import outbox
from persimmonroute import tls

RECONNECT_S = 0.2
HEARTBEAT_S = 1.0
# A sidecar that says nothing for this long counts as disconnected.
SILENCE_S = 3.0
CHANNEL_OPTIONS = (
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.max_receive_message_length', 64 * 1024 * 1024),
    ('grpc.max_send_message_length', 64 * 1024 * 1024),
)


class SidecarLink:
    """Connect to one sidecar again and again until closed."""

    def __init__(self, board, name, address, sink, tls_settings=None):
        self._board = board
        self._name = name
        self._address = address
        self._sink = sink
        self._tls = tls_settings
        self._outbox = None
        self._failed_connections = 0
        self._task = asyncio.create_task(self._run())

    @property
    def failed_connections(self):
        """Return how many connections ended before they opened."""
        return self._failed_connections

    def send(self, frame):
        """Send a frame, or drop it while there is no connection."""
        if self._outbox is not None:
            self._outbox.put(frame)

    def close(self):
        """Drop the connection."""
        self._task.cancel()

    async def _run(self):
        while True:
            try:
                await self._connect()
            except (grpc.RpcError, TimeoutError, OSError):
                pass
            finally:
                self._mark_closed()
            await asyncio.sleep(RECONNECT_S)

    def _mark_closed(self):
        if self._outbox is None:
            self._failed_connections += 1
            return
        self._outbox = None
        self._sink(messages.LinkClosed(self._name))

    async def _connect(self):
        async with self._open_channel() as channel:
            stub = exchange_pb2_grpc.ExchangeStub(channel)
            call = stub.Connect(metadata=(('entry', self._board.name),))
            box = outbox.FrameOutbox()
            writer = asyncio.create_task(self._write(call, box))
            try:
                await self._read(call, box)
            finally:
                box.close()
                writer.cancel()
                call.cancel()

    def _open_channel(self):
        if self._tls is None:
            return grpc.aio.insecure_channel(
                self._address, options=CHANNEL_OPTIONS
            )
        return grpc.aio.secure_channel(
            self._address,
            tls.channel_credentials(self._tls),
            options=(*CHANNEL_OPTIONS, tls.sidecar_name_option(self._tls)),
        )

    async def _read(self, call, box):
        while True:
            envelope = await asyncio.wait_for(call.read(), SILENCE_S)
            if envelope is grpc.aio.EOF:
                return
            if self._outbox is None:
                self._outbox = box
                opened = messages.LinkOpened(self._name, envelope.incarnation)
                self._sink(opened)
            self._sink(messages.EnvelopeArrived(self._name, envelope))

    async def _write(self, call, box):
        # The reader notices the end of a call; the writer just stops.
        with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
            await call.write(self._envelope([]))
            while not box.closed:
                frames = await box.take(HEARTBEAT_S)
                await call.write(self._envelope(frames))

    def _envelope(self, frames):
        return pb.Envelope(
            sender=self._board.name,
            revision=self._board.revision,
            frames=frames,
        )
