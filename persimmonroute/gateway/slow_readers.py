"""Decide which responses may wait in memory, and which gives way.

Made for callers that read slower than endpoints write, and for some hundred
such responses in the memory of a small instance. A choice looks at all of
them, and happens only when there is no room.
"""

from __future__ import annotations

import math

from persimmonroute import caller_account

# Share of the account's memory for what slow callers have not read. The rest
# is for requests, so that slow callers make the gateway refuse nobody.
READER_SHARE = 0.5
# No more is kept for slow callers while the account is filled to this share:
# the rest has room for some hundred open requests in 128 MB.
ACCOUNT_SHARE = 0.75
# Memory assumed for an account without a limit: that of the callers of a
# gateway with 128 MB, the smallest.
DEFAULT_MEMORY_BYTES = 43 * caller_account.MEGABYTE
# A caller that took nothing for this long gives way before those that read.
# One that reads 20,000 bytes a second takes some within 1.6 s, since data are
# written when less than a quarter of 32,768 bytes is left.
STALL_S = 2.0
# A rate is not measured over less.
MIN_MEASURED_S = 1.0


class Backlog:
    """Count what one caller has not read of its response."""

    def __init__(self, holding, cut, now):
        # Holding of the caller's connection.
        self.holding = holding
        # Called to cut the response off.
        self.cut = cut
        self.size = 0
        # Bytes that the caller took since it fell behind, and when it last
        # took some.
        self.taken = 0
        self.taken_at = now
        self._since = now

    def find_rate(self, now):
        """Return the bytes a second that the caller took."""
        return self.taken / max(now - self._since, MIN_MEASURED_S)


class SlowReaders:
    """Limit what the callers that are behind make a gateway hold."""

    def __init__(self, account):
        self._account = account
        self._backlogs = {}
        self.used = 0
        # Responses that were cut off for lack of room.
        self.cut_count = 0

    @property
    def backlogs(self):
        """Return the backlogs of all callers that are behind."""
        return tuple(self._backlogs)

    @property
    def limit_bytes(self):
        """Return how much may be kept for slow callers."""
        memory_bytes = self._account.limits.memory_bytes
        if memory_bytes == math.inf:
            memory_bytes = DEFAULT_MEMORY_BYTES
        return READER_SHARE * memory_bytes

    @property
    def has_room(self):
        """Return whether more may be kept; a part may exceed the limit."""
        return self.used < self.limit_bytes and self._has_memory

    @property
    def _has_memory(self):
        limit = ACCOUNT_SHARE * self._account.limits.memory_bytes
        return self._account.used < limit

    def open(self, holding, cut, now):
        """Return the Backlog of a caller that falls behind."""
        backlog = Backlog(holding, cut, now)
        self._backlogs[backlog] = None
        return backlog

    def add(self, backlog, size, now):
        """Count bytes that are kept."""
        backlog.size += size
        self.used += size
        backlog.holding.add_queued(size, now)

    def take(self, backlog, size, now):
        """Count bytes that were written to the caller."""
        backlog.size -= size
        backlog.taken += size
        backlog.taken_at = now
        self.used -= size
        backlog.holding.add_queued(-size, now)
        backlog.holding.record_read(now)

    def close(self, backlog, now):
        """Forget a caller that is not behind any more, or gone."""
        if backlog in self._backlogs:
            del self._backlogs[backlog]
            self.used -= backlog.size
            backlog.holding.add_queued(-backlog.size, now)
            backlog.size = 0

    def give_way(self, now):
        """Make room: refuse a stalled request, else cut a response off.

        Called when a response could not be read for some time.
        """
        if not self._has_memory and self._account.release_stalled(now):
            return
        victim = self._find_slowest(now)
        if victim is not None:
            self.cut_count += 1
            self._account.responses_cut += 1
            victim.cut()

    def _find_slowest(self, now):
        """Return the backlog whose caller makes the least progress."""
        held = [b for b in self._backlogs if b.size]
        stalled = [b for b in held if now - b.taken_at >= STALL_S]
        if stalled:
            return max(stalled, key=lambda b: b.size * (now - b.taken_at))
        return min(held, key=lambda b: b.find_rate(now), default=None)
