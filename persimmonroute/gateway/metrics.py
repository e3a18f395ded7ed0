"""Collect a gateway's request counters, latencies and gauges."""

from __future__ import annotations

import collections
import math

from hdrh import histogram
from prometheus_client import core as prometheus

from persimmonroute import caller_metrics
from persimmonroute import clock
from persimmonroute.gateway import caller_identity
from persimmonroute.gateway import endpoint_limits
from persimmonroute import logs

MAX_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
# Routes with a histogram of their own; the rest share one, which bounds the
# memory under a configuration of many routes.
MAX_ROUTES = 64
OTHER_ROUTES = 'other'


class Timing:
    """Record a latency distribution with millisecond resolution."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds):
        """Record one latency, given in seconds."""
        value = min(max(int(seconds * 1000), 1), MAX_LATENCY_MS)
        self._histogram.record_value(value)

    def quantile(self, share):
        """Return the latency in seconds at a quantile between 0 and 1."""
        return self._histogram.get_value_at_percentile(share * 100) / 1000


class GatewayMetrics:
    """Collect the metrics of one gateway."""

    def __init__(self, board, scheduler, host):
        self._board = board
        self._scheduler = scheduler
        self._host = host
        self.outcomes = collections.Counter()
        self.attempts = collections.Counter()
        self._queue_wait = {}
        self._first_byte = {}

    def on_sent(self, pending, now):
        """Record the time a request spent in the queue."""
        timing = self._timing_of(self._queue_wait, pending)
        timing.record(now - pending.queued_at)

    def on_first_byte(self, pending, now):
        """Record the time to the first byte of a response."""
        self._timing_of(self._first_byte, pending).record(
            now - pending.arrived_at
        )

    def on_attempt(self, ending):
        """Count an attempt at an endpoint by its ending."""
        self.attempts[ending.value] += 1

    def on_ended(self, route, outcome, reason):
        """Count a final response by route, outcome and reason."""
        self.outcomes[(route, outcome, reason)] += 1

    def collect(self):
        """Yield the metric families for a Prometheus scrape."""
        yield self._collect_outcomes()
        attempts = prometheus.CounterMetricFamily(
            'persimmonroute_attempts',
            'Attempts at endpoints by ending.',
            labels=['ending'],
        )
        for ending, count in sorted(self.attempts.items()):
            attempts.add_metric([ending], count)
        yield attempts
        yield _collect_times(
            'persimmonroute_queue_wait_seconds',
            'Time between arrival in the queue and the send to an endpoint.',
            self._queue_wait,
        )
        yield _collect_times(
            'persimmonroute_first_byte_seconds',
            'Time between arrival and the first byte of the response.',
            self._first_byte,
        )
        yield from self._collect_state()

    def _collect_outcomes(self):
        family = prometheus.CounterMetricFamily(
            'persimmonroute_gateway_requests',
            'Requests with a final response.',
            labels=['route', 'outcome', 'reason'],
        )
        for labels, count in sorted(self.outcomes.items()):
            family.add_metric(list(labels), count)
        return family

    def _collect_state(self):
        board, now = self._board, clock.now_s()
        runners = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_in_flight',
            'In-flight requests at an endpoint, of this gateway or its peers.',
            labels=['endpoint', 'sender'],
        )
        for view in board.runner_registry:
            runners.add_metric([view.id, 'own'], len(view.in_flight))
            peers = sum(view.peer_in_flight.values())
            runners.add_metric([view.id, 'peers'], peers)
        yield runners
        limits = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_limit_per_second',
            'Requests per second that an endpoint takes, if it names a limit.',
            labels=['endpoint'],
        )
        for view in board.runner_registry:
            per_s = board.runner_registry.limits.find_rate(view.record)
            if per_s < endpoint_limits.UNLIMITED:
                limits.add_metric([view.id], per_s)
        yield limits
        yield from self._collect_capacities(now)
        yield _gauge(
            'persimmonroute_configuration_age_seconds',
            'Time since the configuration was last confirmed as the newest.',
            min(board.configuration_freshness.age_s(now), 1e9),
        )
        yield _gauge(
            'persimmonroute_configuration_version',
            'Version of the active configuration.',
            board.version,
        )
        yield _gauge(
            'persimmonroute_configuration_behind_seconds',
            'Time for which peers have had a newer configuration.',
            board.behind_s(now),
        )
        yield _gauge(
            'persimmonroute_loop_delay_seconds',
            'Delay of the latest periodic step of the event loop.',
            board.loop_delay.latest_s,
        )
        yield _gauge(
            'persimmonroute_callers_delay_seconds',
            'Delay of the latest measured step of work for callers.',
            board.callers_delay_s,
        )
        yield _gauge(
            'persimmonroute_loop_delay_longest_seconds',
            'Longest delay of a periodic step since the start.',
            board.loop_delay.longest_s,
        )
        yield _gauge(
            'persimmonroute_gateways_heard_share',
            'Share of gateways with a recent load report, own included.',
            board.peers.reporting_share(now),
        )
        unreadable = prometheus.CounterMetricFamily(
            'persimmonroute_unreadable_parts',
            'Parts of messages of other gateways that were passed over.',
            labels=['part'],
        )
        for part, count in sorted(board.unreadable_parts.counts.items()):
            unreadable.add_metric([part], count)
        yield unreadable
        dropped = prometheus.CounterMetricFamily(
            'persimmonroute_log_lines_dropped', 'Dropped log lines.'
        )
        dropped.add_metric([], logs.count_dropped())
        yield dropped
        yield from self._collect_limits(now)
        yield from caller_metrics.collect_account(board.caller_account)
        yield from _collect_slow_readers(board.slow_readers)
        yield from self._collect_callers(now)

    def _collect_callers(self, now):
        reservations = prometheus.CounterMetricFamily(
            'persimmonroute_retry_reservations',
            'Reservations for refused callers, as far as hosted here: made,'
            ' and ended as kept, expired or revoked.',
            labels=['service', 'step'],
        )
        for service, counts in sorted(self._host.count_reservations().items()):
            for step, count in counts._asdict().items():
                reservations.add_metric([service, step], count)
        yield reservations
        slots = prometheus.GaugeMetricFamily(
            'persimmonroute_workspace_slots',
            'Slots that a workspace demanded and used lately, and its fair'
            ' part while its tier is contended, as far as hosted here.',
            labels=['service', 'region', 'tier', 'workspace', 'kind'],
        )
        names = self._find_workspace_names()
        for group, report in self._host.report_shares(now):
            name = names.get(report.workspace, f'{report.workspace:016x}')
            labels = [group.service, group.region, str(report.tier), name]
            slots.add_metric([*labels, 'demanded'], report.demanded)
            slots.add_metric([*labels, 'used'], report.used)
            if report.fair < math.inf:
                slots.add_metric([*labels, 'fair'], report.fair)
        yield slots

    def _find_workspace_names(self):
        """Return the names of the configured workspaces by their hash."""
        if self._board.route_table is None:
            return {}
        workspaces = self._board.route_table.configuration.workspaces
        return {caller_identity.hash_workspace(w): w.name for w in workspaces}

    def _collect_capacities(self, now):
        """Yield what is believed of endpoints that report a cost of work."""
        capacities = self._board.runner_registry.capacities
        ratios = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_time_ratio',
            'Time of a request at an endpoint relative to the usual:'
            ' lasting, and with the present cost of work.',
            labels=['endpoint', 'kind'],
        )
        trust = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_cost_trust',
            'Weight of the cost of work that an endpoint reports.',
            labels=['endpoint'],
        )
        growth = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_load_growth',
            'Growth of the time with each other request at an endpoint.',
            labels=['endpoint'],
        )
        limit = prometheus.GaugeMetricFamily(
            'persimmonroute_endpoint_sent_at_once',
            'Requests that an endpoint is sent at once.',
            labels=['endpoint'],
        )
        for view in self._board.runner_registry:
            if view.estimate is None:
                continue
            belief = view.estimate.describe(now)
            ratios.add_metric([view.id, 'lasting'], belief.lasting)
            ratios.add_metric([view.id, 'present'], belief.present)
            trust.add_metric([view.id], belief.trust)
            growth.add_metric([view.id], belief.growth)
            if belief.limit is not None:
                limit.add_metric([view.id], belief.limit)
        yield from (ratios, trust, growth, limit)
        unreadable = prometheus.CounterMetricFamily(
            'persimmonroute_unreadable_loads',
            'Responses whose load could not be read.',
            labels=['service'],
        )
        for service, count in sorted(capacities.unreadable.items()):
            unreadable.add_metric([service], count)
        yield unreadable

    def _collect_limits(self, now):
        quota = prometheus.GaugeMetricFamily(
            'persimmonroute_quota_left_units',
            'Quota units that a workspace may use now.',
            labels=['workspace'],
        )
        for name, units in sorted(
            self._board.quotas.report_remaining().items()
        ):
            quota.add_metric([name], units)
        yield quota
        repeats = prometheus.GaugeMetricFamily(
            'persimmonroute_repeats_in_window',
            'Retries of a service in the window of the retry budget.',
            labels=['service'],
        )
        for service, used in self._board.retries.report_used(now).items():
            repeats.add_metric([service], used)
        yield repeats
        yield from self._collect_rollouts()

    def _collect_rollouts(self):
        """Yield what the groups hosted here granted and got of rollouts."""
        held = prometheus.GaugeMetricFamily(
            'persimmonroute_rollout_held',
            '1 while the version gets no requests: it was first seen after'
            ' the last contact with the store or a peer.',
            labels=['service', 'version'],
        )
        for labels in self._board.rollouts.list_held():
            held.add_metric(labels, 1)
        if held.samples:
            yield held
        rollouts = list(self._board.rollouts)
        if not rollouts:
            return
        phases = prometheus.GaugeMetricFamily(
            'persimmonroute_rollout_phase',
            'Phase of the newest rollout of a service, as followed here.',
            labels=['service', 'version', 'phase'],
        )
        shares = prometheus.GaugeMetricFamily(
            'persimmonroute_rollout_share',
            'Share of new requests that the version may get.',
            labels=['service', 'version'],
        )
        counts = prometheus.GaugeMetricFamily(
            'persimmonroute_rollout_requests',
            'Requests granted here since the order, those exposed to the'
            ' version, and bad responses of it.',
            labels=['service', 'version', 'kind'],
        )
        forwarded = prometheus.GaugeMetricFamily(
            'persimmonroute_rollout_forwarded',
            '1 while the order is known from another gateway only.',
            labels=['service', 'version'],
        )
        for rollout in rollouts:
            plan, labels = rollout.plan, rollout.order[:2]
            phases.add_metric([*labels, plan.phase.value], 1)
            shares.add_metric(labels, plan.share)
            counts.add_metric([*labels, 'all'], rollout.requests)
            counts.add_metric([*labels, 'exposed'], rollout.exposed)
            bad = rollout.evidence.count(rollout.order.target).failed
            counts.add_metric([*labels, 'bad'], bad)
            forwarded.add_metric(labels, bool(rollout.forwarded_by))
        yield phases
        yield forwarded
        yield shares
        yield counts

    def _timing_of(self, timings, pending):
        name = pending.route.name
        if name not in timings and len(timings) >= MAX_ROUTES:
            name = OTHER_ROUTES
        if name not in timings:
            timings[name] = Timing()
        return timings[name]


def _gauge(name, summary, value):
    family = prometheus.GaugeMetricFamily(name, summary)
    family.add_metric([], value)
    return family


def _collect_times(name, summary, timings):
    family = prometheus.GaugeMetricFamily(
        name, summary, labels=['route', 'quantile']
    )
    for route, timing in sorted(timings.items()):
        for share in QUANTILES:
            value = timing.quantile(share)
            family.add_metric([route, str(share)], value)
    return family


def _collect_slow_readers(readers):
    """Yield what callers that are behind make the gateway hold."""
    behind = prometheus.GaugeMetricFamily(
        'persimmonroute_slow_readers',
        'Callers that have not read what has arrived for them.',
    )
    behind.add_metric([], len(readers.backlogs))
    yield behind
    held = prometheus.GaugeMetricFamily(
        'persimmonroute_slow_reader_bytes',
        'Bytes of responses that are kept for callers that are behind, and the'
        ' most that may be.',
        labels=['kind'],
    )
    held.add_metric(['held'], readers.used)
    held.add_metric(['limit'], readers.limit_bytes)
    yield held
    cut = prometheus.CounterMetricFamily(
        'persimmonroute_slow_readers_cut',
        'Responses cut off because the memory for slow callers was full.',
    )
    cut.add_metric([], readers.cut_count)
    yield cut
