"""Limit the requests in progress at an endpoint."""

from __future__ import annotations

import abc

INITIAL_RUNNING = 8.0
MIN_RUNNING = 1.0
MAX_RUNNING = 512.0
ADJUST_PERIOD_S = 0.5
MIN_SAMPLES = 8
GAP_QUANTILE = 0.95
# The limit falls when gaps come within this share of the target.
GAP_HEADROOM = 0.9
DECREASE_FACTOR = 0.85
INCREASE_SHARE = 0.05
DEFAULT_TOKEN_GAP_S = 0.051
DEFAULT_PREFILL_TOKENS_PER_S = 5000.0
DEFAULT_SERVICE_TIME_S = 1.0
# Prefill that may be in progress together, so that the order of the
# waiting line and not the engine decides what is next.
PREFILL_WINDOW_S = 0.15
SMOOTHING = 0.2
MIN_SPEED_SAMPLE_TOKENS = 64


class EndpointLimit(abc.ABC):
    """Learn an endpoint's speed and decide whether it has room."""

    def __init__(self):
        self.max_running = INITIAL_RUNNING
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self.token_gap_s = 0.0

    @abc.abstractmethod
    def has_capacity(self, attempt, running, now):
        """Tell whether an item may start beside those in progress."""

    @abc.abstractmethod
    def wait_s(self, ahead, running, now):
        """Return the seconds until an item behind others starts."""

    def on_token(self, attempt, running, tokens, now):
        """Learn from tokens of an answer."""

    def on_end(self, attempt, running, now):
        """Learn from the end of an answer."""
        sample = now - attempt.started_at
        self.service_time_s += SMOOTHING * (sample - self.service_time_s)

    def _slot_wait_s(self, ahead, running):
        excess = len(ahead) + 1 + len(running) - self.max_running
        if excess <= 0:
            return 0.0
        return excess * self.service_time_s / self.max_running


class PlainLimit(EndpointLimit):
    """Limit calls to a plain service by their number."""

    def has_capacity(self, attempt, running, now):
        """Tell whether fewer calls run than the limit."""
        return len(running) < self.max_running

    def wait_s(self, ahead, running, now):
        """Return the seconds until enough calls have ended."""
        return self._slot_wait_s(ahead, running)


class ModelLimit(EndpointLimit):
    """Limit requests and prefill in progress at a model engine."""

    def __init__(self):
        super().__init__()
        self._gaps = []
        self._adjusted_at = 0.0
        self._was_full = False

    def has_capacity(self, attempt, running, now):
        """Tell whether both the batch and the prefill have room."""
        if len(running) >= int(self.max_running):
            self._was_full = True
            return False
        # Time that has passed does not count: an engine that decodes much
        # may not have begun with what it was given.
        backlog = sum(
            self.prefill_s(other)
            for other in running.values()
            if other.first_token_at is None
        )
        if backlog <= 0:
            return True
        return backlog + self.prefill_s(attempt) <= PREFILL_WINDOW_S

    def prefill_s(self, attempt):
        """Return the seconds of prefill that an item needs."""
        return attempt.prefill_tokens / self.prefill_tokens_per_s

    def wait_s(self, ahead, running, now):
        """Return the seconds until prefill and batch have room."""
        prefill = self._prefill_backlog_s(running, now)
        prefill += sum(self.prefill_s(attempt) for attempt in ahead)
        return max(prefill, self._slot_wait_s(ahead, running))

    def on_token(self, attempt, running, tokens, now):
        """Learn prefill speed from first tokens and gaps from others."""
        if attempt.first_token_at == now:
            self._learn_prefill(attempt, running, now)
            return
        gap = (now - attempt.last_token_at) / max(tokens, 1)
        self._gaps.append(gap)
        self.token_gap_s += SMOOTHING * (gap - self.token_gap_s)
        self._adjust(running, now)

    def _prefill_backlog_s(self, running, now):
        backlog = 0.0
        for attempt in running.values():
            if attempt.first_token_at is None:
                backlog += self.prefill_s(attempt)
                if attempt.started_at is not None:
                    backlog -= now - attempt.started_at
        return max(backlog, 0.0)

    def _learn_prefill(self, attempt, running, now):
        others = any(
            other.first_token_at is None
            or other.first_token_at > attempt.started_at
            for other in running.values()
            if other is not attempt
        )
        if others or attempt.prefill_tokens < MIN_SPEED_SAMPLE_TOKENS:
            return
        spent = max(now - attempt.started_at, 1e-4)
        sample = attempt.prefill_tokens / spent
        self.prefill_tokens_per_s += SMOOTHING * (
            sample - self.prefill_tokens_per_s
        )

    def _adjust(self, running, now):
        due = now - self._adjusted_at >= ADJUST_PERIOD_S
        if not due or len(self._gaps) < MIN_SAMPLES:
            return
        self._gaps.sort()
        high = self._gaps[int(GAP_QUANTILE * (len(self._gaps) - 1))]
        if high > GAP_HEADROOM * _least_gap_target_s(running):
            lowered = self.max_running * DECREASE_FACTOR
            self.max_running = max(lowered, MIN_RUNNING)
        elif self._was_full:
            step = max(1.0, self.max_running * INCREASE_SHARE)
            self.max_running = min(self.max_running + step, MAX_RUNNING)
        self._gaps.clear()
        self._was_full = False
        self._adjusted_at = now


def _least_gap_target_s(running):
    targets = [
        attempt.offer.token_gap_s or DEFAULT_TOKEN_GAP_S
        for attempt in running.values()
    ]
    return min(targets, default=DEFAULT_TOKEN_GAP_S)
