"""Follow which requests sidecars suspect or refuse."""

from __future__ import annotations

SUSPICION_S = 600.0
REFUSAL_S = 86400.0


class QuarantineView:
    """Know the suspects and refusals that sidecars report.

    A suspect that completed is clear for as long as a suspicion lasts,
    though the sidecar where it was first suspected still lists it.
    """

    def __init__(self):
        self._suspected_until: dict[str, float] = {}
        self._cleared_until: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def on_load(self, load, now):
        """Take suspects and refusals from the load of a sidecar."""
        for fingerprint in load.refused_fingerprints:
            self.refuse(fingerprint, now)
        for fingerprint in load.suspect_fingerprints:
            if now >= self._cleared_until.get(fingerprint, 0.0):
                self._suspected_until[fingerprint] = now + SUSPICION_S

    def refuse(self, fingerprint, now):
        """Refuse a fingerprint for a day from its last report."""
        self._refused_until[fingerprint] = now + REFUSAL_S

    def clear(self, fingerprint, now):
        """Drop the suspicion of a request that completed."""
        if self._suspected_until.pop(fingerprint, None) is not None:
            self._cleared_until[fingerprint] = now + SUSPICION_S

    def is_refused(self, fingerprint):
        """Tell whether a fingerprint is refused."""
        return fingerprint in self._refused_until

    def is_suspect(self, fingerprint, now):
        """Tell whether a fingerprint must run alone."""
        return self._suspected_until.get(fingerprint, 0.0) > now

    def expire(self, now):
        """Forget what has run out."""
        for table in (
            self._suspected_until,
            self._cleared_until,
            self._refused_until,
        ):
            for fingerprint in [f for f, end in table.items() if end < now]:
                del table[fingerprint]
