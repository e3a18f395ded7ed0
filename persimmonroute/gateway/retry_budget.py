"""Limit how often requests are retried at another endpoint."""

from __future__ import annotations

import collections
import contextlib

# Share of the slack that all gateways together may use. The rest covers
# restarts, which lose the count of retries.
SLACK_SHARE = 0.6


class RetryBudget:
    """Count requests and retries of each service in a sliding window."""

    def __init__(self, ratio, slack, window_s):
        self.set_limits(ratio, slack, window_s)
        self._gateways = 1
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def set_limits(self, ratio, slack, window_s):
        """Set the retries allowed in a window.

        They are a ratio of the requests in the window plus a fixed slack.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_gateways(self, count):
        """Set the number of gateways that share the slack."""
        self._gateways = max(count, 1)

    def record_request(self, service, now):
        """Count a request of a caller."""
        # Trimmed here, too: a service may never be asked for a retry.
        self._trim(self._requests[service], now).append(now)

    def allows(self, service, now):
        """Return whether the budget allows a retry, without counting it."""
        requests = self._trim(self._requests[service], now)
        retries = self._trim(self._retries[service], now)
        slack = self._slack * SLACK_SHARE / self._gateways
        return len(retries) + 1 <= self._ratio * len(requests) + slack

    def take(self, service, now):
        """Count a retry and return True if the budget allows it."""
        if not self.allows(service, now):
            return False
        self._retries[service].append(now)
        return True

    def renew(self, service, taken_at, now):
        """Count a retry from now; return whether the budget allows it.

        One that has left the window, or was not counted, needs a share again.
        """
        if taken_at not in self._trim(self._retries[service], now):
            return self.take(service, now)
        self.move(service, taken_at, now)
        return True

    def give_back(self, service, taken_at):
        """Take back the retry that was counted at a time, if it was not sent.

        It may have left the window.
        """
        with contextlib.suppress(ValueError):
            self._retries[service].remove(taken_at)

    def move(self, service, taken_at, now):
        """Count a retry that was counted at a time when it is sent."""
        self.give_back(service, taken_at)
        self._retries[service].append(now)

    def report_used(self, now):
        """Return the retries in the window by service."""
        return {
            service: len(self._trim(times, now))
            for service, times in self._retries.items()
        }

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
