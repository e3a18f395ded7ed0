"""Keep requests that crash endpoints away from them."""

from __future__ import annotations

import collections
import typing

import xxhash

# Crashes with one content in progress, seen by all gateways, after which
# it is no longer sent. A crash takes innocent requests along, which are
# cleared by their next answer.
CRASH_LIMIT = 3
MAX_SUSPECTS = 256
# A crash shows within this time after it broke off attempts: by refused
# connections, or by the endpoint's entry when it was born again.
EVIDENCE_S = 6.0
# A content that was not seen for this long may be sent again.
FORGET_S = 120.0


class Broken(typing.NamedTuple):
    """Note an attempt that broke off without an answer."""

    fingerprint: int
    at: float


class Suspect(typing.NamedTuple):
    """Count the crashes with a content in progress."""

    crashes: int
    at: float


class Quarantine:
    """Count crashes of endpoints by the content of their requests.

    A broken attempt alone is no crash: answers are also lost on the way.
    """

    def __init__(self):
        self._broken = {}
        self._suspects = collections.OrderedDict()
        self._peers = {}

    def record_broken(self, fingerprint, runner_id, now):
        """Remember an attempt that broke off without an answer."""
        recent = self._recent(runner_id, now)
        recent.append(Broken(fingerprint, now))
        self._broken[runner_id] = recent

    def record_crash(self, runner_id, now):
        """Count a crash against all that just broke off there."""
        for broken in self._recent(runner_id, now):
            known = self._suspects.pop(broken.fingerprint, Suspect(0, now))
            self._suspects[broken.fingerprint] = Suspect(
                known.crashes + 1, now
            )
        self._broken.pop(runner_id, None)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def record_answered(self, fingerprint):
        """Clear a request that an endpoint has answered."""
        self._suspects.pop(fingerprint, None)

    def expire(self, now):
        """Forget what was not seen for long."""
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.at > FORGET_S:
                del self._suspects[fingerprint]
        for runner_id in list(self._broken):
            if not self._recent(runner_id, now):
                del self._broken[runner_id]

    def report(self):
        """Return the counts that peers should know."""
        return {
            fingerprint: suspect.crashes
            for fingerprint, suspect in self._suspects.items()
        }

    def apply_peer_counts(self, peer, crashes):
        """Take over the counts of a peer."""
        self._peers[peer] = crashes

    def is_quarantined(self, fingerprint):
        """Tell whether a content is no longer sent to endpoints."""
        known = self._suspects.get(fingerprint)
        own = known.crashes if known else 0
        others = sum(c.get(fingerprint, 0) for c in self._peers.values())
        return own + others >= CRASH_LIMIT

    def _recent(self, runner_id, now):
        return [
            broken
            for broken in self._broken.get(runner_id, ())
            if now - broken.at <= EVIDENCE_S
        ]


def fingerprint(request):
    """Return 64 bits that name the content and the caller of a request."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
    digest.update((request.key or '').encode())
    digest.update(request.body)
    return digest.intdigest()
