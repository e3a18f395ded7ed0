"""Stop forwarding requests that crash endpoints."""

from __future__ import annotations

import collections
import typing

import xxhash

# Crashes with the same request in progress, summed over all gateways, after
# which it is quarantined. Unrelated requests in progress at a crash are also
# counted, and cleared when an endpoint responds to them.
CRASH_LIMIT = 3
MAX_SUSPECTS = 256
# A crash is detected within this time after the attempts failed: by refused
# connections, or by a new incarnation in the endpoint's registration.
CRASH_DETECTION_S = 6.0
# A fingerprint without a crash for this long may be sent again.
SUSPECT_TTL_S = 120.0


class BrokenAttempt(typing.NamedTuple):
    """Record an attempt whose connection broke before the response."""

    fingerprint: int
    at: float


class Suspect(typing.NamedTuple):
    """Count the crashes with a request in progress."""

    crashes: int
    at: float


class Quarantine:
    """Count endpoint crashes by the fingerprint of the request.

    A broken attempt alone is not a crash, since the network can also lose
    a response.
    """

    def __init__(self):
        self._broken = {}
        self._suspects = collections.OrderedDict()
        self._peer_crashes = {}

    def record_broken(self, fingerprint, runner_id, now):
        """Record an attempt whose connection broke before the response."""
        recent = self._recent(runner_id, now)
        recent.append(BrokenAttempt(fingerprint, now))
        self._broken[runner_id] = recent

    def record_crash(self, runner_id, now):
        """Count a crash against all attempts that just broke there."""
        for broken in self._recent(runner_id, now):
            suspect = self._suspects.pop(broken.fingerprint, Suspect(0, now))
            self._suspects[broken.fingerprint] = Suspect(
                suspect.crashes + 1, now
            )
        self._broken.pop(runner_id, None)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def record_response(self, fingerprint):
        """Clear a request that an endpoint has responded to."""
        self._suspects.pop(fingerprint, None)

    def expire(self, now):
        """Drop expired suspects and broken attempts."""
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.at > SUSPECT_TTL_S:
                del self._suspects[fingerprint]
        for runner_id in list(self._broken):
            if not self._recent(runner_id, now):
                del self._broken[runner_id]

    def report(self):
        """Return the crash counts to report to peers."""
        return {
            fingerprint: suspect.crashes
            for fingerprint, suspect in self._suspects.items()
        }

    def apply_peer_counts(self, peer, crashes):
        """Store the crash counts that a peer reported."""
        self._peer_crashes[peer] = crashes

    def is_quarantined(self, fingerprint):
        """Return whether a request must not be sent to endpoints."""
        suspect = self._suspects.get(fingerprint)
        own = suspect.crashes if suspect else 0
        others = sum(
            c.get(fingerprint, 0) for c in self._peer_crashes.values()
        )
        return own + others >= CRASH_LIMIT

    def _recent(self, runner_id, now):
        return [
            broken
            for broken in self._broken.get(runner_id, ())
            if now - broken.at <= CRASH_DETECTION_S
        ]


def fingerprint(request):
    """Return a 64-bit hash of a request's content and its caller's key."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
    digest.update((request.key or '').encode())
    digest.update(request.body)
    return digest.intdigest()
