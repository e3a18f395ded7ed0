"""Maintain one gRPC stream to each sidecar."""

from __future__ import annotations

import asyncio
import contextlib

import grpc

from persimmonroute.entry import messages
from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.generated import exchange_pb2_grpc
from persimmonroute import logs
from persimmonroute import outbox
from persimmonroute import timeouts
from persimmonroute import tls

log = logs.EventLog(__name__)

RECONNECT_DELAY_S = 0.2
HEARTBEAT_INTERVAL_S = 1.0
# A sidecar that sends nothing for this long counts as disconnected.
UNRESPONSIVE_AFTER_S = 3.0
CHANNEL_OPTIONS = (
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    *outbox.MESSAGE_OPTIONS,
)


class SidecarLink:
    """Maintain a connection to one sidecar, reconnecting until closed."""

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
        """Return how many connection attempts failed before opening."""
        return self._failed_connections

    def send(self, frame):
        """Send a frame, or drop it while disconnected."""
        if self._outbox is not None:
            self._outbox.put(frame)

    def close(self):
        """Close the connection and stop reconnecting."""
        self._task.cancel()

    async def _run(self):
        while True:
            try:
                await self._connect()
            except (grpc.RpcError, TimeoutError, OSError):
                pass
            except Exception as error:
                # Without the task, the sidecar would stay disconnected.
                log.emit(
                    Event.GATEWAY_FAULT,
                    step='link to a sidecar',
                    problem=repr(error),
                )
            finally:
                self._mark_closed()
            await asyncio.sleep(RECONNECT_DELAY_S)

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
            outgoing = outbox.FrameOutbox()
            writer = asyncio.create_task(self._write(call, outgoing))
            try:
                await self._read(call, outgoing)
            finally:
                outgoing.close()
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

    async def _read(self, call, outgoing):
        while True:
            async with timeouts.timeout(UNRESPONSIVE_AFTER_S):
                envelope = await call.read()
            if envelope is grpc.aio.EOF:
                return
            if self._outbox is None:
                self._outbox = outgoing
                opened = messages.LinkOpened(self._name, envelope.incarnation)
                self._sink(opened)
            self._sink(messages.EnvelopeArrived(self._name, envelope))

    async def _write(self, call, outgoing):
        # The reader detects and reports the end of the call.
        with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
            await call.write(self._envelope([]))
            while not outgoing.closed:
                frames = await outgoing.take(HEARTBEAT_INTERVAL_S)
                await call.write(self._envelope(frames))

    def _envelope(self, frames):
        return pb.Envelope(
            sender=self._board.name,
            revision=self._board.revision,
            frames=frames,
        )
