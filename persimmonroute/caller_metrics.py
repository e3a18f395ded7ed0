"""Export what callers make a process hold as metrics."""

from __future__ import annotations

import collections
import math

from prometheus_client import core as prometheus


def collect_account(account):
    """Yield the metric families of an account of callers."""
    held = prometheus.GaugeMetricFamily(
        'persimmonroute_callers_held_bytes',
        'Memory that callers make the process hold, by kind.',
        labels=['kind'],
    )
    stages = collections.Counter()
    kinds = collections.Counter()
    for holding in account.holdings:
        stages[holding.stage.value] += 1
        kinds['unparsed'] += holding.unparsed
        kinds['body'] += holding.body
        kinds['unread'] += holding.unread
        kinds['request'] += holding.request
    kinds['connection'] = account.used - kinds.total()
    for kind, size in sorted(kinds.items()):
        held.add_metric([kind], size)
    yield held
    connections = prometheus.GaugeMetricFamily(
        'persimmonroute_caller_connections',
        'Connections of callers by stage of their request.',
        labels=['stage'],
    )
    for stage, count in sorted(stages.items()):
        connections.add_metric([stage], count)
    yield connections
    limits = prometheus.GaugeMetricFamily(
        'persimmonroute_caller_limits',
        'Limits of what callers may make the process hold.',
        labels=['limit'],
    )
    for name, value in account.limits._asdict().items():
        if value < math.inf:
            limits.add_metric([name], value)
    yield limits
    refused = prometheus.CounterMetricFamily(
        'persimmonroute_callers_refused',
        'Callers refused or closed because of what they hold or how long they'
        ' take, by reason.',
        labels=['reason'],
    )
    for reason, count in sorted(account.refusals.items()):
        refused.add_metric([reason], count)
    yield refused
    cut = prometheus.CounterMetricFamily(
        'persimmonroute_responses_cut',
        'Responses cut because there was no other memory to release.',
    )
    cut.add_metric([], account.responses_cut)
    yield cut
    pauses = prometheus.CounterMetricFamily(
        'persimmonroute_accepting_pauses',
        'Pauses of accepting for lack of places or descriptors.',
    )
    pauses.add_metric([], account.pauses)
    yield pauses
