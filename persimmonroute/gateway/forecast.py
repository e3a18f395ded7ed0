"""Forecast how much capacity higher tiers will use."""

from __future__ import annotations

import math

# Time constant of the arrival rates: long enough to measure a burst, short
# enough to detect its end.
RATE_WINDOW_S = 1.5
# Lower bound of the capacity share that is forecast for a tier.
MIN_FREE_SHARE = 0.1


class ArrivalForecast:
    """Measure the arriving work per second by service and tier."""

    def __init__(self):
        self._rates = {}

    def record(self, service, tier, work_s, now):
        """Record newly arrived work in seconds of service time."""
        rate, at = self._rates.get((service, tier), (0.0, now))
        decayed = rate * math.exp((at - now) / RATE_WINDOW_S)
        self._rates[(service, tier)] = (decayed + work_s / RATE_WINDOW_S, now)

    def free_share(self, service, rank, slots, now):
        """Return the share of slots that arrivals leave for a rank.

        Arrivals go before all requests of a lower rank: those of lower tiers
        and the late ones of their own.
        """
        if not slots:
            return 1.0
        used = sum(
            rate * math.exp((at - now) / RATE_WINDOW_S)
            for (name, level), (rate, at) in self._rates.items()
            if name == service and level < rank
        )
        return max(1.0 - used / slots, MIN_FREE_SHARE)

    def used_slots(self, service, tier, now):
        """Return the slots that arrivals of a tier and higher ones need."""
        return sum(
            rate * math.exp((at - now) / RATE_WINDOW_S)
            for (name, level), (rate, at) in self._rates.items()
            if name == service and level <= tier
        )
