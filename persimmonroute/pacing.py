"""Space out requests so that their rate stays at a limit."""

from __future__ import annotations

import math

# Rate of who names no limit.
UNLIMITED = math.inf
# Lowest rate at which endpoints are asked, in requests per second: only a
# response can tell that a limit near zero has ended.
MIN_PER_S = 0.25
# Unused requests are saved for this long, so that a rate is also reached by
# requests that come in small groups.
SAVED_S = 0.25
# Time for which requests that others sent may be owed.
MAX_DEBT_S = 0.5
# Absorbs rounding between the time of a wakeup and the level then.
ROUNDING = 1e-6


def read_rate(text):
    """Return a named rate in requests per second, or None if unreadable."""
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if 0 <= per_s < UNLIMITED else None


def is_news(former_per_s, named_at, per_s, sent_at):
    """Return whether a response to a request sent at a time tells a limit.

    A response without a limit lifts a former one only if its request was sent
    after that was last named: responses may overtake one another.
    """
    if per_s < UNLIMITED:
        return True
    return former_per_s < UNLIMITED and sent_at > named_at


class Pace:
    """Count the requests that a rate allows, as a token bucket.

    It starts empty: who sent how much before is not known.
    """

    def __init__(self, per_s, now):
        self._per_s = per_s
        self._level = 0.0
        self._updated_at = now

    def set_rate(self, per_s, now):
        """Apply a rate in requests per second from now on."""
        if per_s != self._per_s:
            self._refill(now)
            self._per_s = per_s

    def count_available(self, now):
        """Return the number of requests that may be sent now."""
        self._refill(now)
        return max(int(self._level + ROUNDING), 0)

    def take(self, now):
        """Count a request, which may be one more than is available."""
        self._refill(now)
        least = -(1.0 + MAX_DEBT_S * self._per_s)
        self._level = max(self._level - 1.0, least)

    def give_back(self):
        """Uncount a request."""
        self._level += 1.0

    def next_at(self, now):
        """Return when the next request may be sent."""
        self._refill(now)
        return now + max(1.0 - self._level, 0.0) / self._per_s

    def _refill(self, now):
        most = max(1.0, SAVED_S * self._per_s)
        added = (now - self._updated_at) * self._per_s
        self._level = min(self._level + added, most)
        self._updated_at = now


class RateLimit:
    """Keep to the requests per second that one endpoint names."""

    def __init__(self):
        self.per_s = UNLIMITED
        self._named_at = -math.inf
        self._pace = None

    def record(self, per_s, sent_at, now):
        """Apply what a response names; return whether the limit changed."""
        if not is_news(self.per_s, self._named_at, per_s, sent_at):
            return False
        changed = per_s != self.per_s
        self.per_s, self._named_at = per_s, now
        if per_s == UNLIMITED:
            self._pace = None
        elif self._pace is None:
            self._pace = Pace(self._rate, now)
        else:
            self._pace.set_rate(self._rate, now)
        return changed

    def allows(self, now):
        """Return whether a request may be sent now."""
        return self._pace is None or self._pace.count_available(now) > 0

    def take(self, now):
        """Count a request that is about to be sent."""
        if self._pace is not None:
            self._pace.take(now)

    def give_back(self):
        """Uncount a request that was not sent after all."""
        if self._pace is not None:
            self._pace.give_back()

    def wait_s(self, requests, now):
        """Return the time until so many requests may have been sent."""
        if self._pace is None:
            return 0.0
        return self._pace.next_at(now) - now + (requests - 1) / self._rate

    @property
    def _rate(self):
        return max(self.per_s, MIN_PER_S)
