"""Limit the requests in flight at an endpoint."""

from __future__ import annotations

import abc

INITIAL_RUNNING = 8.0
MIN_RUNNING = 1.0
MAX_RUNNING = 512.0
ADJUST_INTERVAL_S = 0.5
MIN_GAP_SAMPLES = 8
GAP_QUANTILE = 0.95
# Fraction of the token gap target above which the limit is lowered.
GAP_HEADROOM = 0.9
DECREASE_FACTOR = 0.85
INCREASE_SHARE = 0.05
DEFAULT_TOKEN_GAP_S = 0.051
DEFAULT_PREFILL_TOKENS_PER_S = 5000.0
DEFAULT_SERVICE_TIME_S = 1.0
# Bounds the prefill in flight, so that the sidecar's queue and not the
# engine decides which request is next.
PREFILL_WINDOW_S = 0.15
SMOOTHING_FACTOR = 0.2
MIN_PREFILL_SAMPLE_TOKENS = 64


class EndpointLimit(abc.ABC):
    """Estimate an endpoint's speed and limit its requests in flight."""

    def __init__(self):
        self.max_running = INITIAL_RUNNING
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self.token_gap_s = 0.0

    @abc.abstractmethod
    def has_capacity(self, attempt, running, now):
        """Return whether an attempt may start next to the running ones."""

    @abc.abstractmethod
    def wait_s(self, ahead, running, now):
        """Return the predicted wait behind other attempts, in seconds."""

    def on_token(self, attempt, running, tokens, now):
        """Update the estimates from received tokens."""

    def on_end(self, attempt, running, now):
        """Update the service time from a completed attempt."""
        sample = now - attempt.started_at
        self.service_time_s += SMOOTHING_FACTOR * (
            sample - self.service_time_s
        )

    def _slot_wait_s(self, ahead, running):
        excess = len(ahead) + 1 + len(running) - self.max_running
        if excess <= 0:
            return 0.0
        return excess * self.service_time_s / self.max_running


class PlainLimit(EndpointLimit):
    """Limit the number of concurrent calls to a plain service."""

    def has_capacity(self, attempt, running, now):
        """Return whether fewer calls than the limit are running."""
        return len(running) < self.max_running

    def wait_s(self, ahead, running, now):
        """Return the predicted wait for a free slot, in seconds."""
        return self._slot_wait_s(ahead, running)


class ModelLimit(EndpointLimit):
    """Limit the batch size and the prefill in flight at a model engine."""

    def __init__(self):
        super().__init__()
        self._gaps = []
        self._adjusted_at = 0.0
        self._limit_reached = False

    def has_capacity(self, attempt, running, now):
        """Return whether both the batch and the prefill have capacity."""
        if len(running) >= int(self.max_running):
            self._limit_reached = True
            return False
        # Elapsed time is not deducted: an engine busy with decoding may not
        # have begun the prefill of requests it has received.
        backlog = sum(
            self.prefill_s(other)
            for other in running.values()
            if other.first_token_at is None
        )
        if backlog <= 0:
            return True
        return backlog + self.prefill_s(attempt) <= PREFILL_WINDOW_S

    def prefill_s(self, attempt):
        """Return the predicted prefill time of an attempt, in seconds."""
        return attempt.prefill_tokens / self.prefill_tokens_per_s

    def wait_s(self, ahead, running, now):
        """Return the predicted wait for prefill and batch, in seconds."""
        prefill = self._prefill_backlog_s(running, now)
        prefill += sum(self.prefill_s(attempt) for attempt in ahead)
        return max(prefill, self._slot_wait_s(ahead, running))

    def on_token(self, attempt, running, tokens, now):
        """Update the prefill rate or, after the first token, the token gap."""
        if attempt.first_token_at == now:
            self._update_prefill_rate(attempt, running, now)
            return
        gap = (now - attempt.last_token_at) / max(tokens, 1)
        self._gaps.append(gap)
        self.token_gap_s += SMOOTHING_FACTOR * (gap - self.token_gap_s)
        self._adjust(running, now)

    def _prefill_backlog_s(self, running, now):
        backlog = 0.0
        for attempt in running.values():
            if attempt.first_token_at is None:
                backlog += self.prefill_s(attempt)
                if attempt.started_at is not None:
                    backlog -= now - attempt.started_at
        return max(backlog, 0.0)

    def _update_prefill_rate(self, attempt, running, now):
        shared = any(
            other.first_token_at is None
            or other.first_token_at > attempt.started_at
            for other in running.values()
            if other is not attempt
        )
        if shared or attempt.prefill_tokens < MIN_PREFILL_SAMPLE_TOKENS:
            return
        elapsed_s = max(now - attempt.started_at, 1e-4)
        sample = attempt.prefill_tokens / elapsed_s
        self.prefill_tokens_per_s += SMOOTHING_FACTOR * (
            sample - self.prefill_tokens_per_s
        )

    def _adjust(self, running, now):
        due = now - self._adjusted_at >= ADJUST_INTERVAL_S
        if not due or len(self._gaps) < MIN_GAP_SAMPLES:
            return
        self._gaps.sort()
        gap = self._gaps[int(GAP_QUANTILE * (len(self._gaps) - 1))]
        if gap > GAP_HEADROOM * _strictest_gap_target_s(running):
            lowered = self.max_running * DECREASE_FACTOR
            self.max_running = max(lowered, MIN_RUNNING)
        elif self._limit_reached:
            step = max(1.0, self.max_running * INCREASE_SHARE)
            self.max_running = min(self.max_running + step, MAX_RUNNING)
        self._gaps.clear()
        self._limit_reached = False
        self._adjusted_at = now


def _strictest_gap_target_s(running):
    targets = [
        attempt.offer.token_gap_s or DEFAULT_TOKEN_GAP_S
        for attempt in running.values()
    ]
    return min(targets, default=DEFAULT_TOKEN_GAP_S)
