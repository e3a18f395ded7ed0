"""Define the state that a gateway's components share."""

from __future__ import annotations

import collections
import math
import typing

from persimmonroute import caller_account
from persimmonroute import draining
from persimmonroute import durations
from persimmonroute.gateway import change_tracking
from persimmonroute.gateway import freshness
from persimmonroute.gateway import output_hints
from persimmonroute.gateway import peer_reading
from persimmonroute.gateway import peers
from persimmonroute.gateway import quarantine
from persimmonroute.gateway import quotas
from persimmonroute.gateway import retry_budget
from persimmonroute.gateway import rollouts
from persimmonroute.gateway import routes
from persimmonroute.gateway import runners
from persimmonroute.gateway import slow_readers
from persimmonroute.gateway import stream_origins
from persimmonroute import loop_delay
from persimmonroute import reading_budget


# The store notifies all gateways of a configuration within milliseconds. One
# that peers have had for longer is missing in a store that was restored.
MISSED_CONFIGURATION_S = 0.5
# Versions that are remembered until all gateways should have read them.
MAX_ADOPTIONS = 64
# Earlier route tables that are remembered, for the life of a stream.
MAX_FORMER_TABLES = 256


class Bounds(typing.NamedTuple):
    """Store the platform's limits on staleness, retries and quotas."""

    # A revoked key is rejected by every gateway within this time.
    revocation_s: float
    # A new configuration is applied by every gateway within this time.
    configuration_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quotas: quotas.Tolerance


# Settings that can be reloaded without a restart.
BOUND_SETTINGS = (
    'revocation_s',
    'configuration_s',
    'retry_ratio',
    'retry_slack',
    'retry_window_s',
    'quota_window_s',
    'quota_overrun',
    'quota_slack',
)


def read_bounds(settings):
    """Return the Bounds in the settings of a process."""
    return Bounds(
        revocation_s=settings.revocation_s,
        configuration_s=settings.configuration_s,
        retry_ratio=settings.retry_ratio,
        retry_slack=settings.retry_slack,
        retry_window_s=settings.retry_window_s,
        quotas=quotas.Tolerance(
            settings.quota_window_s,
            settings.quota_overrun,
            settings.quota_slack,
        ),
    )


class GatewayBoard:
    """Store a gateway's configuration, endpoints, peers and limits."""

    def __init__(self, name, bounds, locality):
        self.name = name
        self.bounds = bounds
        self.route_table: routes.RouteTable | None = None
        # Earlier tables without keys, with the time at which each was
        # replaced.
        self._former_tables = collections.deque(maxlen=MAX_FORMER_TABLES)
        # When the configuration was last confirmed to be the newest.
        self.configuration_freshness = freshness.Freshness()
        self.runner_registry = runners.RunnerRegistry()
        # True while the store does not serve this gateway.
        self.store_away = False
        # True once all registrations of endpoints have been read.
        self.registrations_read = False
        # How far the registrations have been read, here and by peers.
        self.registration_changes = change_tracking.ChangeTracker()
        self.peers = peers.PeerRegistry(name, locality)
        self.unreadable_parts = peer_reading.UnreadableParts()
        self.quotas = quotas.QuotaLimiter(bounds.quotas)
        self.retries = retry_budget.RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        self.quarantine = quarantine.Quarantine()
        # Orders to move services to other versions.
        self.rollouts = rollouts.Rollouts(self.runner_registry)
        # How long requests of each route take at endpoints.
        self.durations = durations.Durations()
        # How far the callers' estimates of the output can be trusted.
        self.output_hints = output_hints.OutputHints()
        self.open_requests = draining.OpenRequests()
        self.loop_delay = loop_delay.LoopDelay()
        # How long the latest measured step for callers waited for its turn.
        self.callers_delay_s = 0.0
        # What callers make the gateway hold.
        self.caller_account = caller_account.CallerAccount()
        self.slow_readers = slow_readers.SlowReaders(self.caller_account)
        # What responses of endpoints make the gateway keep.
        self.response_memory = reading_budget.ResponseMemory()
        # How the gateway stops; None while it serves.
        self.drain: draining.Drain | None = None
        # Streams that were broken off in the stop, for others to go on with.
        self.streams_handed_over = 0
        # Newest configuration version that a peer has reported.
        self.newest_reported_version = 0
        # Since when peers have had a newer configuration, None if they have
        # not, and when that was last said to be overdue.
        self._behind_since = None
        self._overdue_at = -math.inf
        # Versions that came into force of late, and the newest of those that
        # all gateways should have read since.
        self._adoptions = collections.deque(maxlen=MAX_ADOPTIONS)
        self._settled_version = 0
        # Number of times that the store was restored from an older copy, or
        # None before the first response.
        self.store_era = None
        # Called when the era rises.
        self.on_store_restored = lambda: None

    @property
    def draining(self):
        """Return whether the gateway is stopping."""
        return self.drain is not None

    @property
    def version(self):
        """Return the version of the configuration; 0 without one."""
        return (
            self.route_table.configuration.version if self.route_table else 0
        )

    def knows_service(self, name):
        """Return whether the configuration has a service, if there is one."""
        if self.route_table is None:
            return True
        services = self.route_table.configuration.services
        return any(service.name == name for service in services)

    def raise_store_era(self, era):
        """Record the era of the store as seen by this gateway or a peer."""
        if self.store_era is not None and era > self.store_era:
            self.store_era = era
            self.on_store_restored()
        self.store_era = max(self.store_era or 0, era)

    def apply_bounds(self, bounds):
        """Apply changed bounds."""
        self.bounds = bounds
        self.retries.set_limits(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        self.quotas.set_tolerance(bounds.quotas)

    def adopt_configuration(self, configuration, now):
        """Apply a configuration and return True if it is newer."""
        if configuration.version <= self.version:
            return False
        if self.route_table is not None:
            self._remember_routes(self.route_table.configuration, now)
        self._adoptions.append((now, configuration.version))
        self.route_table = routes.RouteTable(configuration)
        self.quotas.apply(configuration.workspaces, now)
        return True

    def _remember_routes(self, replaced, now):
        """Remember the routes of a replaced configuration, not its keys."""
        former = self._former_tables
        while former and now - former[0][1] > stream_origins.STREAM_LIFE_S:
            former.popleft()
        if former and former[-1][0].configuration.routes == replaced.routes:
            table, _ = former.pop()
        else:
            table = routes.RouteTable(replaced._replace(workspaces=()))
        former.append((table, now))

    def find_stream_services(self, host, path, now):
        """Return the services that can have begun a stream of a path."""
        tables = [
            table
            for table, replaced_at in self._former_tables
            if now - replaced_at <= stream_origins.STREAM_LIFE_S
        ]
        found = [t.find_route(host, path) for t in (*tables, self.route_table)]
        return {
            destination.service
            for route in found
            if route is not None
            for destination in route.destinations
        }

    def missed_configuration(self, now):
        """Return whether peers' newer configuration is overdue here.

        It is then due again after another MISSED_CONFIGURATION_S.
        """
        if self.behind_s(now) == 0.0:
            return False
        since = max(self._behind_since, self._overdue_at)
        if now - since < MISSED_CONFIGURATION_S:
            return False
        self._overdue_at = now
        return True

    def behind_s(self, now):
        """Return how long peers have had a newer configuration, in seconds."""
        if self.newest_reported_version <= self.version:
            self._behind_since = None
            return 0.0
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since

    def is_ahead_of(self, report, now):
        """Return whether a peer lacks what it should have read by itself."""
        adoptions = self._adoptions
        while adoptions and now - adoptions[0][0] >= MISSED_CONFIGURATION_S:
            _, self._settled_version = adoptions.popleft()
        return report.configuration_version < self._settled_version

    def record_reported_version(self, version, now):
        """Record the configuration version that a peer reports."""
        self.newest_reported_version = max(
            self.newest_reported_version, version
        )
        self.behind_s(now)

    def apply_peer_report(self, report, now):
        """Apply a peer's report; return False if it is outdated."""
        known_peer = self.peers.find(report.name)
        restarted = known_peer is not None and (
            known_peer.incarnation != report.incarnation
        )
        former_in_flight = {}
        if known_peer is not None and known_peer.report is not None:
            former_in_flight = known_peer.report.in_flight
        peer = self.peers.apply_report(report, now)
        if peer is None:
            return False
        if restarted:
            self.quotas.remove_peer(report.name)
        self.quotas.apply_peer_usage(report.name, report.used, now)
        self.quarantine.apply_peer_findings(
            report.name, report.crash_findings, now
        )
        for runner_id, started_at_ms in report.leaving:
            self.runner_registry.record_leaving(runner_id, started_at_ms, now)
        self.runner_registry.limits.learn(report.limits, now)
        for runner_id in former_in_flight.keys() - report.in_flight.keys():
            view = self.runner_registry.find(runner_id)
            if view is not None:
                view.peer_in_flight.pop(report.name, None)
        for runner_id, count in report.in_flight.items():
            view = self.runner_registry.find(runner_id)
            if view is not None:
                view.peer_in_flight[report.name] = count
        return True

    def refresh_peers(self, now):
        """Drop the load of stale peers; update the quota and retry limits."""
        for peer in self.peers.stale(now):
            for view in self.runner_registry:
                view.peer_in_flight.pop(peer.name, None)
        reporting_share = self.peers.reporting_share(now)
        gateways = self.peers.gateway_count(now)
        self.quotas.set_peers(
            self.peers.last_report_times(now), reporting_share
        )
        self.retries.set_gateways(gateways)
        self.runner_registry.limits.reporting_share = reporting_share
        self.runner_registry.limits.gateways = gateways
