"""Decide how often the gateways ask the store.

Each change of a table and each outage of the store reaches all gateways at
the same time. This answers the load of a large fleet that calls the store at
once, whose calls are limited and paid for.
"""

from __future__ import annotations

import math
import random
import typing

# Gateways that together confirm a configuration often enough, each at the
# interval that it would need alone.
POLL_SHARERS = 8
# A watch is no longer than this, so that a lost connection is noticed.
MAX_POLL_S = 20.0
# Gateways that watch the registrations in short polls, so that a poll whose
# answer is lost is noticed soon. The others learn from them that they missed a
# change. More than one, as any of them may be cut off.
SENTINELS = 3
SENTINEL_POLL_S = 3.0
# Shared watches last between these multiples of their mean, so that gateways
# that started together do not all ask, and confirm, at the same time.
POLL_SPREAD = (0.75, 1.25)
# Age of the configuration, in intervals of a gateway that is alone, at which
# the store is asked at once: drawn between these, so that the answer of the
# first gateway to ask reaches the others before they ask as well.
CONFIRMATION_OVERDUE = (1.1, 1.6)
# Backoff after a failed call; doubles up to the maximum, which grows with the
# gateways as they all call a store that is away.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
MAX_BACKOFF_PER_GATEWAY_S = 0.02
# Brings every gateway back within two seconds of the end of an outage, before
# the missing registrations count as removed.
LONGEST_BACKOFF_S = 1.6
BACKOFF_SPREAD = (0.8, 1.2)
# Pause after changed registrations of endpoints, in which more of them
# gather: the minimum. Far below the time in which a leaving endpoint has to
# be left alone.
CHANGE_PAUSE_S = 0.4


class PauseGrowth(typing.NamedTuple):
    """Describe how a pause grows with the number of gateways."""

    per_gateway_s: float
    longest_s: float


# After changes that end the use of an endpoint.
URGENT_PAUSE = PauseGrowth(0.01, 1.0)
# After all others: endpoints that register one by one, and the rows that they
# write while they start.
IDLE_PAUSE = PauseGrowth(0.025, 1.5)


def change_pause_s(gateways, urgent):
    """Return the pause between two reads of changes, in seconds.

    urgent tells whether the latest changes ended the use of an endpoint.
    """
    growth = URGENT_PAUSE if urgent else IDLE_PAUSE
    pause_s = max(growth.per_gateway_s * gateways, CHANGE_PAUSE_S)
    return min(pause_s, growth.longest_s)


class Backoff:
    """Space the calls to a store that does not respond."""

    def __init__(self):
        self._pause_s = FIRST_BACKOFF_S

    def reset(self):
        """Begin with the shortest pause again."""
        self._pause_s = FIRST_BACKOFF_S

    def draw_s(self, gateways):
        """Return the pause before the next call, in seconds."""
        longest_s = max(MAX_BACKOFF_S, MAX_BACKOFF_PER_GATEWAY_S * gateways)
        longest_s = min(longest_s, LONGEST_BACKOFF_S)
        pause_s = min(self._pause_s, longest_s)
        self._pause_s = min(2 * self._pause_s, longest_s)
        return pause_s * random.uniform(*BACKOFF_SPREAD)


class PollSchedule:
    """Decide when one of many gateways asks for a confirmation.

    poll_s is the interval of a gateway that is alone. It answers gateways
    that start together, or again after an outage, and would all ask at once.
    """

    def __init__(self, poll_s):
        self._poll_s = poll_s
        self._asked_at = -math.inf
        self._overdue_s = self._draw_overdue_s()

    def draw_wait_s(self, gateways, age_s):
        """Return how long the next watch waits, in seconds.

        age_s is the age of the latest confirmation.
        """
        if age_s >= self._poll_s:
            return self._poll_s
        shared_s = min(gateways * self._poll_s / POLL_SHARERS, MAX_POLL_S)
        return max(shared_s * random.uniform(*POLL_SPREAD), self._poll_s)

    def ask_now(self, age_s, now):
        """Return whether peers confirm too rarely, at most once in poll_s."""
        if age_s <= self._overdue_s or now - self._asked_at <= self._poll_s:
            return False
        self._asked_at = now
        self._overdue_s = self._draw_overdue_s()
        return True

    def _draw_overdue_s(self):
        return self._poll_s * random.uniform(*CONFIRMATION_OVERDUE)
