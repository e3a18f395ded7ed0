"""Write log lines without ever waiting for their reader."""

from __future__ import annotations

import collections
import threading
import time

# Lines that wait for the reader before more are left out.
MAX_WAITING = 4000
# Share of the waiting lines that those of normal course may take, so that
# the lines of failures still find room.
NORMAL_SHARE = 0.5
# Lines of normal course a second; failures have a limit of their own.
NORMAL_PER_S = 600
FAILURE_PER_S = 2000
# Lines are written together, at most this often.
WRITE_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 0.5


class LineRate:
    """Allow a number of lines a second."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._level = float(per_s)
        self._at = time.monotonic()

    def take(self):
        """Tell whether another line is allowed, and count it."""
        now = time.monotonic()
        gained = (now - self._at) * self._per_s
        self._level = min(self._level + gained, float(self._per_s))
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class BoundedWriter:
    """Hand lines to a thread that writes them; count what is left out."""

    def __init__(self, stream, format_dropped):
        self._stream = stream
        self._format_dropped = format_dropped
        self._lines = collections.deque()
        self._normal = LineRate(NORMAL_PER_S)
        self._failures = LineRate(FAILURE_PER_S)
        self._unreported = 0
        self._closed = False
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, line, is_failure):
        """Take a line, or leave it out when there is no room."""
        room = MAX_WAITING if is_failure else NORMAL_SHARE * MAX_WAITING
        rate = self._failures if is_failure else self._normal
        if len(self._lines) >= room or not rate.take():
            self.dropped += 1
            self._unreported += 1
            return
        self._lines.append(line)

    def close(self):
        """Write what waits, unless the reader is too slow."""
        self._closed = True
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self):
        while not self._closed:
            time.sleep(WRITE_INTERVAL_S)
            self._write()
        self._write()

    def _write(self):
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._unreported:
            lines.append(self._format_dropped(self._unreported))
            self._unreported = 0
        if not lines:
            return
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # There is nowhere left to report a reader that has gone.
            self.dropped += len(lines)
