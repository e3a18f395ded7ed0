"""Write log lines without blocking on their reader."""

from __future__ import annotations

import collections
import threading
import time

MAX_QUEUED_LINES = 4000
# Share of the queue open to normal lines; the rest is reserved for failures.
NORMAL_QUEUE_SHARE = 0.5
# Failures have a separate rate limit, which normal lines cannot use up.
NORMAL_LINES_PER_S = 600
FAILURE_LINES_PER_S = 2000
# Lines are written in batches.
WRITE_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 0.5


class LineRateLimiter:
    """Limit the number of lines per second with a token bucket."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._tokens = float(per_s)
        self._refilled_at = time.monotonic()

    def take(self):
        """Take a token and return whether the line is allowed."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._tokens + refill, float(self._per_s))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BoundedWriter:
    """Queue lines for a writer thread and count dropped lines."""

    def __init__(self, stream, format_dropped):
        self._stream = stream
        self._format_dropped = format_dropped
        self._lines = collections.deque()
        self._normal_rate = LineRateLimiter(NORMAL_LINES_PER_S)
        self._failure_rate = LineRateLimiter(FAILURE_LINES_PER_S)
        self._unreported_drops = 0
        self._closing = threading.Event()
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, line, is_failure):
        """Queue a line, or drop it if the queue or rate limit is exceeded."""
        capacity = (
            MAX_QUEUED_LINES
            if is_failure
            else NORMAL_QUEUE_SHARE * MAX_QUEUED_LINES
        )
        rate = self._failure_rate if is_failure else self._normal_rate
        if len(self._lines) >= capacity or not rate.take():
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._lines.append(line)

    def close(self):
        """Flush queued lines, for at most CLOSE_TIMEOUT_S."""
        self._closing.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self):
        while not self._closing.wait(WRITE_INTERVAL_S):
            self._write()
        self._write()

    def _write(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._unreported_drops:
            lines.append(self._format_dropped(self._unreported_drops))
            self._unreported_drops = 0
        if not lines:
            return
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has disconnected, so the error cannot be reported.
            self.dropped += len(lines)
