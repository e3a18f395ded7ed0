"""Keep requests that crash endpoints away from them."""

from __future__ import annotations

import collections

import xxhash

# Broken attempts of one content, seen by all gateways, after which it is
# no longer sent; a crash may take a few innocent requests along once.
CRASH_LIMIT = 3
MAX_SUSPECTS = 256


class Quarantine:
    """Count broken attempts by the content of their requests."""

    def __init__(self):
        self._own = collections.OrderedDict()
        self._peers = {}

    def note_broken(self, fingerprint):
        """Count an attempt that broke off without an answer."""
        self._own[fingerprint] = self._own.pop(fingerprint, 0) + 1
        while len(self._own) > MAX_SUSPECTS:
            self._own.popitem(last=False)

    def note_answered(self, fingerprint):
        """Clear a request that an endpoint has answered."""
        self._own.pop(fingerprint, None)

    def report(self):
        """Return the counts that peers should know."""
        return dict(self._own)

    def hear(self, peer, crashes):
        """Take over the counts of a peer."""
        self._peers[peer] = crashes

    def count(self, fingerprint):
        """Return the broken attempts of a content at all gateways."""
        return self._own.get(fingerprint, 0) + sum(
            crashes.get(fingerprint, 0) for crashes in self._peers.values()
        )

    def refuses(self, fingerprint):
        """Tell whether a content is no longer sent to endpoints."""
        return self.count(fingerprint) >= CRASH_LIMIT


def fingerprint(request):
    """Return 64 bits that name the content and the caller of a request."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
    digest.update((request.key or '').encode())
    digest.update(request.body)
    return digest.intdigest()
