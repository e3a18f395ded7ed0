"""Let requests that can be on time pass late ones of higher tiers.

It answers lasting overload, in which a higher tier always has late requests
in the queue: ordered by tier alone, a lower tier would get nothing. A late
request loses little by waiting longer, as long as it is not shed.
"""

from __future__ import annotations

# Share of the slots that may be used ahead of late requests.
PASSING_SHARE = 0.05
# Time for which unused slot time is kept.
MAX_SAVED_S = 1.0
# Nothing passes a late request that expects to wait for more than this share
# of the time for which its caller waits: it may have to be shed soon.
MAX_WAIT_SHARE = 0.25


class PassingAllowance:
    """Bound the slot time used ahead of late requests, by service."""

    def __init__(self, share):
        self._share = share
        # Slot time in seconds, and when it was computed.
        self._saved = {}

    def available_s(self, service, slots, now):
        """Return the slot time in seconds that may be used now."""
        rate = self._share * slots
        most_s = rate * MAX_SAVED_S
        saved_s, at = self._saved.get(service, (most_s, now))
        saved_s = min(saved_s + rate * (now - at), most_s)
        self._saved[service] = (saved_s, now)
        return saved_s

    def take(self, service, work_s):
        """Use slot time; work_s may exceed what is available."""
        saved_s, at = self._saved[service]
        self._saved[service] = (saved_s - work_s, at)
