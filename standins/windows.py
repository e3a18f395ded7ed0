"""Count the requests that reach a stand-in in sliding windows."""

from __future__ import annotations

import time

WINDOW_S = 4.0


def most_in_window(arrivals, window_s):
    """Return the largest number of arrivals in any window.

    arrivals are in seconds and in order.
    """
    first = most = 0
    for last, at in enumerate(arrivals):
        while arrivals[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class NamedLimit:
    """Name a limit in the responses of a stand-in, and count what arrives."""

    def __init__(self):
        self._per_s = None
        self._arrivals = []

    @property
    def headers(self):
        """Return the headers that name the limit."""
        if self._per_s is None:
            return {}
        return {'request-limit': str(self._per_s)}

    def apply(self, change):
        """Apply a change by a test; a limit of null lifts it."""
        if 'request_limit' in change:
            self._per_s = change['request_limit']
            self._arrivals.clear()

    def record_arrival(self):
        """Count a request."""
        self._arrivals.append(time.monotonic())

    def most_in_window(self):
        """Return the most requests in a window since the limit was named."""
        return most_in_window(self._arrivals, WINDOW_S)
