"""Track the requests that sidecars suspect or refuse."""

from __future__ import annotations

from persimmonroute import crash_attribution
from persimmonroute.crash_attribution import Trait

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
        # Attributes crashes to prefixes that unlike requests share.
        self._prefixes = crash_attribution.CrashAttribution()

    def on_load(self, load, now):
        """Apply the suspects and refusals in a load report."""
        for fingerprint in load.refused_fingerprints:
            self.refuse(fingerprint, now)
        for fingerprint in load.suspect_fingerprints:
            if now >= self._cleared_until.get(fingerprint, 0.0):
                self._suspected_until[fingerprint] = now + SUSPICION_S
        for crash in load.crashes:
            traits = [
                Trait(block, position)
                for block, position in zip(crash.blocks, crash.positions)
            ]
            self._prefixes.attribute(
                crash.id, traits, now - crash.age_ms / 1000
            )

    def refuse(self, fingerprint, now):
        """Refuse a fingerprint for REFUSAL_S after its last report."""
        self._refused_until[fingerprint] = now + REFUSAL_S

    def clear(self, call, now):
        """Clear the suspicion of a request that completed."""
        if self._suspected_until.pop(call.fingerprint, None) is not None:
            self._cleared_until[call.fingerprint] = now + SUSPICION_S
        blocks = call.prefix_blocks[: crash_attribution.MAX_PREFIX_BLOCKS]
        self._prefixes.record_sound(set(blocks), now)

    def is_refused(self, call):
        """Return whether a request is refused."""
        if call.fingerprint in self._refused_until:
            return True
        return not self._prefixes.quarantined.isdisjoint(call.prefix_blocks)

    def is_suspect(self, fingerprint, now):
        """Return whether a request is suspected and must run alone."""
        return self._suspected_until.get(fingerprint, 0.0) > now

    def expire(self, now):
        """Remove expired suspicions, clearances and refusals."""
        self._prefixes.expire(now)
        for table in (
            self._suspected_until,
            self._cleared_until,
            self._refused_until,
        ):
            for fingerprint in [f for f, end in table.items() if end < now]:
                del table[fingerprint]
