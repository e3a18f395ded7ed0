"""Track the age of replicated state."""

from __future__ import annotations

import math


class Freshness:
    """Record when replicated state was last confirmed as current.

    A confirmation carries the earliest time at which the response can have
    been produced, so a slow response never makes the state look fresher
    than it is.
    """

    def __init__(self):
        self._confirmed_at = -math.inf

    @property
    def confirmed_at(self):
        """Return the time of the latest confirmation, in seconds."""
        return self._confirmed_at

    def confirm(self, at, now):
        """Record that the state was current at a time, now at the latest."""
        self._confirmed_at = max(self._confirmed_at, min(at, now))

    def age_s(self, now):
        """Return the seconds since the latest confirmation."""
        return now - self._confirmed_at
