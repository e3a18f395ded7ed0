"""Format metrics in the Prometheus text format."""

from __future__ import annotations

import prometheus_client
from prometheus_client import exposition


def format_metrics(collector):
    """Return the metrics of a collector in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(collector)
    return exposition.generate_latest(registry)
