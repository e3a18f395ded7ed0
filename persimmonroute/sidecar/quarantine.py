"""Detect the requests that crash endpoints."""

from __future__ import annotations

import xxhash

from persimmonroute import crash_attribution
from persimmonroute.crash_attribution import MAX_PREFIX_BLOCKS
from persimmonroute.events import Event
from persimmonroute.sidecar import board as boards

SUSPICION_S = 600.0
REFUSAL_S = 86400.0
# Crashes are reported for this long; entries remember them.
CRASH_REPORT_S = 30.0
MAX_CRASHES = 4


class Quarantine:
    """Suspect requests running at a crash; refuse a suspect that ran alone."""

    def __init__(self, board):
        self._board = board
        self._crash_count = 0

    def is_refused(self, fingerprint):
        """Return whether requests with this fingerprint are refused."""
        return fingerprint in self._board.refused_fingerprints

    def must_run_alone(self, attempt):
        """Return whether an attempt may not share its endpoint."""
        suspects = self._board.suspects
        return attempt.offer.suspect or attempt.offer.fingerprint in suspects

    def on_crash(self, attempts, now):
        """Suspect or refuse the attempts that were running at a crash."""
        board = self._board
        self._report_crash(attempts, now)
        fingerprints = {attempt.offer.fingerprint for attempt in attempts}
        alone = len(attempts) == 1
        for fingerprint in sorted(fingerprints):
            if alone and self.must_run_alone(attempts[0]):
                board.refused_fingerprints[fingerprint] = now + REFUSAL_S
                board.suspects.pop(fingerprint, None)
                board.log(Event.REQUEST_QUARANTINED, fingerprint=fingerprint)
            else:
                board.suspects[fingerprint] = now + SUSPICION_S
                board.log(Event.REQUEST_SUSPECTED, fingerprint=fingerprint)

    def _report_crash(self, attempts, now):
        """Report what unlike requests may have had in common."""
        board = self._board
        blocks = {
            block: position
            for attempt in attempts
            if not _has_responded(attempt, now)
            for position, block in enumerate(
                attempt.offer.prefix_blocks[:MAX_PREFIX_BLOCKS]
            )
        }
        if not blocks:
            return
        self._crash_count += 1
        name = f'{board.name}|{board.incarnation}|{self._crash_count}'
        crash = xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFF_FFFF
        board.crashes.append(boards.EndpointCrash(crash, now, blocks))
        del board.crashes[:-MAX_CRASHES]

    def on_completed(self, attempt):
        """Clear the suspicion against a request that completed."""
        self._board.suspects.pop(attempt.offer.fingerprint, None)

    def expire(self, now):
        """Remove expired suspicions and refusals."""
        board = self._board
        board.crashes = [
            crash for crash in board.crashes if now - crash.at < CRASH_REPORT_S
        ]
        for table in (board.suspects, board.refused_fingerprints):
            for fingerprint in [f for f, end in table.items() if end < now]:
                del table[fingerprint]


def _has_responded(attempt, now):
    """Return whether the endpoint was well into the response."""
    since = attempt.first_token_at
    if since is None:
        return False
    return now - since >= crash_attribution.HARMLESS_RESPONSE_S
