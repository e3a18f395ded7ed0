"""Track the request fingerprints that sidecars suspect or refuse."""

from __future__ import annotations

SUSPICION_S = 600.0
REFUSAL_S = 86400.0


class QuarantineView:
    """Merge the suspected and refused fingerprints of all sidecars.

    A suspect that completes stays cleared for SUSPICION_S, even while the
    sidecar that first suspected it still reports it.
    """

    def __init__(self):
        self._suspected_until: dict[str, float] = {}
        self._cleared_until: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def on_load(self, load, now):
        """Apply the suspects and refusals in a load report."""
        for fingerprint in load.refused_fingerprints:
            self.refuse(fingerprint, now)
        for fingerprint in load.suspect_fingerprints:
            if now >= self._cleared_until.get(fingerprint, 0.0):
                self._suspected_until[fingerprint] = now + SUSPICION_S

    def refuse(self, fingerprint, now):
        """Refuse a fingerprint for REFUSAL_S after its last report."""
        self._refused_until[fingerprint] = now + REFUSAL_S

    def clear(self, fingerprint, now):
        """Clear the suspicion of a request that completed."""
        if self._suspected_until.pop(fingerprint, None) is not None:
            self._cleared_until[fingerprint] = now + SUSPICION_S

    def is_refused(self, fingerprint):
        """Return whether a fingerprint is refused."""
        return fingerprint in self._refused_until

    def is_suspect(self, fingerprint, now):
        """Return whether a request is suspected and must run alone."""
        return self._suspected_until.get(fingerprint, 0.0) > now

    def expire(self, now):
        """Remove expired suspicions, clearances and refusals."""
        for table in (
            self._suspected_until,
            self._cleared_until,
            self._refused_until,
        ):
            for fingerprint in [f for f, end in table.items() if end < now]:
                del table[fingerprint]
