"""Decide which offers a sidecar takes and which it sheds."""

from __future__ import annotations

import abc
import typing

from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import board as boards

MIN_RETRY_AFTER_S = 1.0
# Lower tiers are admitted again once the wait is this share of patience.
READMIT_SHARE = 0.5


class AdmissionDecision(typing.NamedTuple):
    """Accept an offer, or refuse it with the reason."""

    accepted: bool
    wait_s: float
    reason: int = pb.REFUSAL_REASON_UNSPECIFIED


class AdmissionPolicy(abc.ABC):
    """Decide whether an offer may wait."""

    @abc.abstractmethod
    def evaluate(self, attempt, now):
        """Return the Verdict on an item that was offered."""

    def on_shed(self, tier, patience_s):
        """Learn that a request of a tier was shed."""

    def refresh(self, now):
        """Bring the admission level up to date."""


class AcceptAll(AdmissionPolicy):
    """Accept every offer; a baseline."""

    def evaluate(self, attempt, now):
        """Accept."""
        return AdmissionDecision(True, 0.0)


class TieredAdmission(AdmissionPolicy):
    """Shed the lowest tiers first by predicted wait."""

    def __init__(self, board, limit):
        self._board = board
        self._limit = limit
        self._shed_patience_s = 0.0

    def evaluate(self, attempt, now):
        """Accept an item that is predicted to start in time."""
        board = self._board
        self.refresh(now)
        ahead = board.queue.ahead_of(attempt)
        wait = self._limit.wait_s(ahead, board.running, now)
        late = wait > attempt.offer.patience_s
        if attempt.tier > board.admitted_tier or late:
            return AdmissionDecision(False, wait, pb.OVERLOADED)
        return AdmissionDecision(True, wait)

    def on_shed(self, tier, patience_s):
        """Stop admitting tiers below the one that was shed."""
        if tier <= self._board.admitted_tier:
            self._board.admitted_tier = tier
            self._shed_patience_s = patience_s

    def refresh(self, now):
        """Admit lower tiers again once the wait has fallen."""
        board = self._board
        if board.admitted_tier == boards.ALL_TIERS_ADMITTED:
            return
        wait = wait_of_tier(board, self._limit, board.admitted_tier, now)
        if wait < READMIT_SHARE * self._shed_patience_s:
            board.admitted_tier += 1


def wait_of_tier(board, limit, tier, now):
    """Return the seconds that a new request of a tier would wait."""
    ahead = [attempt for attempt in board.queue if attempt.tier <= tier]
    return limit.wait_s(ahead, board.running, now)


def retry_after_s(wait_s):
    """Return when a refused caller should come back, in seconds."""
    return max(wait_s, MIN_RETRY_AFTER_S)
