"""Batch the frames of one link into envelopes."""

from __future__ import annotations

import asyncio
import contextlib

FLUSH_INTERVAL_S = 0.004
MAX_FRAMES_PER_ENVELOPE = 512
# An envelope has one frame above this size at most. The largest frames hold a
# whole response that is sent again.
MAX_ENVELOPE_BYTES = 8 * 1024 * 1024
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MESSAGE_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)


class FrameOutbox:
    """Buffer frames until the link sends the next envelope."""

    def __init__(self):
        self._frames = []
        self._flush_requested = asyncio.Event()
        self._flush_now = asyncio.Event()
        self._closed = False
        self._flushed_at = 0.0

    @property
    def closed(self):
        """Return whether the link is closed."""
        return self._closed

    def put(self, frame):
        """Add a frame to the next envelope.

        Response chunks are batched for up to FLUSH_INTERVAL_S; other frames
        are sent at once.
        """
        self._frames.append(frame)
        self._flush_requested.set()
        if not frame.HasField('chunk'):
            self._flush_now.set()

    def wake(self):
        """Request an envelope even without frames."""
        self._flush_requested.set()

    def close(self):
        """Close the link."""
        self._closed = True
        self._flush_requested.set()
        self._flush_now.set()

    async def take(self, timeout_s):
        """Return the frames of the next envelope.

        The list is empty after timeout_s seconds, or after a wake() without
        frames.
        """
        try:
            await asyncio.wait_for(self._flush_requested.wait(), timeout_s)
        except TimeoutError:
            return []
        loop = asyncio.get_running_loop()
        delay_s = self._flushed_at + FLUSH_INTERVAL_S - loop.time()
        if delay_s > 0 and not self._flush_now.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._flush_now.wait(), delay_s)
        self._flush_now.clear()
        self._flushed_at = loop.time()
        count = self._count_fitting()
        frames, self._frames = self._frames[:count], self._frames[count:]
        if not self._frames and not self._closed:
            self._flush_requested.clear()
        return frames

    def _count_fitting(self):
        """Return how many frames the next envelope holds."""
        size = 0
        for count, frame in enumerate(self._frames[:MAX_FRAMES_PER_ENVELOPE]):
            size += frame.ByteSize()
            if count and size > MAX_ENVELOPE_BYTES:
                return count
        return min(len(self._frames), MAX_FRAMES_PER_ENVELOPE)
