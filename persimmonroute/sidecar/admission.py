"""Decide which offers a sidecar admits and which it sheds."""

from __future__ import annotations

import abc
import typing

from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import board as boards

MIN_RETRY_AFTER_S = 1.0
# One more tier is admitted once the predicted wait is below this share of
# the patience of the last shed request.
READMIT_WAIT_SHARE = 0.5


class AdmissionDecision(typing.NamedTuple):
    """Record whether an offer is admitted, its wait and refusal reason."""

    accepted: bool
    wait_s: float
    reason: int = pb.REFUSAL_REASON_UNSPECIFIED


class AdmissionPolicy(abc.ABC):
    """Decide whether an offer may be queued."""

    @abc.abstractmethod
    def evaluate(self, attempt, now):
        """Return the AdmissionDecision for an offered attempt."""

    def on_shed(self, tier, patience_s):
        """Record that a request of a tier was shed."""

    def refresh(self, now):
        """Update the lowest admitted tier."""


class AcceptAll(AdmissionPolicy):
    """Accept every offer, as a baseline policy."""

    def evaluate(self, attempt, now):
        """Accept the offer with a predicted wait of zero."""
        return AdmissionDecision(True, 0.0)


class TieredAdmission(AdmissionPolicy):
    """Shed the lowest tiers first, based on the predicted wait."""

    def __init__(self, board, limit):
        self._board = board
        self._limit = limit
        self._shed_patience_s = 0.0

    def evaluate(self, attempt, now):
        """Accept an attempt of an admitted tier that can start in time."""
        board = self._board
        self.refresh(now)
        wait = predict_wait_s(
            board, self._limit, board.queue.ahead_of(attempt), now
        )
        late = wait > attempt.offer.patience_s
        if attempt.tier > board.admitted_tier or late:
            return AdmissionDecision(False, wait, pb.OVERLOADED)
        return AdmissionDecision(True, wait)

    def on_shed(self, tier, patience_s):
        """Stop admitting tiers below the shed one."""
        if tier <= self._board.admitted_tier:
            self._board.admitted_tier = tier
            self._shed_patience_s = patience_s

    def refresh(self, now):
        """Admit one more tier once the predicted wait has fallen."""
        board = self._board
        if board.admitted_tier == boards.LOWEST_TIER:
            return
        wait = predict_tier_wait_s(
            board, self._limit, board.admitted_tier, now
        )
        if wait < READMIT_WAIT_SHARE * self._shed_patience_s:
            board.admitted_tier += 1


def predict_tier_wait_s(board, limit, tier, now):
    """Return the predicted wait of a new request of a tier, in seconds."""
    ahead = [attempt for attempt in board.queue if attempt.tier <= tier]
    return predict_wait_s(board, limit, ahead, now)


def predict_wait_s(board, limit, ahead, now):
    """Return the predicted wait behind other attempts, in seconds."""
    return max(
        limit.wait_s(ahead, board.running, now),
        board.rate_limit.wait_s(len(ahead) + 1, now),
    )


def retry_after_s(wait_s):
    """Return the delay in seconds before a refused request is retried."""
    return max(wait_s, MIN_RETRY_AFTER_S)
