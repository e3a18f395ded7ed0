"""Detect the requests that crash endpoints."""

from __future__ import annotations

from persimmonroute.events import Event

SUSPICION_S = 600.0
REFUSAL_S = 86400.0


class Quarantine:
    """Suspect requests running at a crash; refuse a suspect that ran alone."""

    def __init__(self, board):
        self._board = board

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

    def on_completed(self, attempt):
        """Clear the suspicion against a request that completed."""
        self._board.suspects.pop(attempt.offer.fingerprint, None)

    def expire(self, now):
        """Remove expired suspicions and refusals."""
        board = self._board
        for table in (board.suspects, board.refused_fingerprints):
            for fingerprint in [f for f, end in table.items() if end < now]:
                del table[fingerprint]
