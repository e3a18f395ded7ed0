"""Keep what the gateway believes and how old it is."""

from __future__ import annotations

import math


class Freshness:
    """Remember when a belief was last known to hold.

    Each confirmation is dated by the earliest time at which the answer can
    have been given, so that a slow one never makes a belief look younger
    than it is.
    """

    def __init__(self):
        self._confirmed_at = -math.inf

    @property
    def confirmed_at(self):
        """Return the time of the youngest confirmation in seconds."""
        return self._confirmed_at

    def confirm(self, at):
        """Learn that the belief held at a time in seconds."""
        self._confirmed_at = max(self._confirmed_at, at)

    def age_s(self, now):
        """Return the seconds since the belief was known to hold."""
        return now - self._confirmed_at
