"""Judge whether the ages that gateways state are those of returning callers.

A gateway estimates the age of a request from the longest remaining time that
it has seen on the route. One caller that states a long time makes all others
there look like returns.
"""

from __future__ import annotations

import collections

# Weight of the newest offer in the share of aged ones.
SMOOTHING = 0.05
# Each refused caller returns once, so at twice the capacity a third of all
# requests are returns. A higher share of aged ones has another reason.
MAX_AGED_SHARE = 0.5
# Pairs of a gateway and a route that are told apart.
MAX_SOURCES = 4096


class ReturnAges:
    """Follow the share of aged offers by gateway and route."""

    def __init__(self):
        self._aged_shares = collections.OrderedDict()

    def judge(self, gateway, route, aged):
        """Record an offer; return whether to take it for a return."""
        key = (gateway, route)
        share = self._aged_shares.pop(key, 0.0)
        share += SMOOTHING * (float(aged) - share)
        self._aged_shares[key] = share
        if len(self._aged_shares) > MAX_SOURCES:
            self._aged_shares.popitem(last=False)
        return aged and share <= MAX_AGED_SHARE
