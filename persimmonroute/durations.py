"""Learn how long requests take."""

from __future__ import annotations

import math

# Requests of a kind from which its times are known.
MIN_REQUESTS = 10
# Requests over which the longest time is kept, up to twice as many.
WINDOW_REQUESTS = 64
# Assumed time between two tokens where no target is declared for it.
TOKEN_GAP_S = 0.05
# Kinds whose times are kept.
MAX_KINDS = 256
# Added to the tokens of a response, whose time per token is uncertain if it
# has few.
EXTRA_TOKENS = 32


class RecentMaximum:
    """Store the largest of the last values, one to two windows of them."""

    def __init__(self):
        self._current = 0.0
        self._former = 0.0
        self._count = 0

    @property
    def value(self):
        """Return the largest value."""
        return max(self._current, self._former)

    def add(self, value):
        """Add a value."""
        if self._count == WINDOW_REQUESTS:
            self._former, self._current = self._current, 0.0
            self._count = 0
        self._count += 1
        self._current = max(self._current, value)


class KindTimes:
    """Store the longest times of one kind of request."""

    def __init__(self):
        self.requests = 0
        # Until the first byte, and for each token after it, in seconds.
        self._first_byte = RecentMaximum()
        self._per_token = RecentMaximum()

    def add(self, tokens, first_byte_s, took_s):
        """Add the times of a request whose response has so many tokens."""
        self.requests += 1
        self._first_byte.add(first_byte_s)
        self._per_token.add(
            max(took_s - first_byte_s, 0.0) / (tokens + EXTRA_TOKENS)
        )

    def estimate_s(self, tokens, done_s):
        """Return how long a request takes, in seconds."""
        rest_s = self._per_token.value * (tokens + EXTRA_TOKENS) - done_s
        return self._first_byte.value + max(rest_s, 0.0)


class Durations:
    """Estimate how long requests take once they are passed on.

    Estimates are of the longest recent requests, not of the usual ones.
    """

    def __init__(self):
        self._kinds = {}

    def record(self, kind, tokens, first_byte_s, took_s):
        """Record the times of a request that ended, in seconds.

        tokens is the stated length of its response, 0 without one. The whole
        time grows with them if the response was no stream: first_byte_s is 0.
        """
        times = self._kinds.pop(kind, None) or KindTimes()
        times.add(tokens, first_byte_s, took_s)
        # The last one is the one that was seen last.
        self._kinds[kind] = times
        if len(self._kinds) > MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]

    def is_known(self, kind):
        """Return whether enough requests of a kind have ended."""
        times = self._kinds.get(kind)
        return times is not None and times.requests >= MIN_REQUESTS

    def estimate_s(self, kind, tokens, assumed_s=math.inf, done_s=0.0):
        """Return how long a request takes, in seconds.

        assumed_s is the least for a kind that is not known. done_s is how
        long the response has been relayed already, if another endpoint is to
        go on with it.
        """
        times = self._kinds.get(kind)
        if times is None:
            return assumed_s
        estimate_s = times.estimate_s(tokens, done_s)
        return (
            estimate_s if self.is_known(kind) else max(estimate_s, assumed_s)
        )


def assume_s(start_s, tokens, token_gap_s=None):
    """Return how long a request takes that meets its declared target."""
    return start_s + tokens * (token_gap_s or TOKEN_GAP_S)
