"""Enforce workspace quotas across all gateways."""

from __future__ import annotations

import collections
import typing

# Share of the tolerated excess that a bucket may hold. The rest covers what
# peers admit before their reports arrive, restarts, and a bucket that was
# full at the start of a partition, since both sides may then use it.
EXCESS_SHARE = 0.45
# Initial fill of a bucket relative to its capacity. A restarted gateway may
# have used its share just before.
INITIAL_FILL_SHARE = 0.4
# Fill of a bucket below which its use is reported to peers at once.
PRESSURE_SHARE = 0.8
# Buckets kept of workspaces that the configuration does not list any more.
MAX_FORMER_BUCKETS = 4096


class Tolerance(typing.NamedTuple):
    """Limit by how much the usage in a window may exceed the quota.

    overrun is a share of the quota and burst of a window; slack is in units.
    """

    window_s: float = 8.0
    overrun: float = 0.0
    slack: float = 0.0


class Bucket:
    """Store the token bucket of one workspace, in units."""

    def __init__(self, quota, tolerance, now):
        self.tolerance = tolerance
        self.quota = quota
        self.level = INITIAL_FILL_SHARE * self.capacity
        self.updated_at = now
        # Time up to which each peer's share of the refill is credited.
        self.credited_until = {}
        # Units used through this gateway since it started.
        self.used = 0.0

    @property
    def capacity(self):
        """Return the units in a full bucket."""
        quota, allowed = self.quota, self.tolerance
        regular = quota.per_s * allowed.window_s + quota.burst
        excess = allowed.overrun * regular + allowed.slack
        return quota.burst + EXCESS_SHARE * excess


class QuotaLimiter:
    """Limit each workspace with a token bucket shared by all gateways.

    Every gateway deducts what it admits and what its peers report. Each
    gateway owns an equal share of the refill. A peer's share is credited
    only up to its last report, since its usage after that is unknown. The
    sides of a network partition therefore stay within the quota together,
    however late the partition is detected.
    """

    def __init__(self, tolerance=Tolerance()):
        self._tolerance = tolerance
        # Time of the first configuration; peer reports arrive from then on.
        self._started_at = None
        self._buckets = {}
        # Buckets of workspaces that may be listed again: their usage goes on,
        # as peers count from what was reported before.
        self._former_buckets = collections.OrderedDict()
        self._peer_used = {}
        # Time of each peer's last report; None before the first one.
        self._last_report_at = {}
        self._reporting_share = 1.0
        # Whether a nearly exhausted bucket was used since the last call of
        # take_pressure.
        self._pressure = False

    def take_pressure(self):
        """Return and clear whether peers should hear of the usage soon."""
        pressure, self._pressure = self._pressure, False
        return pressure

    def set_tolerance(self, tolerance):
        """Set by how much the usage may exceed the quotas."""
        self._tolerance = tolerance
        for bucket in self._buckets.values():
            bucket.tolerance = tolerance

    def set_peers(self, last_report_at, reporting_share):
        """Set the last report times and the share of responsive gateways."""
        if self._last_report_at.keys() - last_report_at.keys():
            # While a peer is gone, the others are credited its share.
            for bucket in self._buckets.values():
                for peer in bucket.credited_until.keys() - last_report_at:
                    del bucket.credited_until[peer]
        self._last_report_at = last_report_at
        self._reporting_share = reporting_share

    def apply(self, workspaces, now):
        """Apply the quotas of a configuration."""
        if self._started_at is None:
            self._started_at = now
        buckets = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            bucket = self._find_bucket(workspace.name)
            if bucket is None:
                bucket = Bucket(quota, self._tolerance, now)
            elif bucket.quota != quota:
                self._refill(bucket, now)
                bucket.quota = quota
                bucket.level = min(bucket.level, bucket.capacity)
            buckets[workspace.name] = bucket
        self._keep_former(self._buckets.keys() - buckets.keys())
        self._buckets = buckets

    def _find_bucket(self, name):
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._former_buckets.pop(name, None)
            if bucket is not None:
                bucket.tolerance = self._tolerance
        return bucket

    def _keep_former(self, names):
        for name in names:
            bucket = self._former_buckets[name] = self._buckets[name]
            bucket.credited_until.clear()
        while len(self._former_buckets) > MAX_FORMER_BUCKETS:
            self._former_buckets.popitem(last=False)

    def units(self, workspace, request):
        """Return the units that a request is charged."""
        if request.states_tokens:
            return float(request.prompt_tokens + request.output_tokens)
        return workspace.quota.plain_units

    def find_wait_s(self, workspace, request, now):
        """Return the seconds until a request fits into the quota."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return 0.0
        self._refill(bucket, now)
        units = self.units(workspace, request)
        # A request larger than the capacity passes once the bucket is full.
        required_units = min(units, bucket.capacity * self._reporting_share)
        if bucket.level >= required_units:
            return 0.0
        rate = max(bucket.quota.per_s * self._reporting_share, 1.0)
        return (required_units - bucket.level) / rate

    def take(self, workspace, request, now):
        """Charge a request; return 0, or the seconds until it fits."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return 0.0
        wait_s = self.find_wait_s(workspace, request, now)
        if wait_s:
            return wait_s
        units = self.units(workspace, request)
        bucket.level -= units
        bucket.used += units
        if bucket.level < PRESSURE_SHARE * bucket.capacity:
            self._pressure = True
        return 0.0

    def refund(self, workspace, request):
        """Refund the units of a request that never ran."""
        bucket = self._buckets.get(workspace.name)
        # A workspace that had no quota at its admission was not charged.
        if bucket is not None and workspace.quota is not None:
            units = self.units(workspace, request)
            bucket.level += units
            bucket.used -= units

    def report_used(self):
        """Return the units used through this gateway by workspace."""
        return {
            name: bucket.used
            for name, bucket in self._buckets.items()
            if bucket.used
        }

    def report_remaining(self):
        """Return the remaining units by workspace."""
        return {name: b.level for name, b in self._buckets.items()}

    def apply_peer_usage(self, peer, used, now):
        """Deduct what a peer has used since its last report.

        The first report of a peer counts in full if this gateway has run
        for a full window, since the peer must then have just started.
        Otherwise the usage may be old and is not deducted. A peer that was
        not heard before may also have run for long, cut off from this
        gateway: it has used its own share, so no more than a full bucket is
        deducted.
        """
        previous_used = self._peer_used.get(peer)
        first = previous_used is None
        if first:
            previous_used = self._peer_used[peer] = {}
            if self._started_recently(now):
                previous_used.update(used)
                return
        for name, units in used.items():
            added = units - previous_used.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None and added:
                # A full bucket discards the refill, so refill first.
                self._refill(bucket, now)
                bucket.level -= min(added, bucket.capacity) if first else added
            previous_used[name] = units

    def _started_recently(self, now):
        since = self._started_at
        return since is None or now - since < self._tolerance.window_s

    def remove_peer(self, peer):
        """Drop the reported usage of a peer's previous incarnation."""
        self._peer_used.pop(peer, None)

    def _refill(self, bucket, now):
        """Credit the own share up to now, a peer's up to its last report."""
        members = len(self._last_report_at) + 1
        seconds = now - bucket.updated_at
        for peer, last_report_at in self._last_report_at.items():
            if last_report_at is None:
                continue
            since = bucket.credited_until.setdefault(peer, last_report_at)
            if last_report_at > since:
                seconds += last_report_at - since
                bucket.credited_until[peer] = last_report_at
        gained = seconds * bucket.quota.per_s / members
        full = bucket.capacity * self._reporting_share
        bucket.level = min(bucket.level + gained, full)
        bucket.updated_at = now
