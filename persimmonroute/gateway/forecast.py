"""Forecast how much of the capacity higher tiers will take."""

from __future__ import annotations

import math

# Time constant of the measured arrival rates, in seconds: long enough to
# see a burst's size, short enough to notice its end.
WINDOW_S = 1.5
# Least share of the capacity that is taken to be left for a tier.
LEAST_SHARE = 0.1


class ArrivalForecast:
    """Measure the work that arrives a second, by service and tier."""

    def __init__(self):
        self._rates = {}

    def record(self, service, tier, work_s, now):
        """Count seconds of work that arrived."""
        rate, at = self._rates.get((service, tier), (0.0, now))
        decayed = rate * math.exp((at - now) / WINDOW_S)
        self._rates[(service, tier)] = (decayed + work_s / WINDOW_S, now)

    def free_share(self, service, tier, slots, now):
        """Return the share of slots that higher tiers leave to a tier."""
        if not slots:
            return 1.0
        taken = sum(
            rate * math.exp((at - now) / WINDOW_S)
            for (name, level), (rate, at) in self._rates.items()
            if name == service and level < tier
        )
        return max(1.0 - taken / slots, LEAST_SHARE)
