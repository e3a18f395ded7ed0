"""Count request outcomes and measure them against class targets."""

from __future__ import annotations

import collections

from hdrh import histogram
from prometheus_client import core as prometheus

from persimmonroute import caller_metrics
from persimmonroute.entry.messages import Outcome

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class ClassMetrics:
    """Count the requests of one class."""

    def __init__(self):
        self.outcomes = collections.Counter()
        self.within_target = 0
        self.first_token_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )

    @property
    def ended(self):
        """Return the number of ended requests."""
        return sum(self.outcomes.values())

    @property
    def success_share(self):
        """Return the share of ended requests completed within target."""
        return self.within_target / self.ended if self.ended else 1.0


class RequestTimes:
    """Store the arrival and response times of one request, in seconds."""

    def __init__(self, arrived_at):
        self.arrived_at = arrived_at
        self.first_at = None
        self.chunks = 0


class EntryMetrics:
    """Measure the requests of one entry by class."""

    def __init__(self, caller_account):
        self._caller_account = caller_account
        self._classes = collections.defaultdict(ClassMetrics)
        self._times: dict[str, RequestTimes] = {}
        self._class_names: dict[str, str] = {}

    @property
    def classes(self):
        """Return the metrics by class name."""
        return self._classes

    def on_arrived(self, call, now):
        """Record the arrival of a request."""
        self._times[call.request_id] = RequestTimes(now)
        self._class_names[call.request_id] = call.class_name

    def on_data(self, request_id, now):
        """Record a chunk of a response."""
        times = self._times.get(request_id)
        if times is None:
            return
        times.chunks += 1
        if times.first_at is None:
            times.first_at = now

    def on_ended(self, effect, work_class, now):
        """Record the end of a request."""
        times = self._times.pop(effect.request_id, None)
        name = self._class_names.pop(effect.request_id, None)
        if times is None:
            return
        class_metrics = self._classes[name]
        class_metrics.outcomes[effect.outcome.value] += 1
        if effect.outcome is not Outcome.COMPLETED:
            return
        first_at = times.first_at or now
        spent_ms = int((first_at - times.arrived_at) * 1000)
        class_metrics.first_token_ms.record_value(
            min(max(spent_ms, 1), MAX_LATENCY_MS)
        )
        if work_class is not None:
            class_metrics.within_target += _is_within(work_class, times, now)

    def collect(self):
        """Yield the Prometheus metric families."""
        ended = prometheus.CounterMetricFamily(
            'persimmonroute_requests',
            'Requests with a final response.',
            labels=['work_class', 'outcome'],
        )
        good = prometheus.CounterMetricFamily(
            'persimmonroute_requests_within_target',
            'Requests completed within the target of their class.',
            labels=['work_class'],
        )
        first = prometheus.GaugeMetricFamily(
            'persimmonroute_first_token_seconds',
            'Time to the first part of the response, by quantile.',
            labels=['work_class', 'quantile'],
        )
        for name, class_metrics in sorted(self._classes.items()):
            for outcome, count in sorted(class_metrics.outcomes.items()):
                ended.add_metric([name, outcome], count)
            good.add_metric([name], class_metrics.within_target)
            for quantile in QUANTILES:
                value = class_metrics.first_token_ms.get_value_at_percentile(
                    quantile * 100
                )
                first.add_metric([name, str(quantile)], value / 1000)
        yield from (ended, good, first)
        yield from caller_metrics.collect_account(self._caller_account)


def _is_within(work_class, times, now):
    target = work_class.target
    if target.answer_s is not None:
        return now - times.arrived_at <= target.answer_s
    first_at = times.first_at or now
    gap = (now - first_at) / max(times.chunks - 1, 1)
    in_time = first_at - times.arrived_at <= target.first_token_s
    return in_time and gap <= target.token_gap_s
