"""Limit how often requests are sent to a second endpoint."""

from __future__ import annotations

import collections

# Share of the allowed fixed amount that gateways use together, so that
# restarts, which forget what was used, stay within it.
SLACK_SHARE = 0.6


class RetryBudget:
    """Count first and repeated sends of each service in a window."""

    def __init__(self, ratio, slack, window_s):
        self.set_limits(ratio, slack, window_s)
        self._gateways = 1
        self._first = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    def set_limits(self, ratio, slack, window_s):
        """Set the repeats allowed in a window of seconds."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_gateways(self, count):
        """Set the number of gateways that share the fixed amount."""
        self._gateways = max(count, 1)

    def record_request(self, service, now):
        """Count a request of a caller."""
        self._first[service].append(now)

    def take(self, service, now):
        """Count one repeat if the budget allows it."""
        first = self._trim(self._first[service], now)
        repeats = self._trim(self._repeats[service], now)
        slack = self._slack * SLACK_SHARE / self._gateways
        if len(repeats) + 1 > self._ratio * len(first) + slack:
            return False
        repeats.append(now)
        return True

    def report_used(self, now):
        """Return the repeats in the window by service."""
        return {
            service: len(self._trim(times, now))
            for service, times in self._repeats.items()
        }

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
