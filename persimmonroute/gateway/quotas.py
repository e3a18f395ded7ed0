"""Hold workspaces to their quotas across all gateways."""

from __future__ import annotations

import typing

# Share of the allowed excess that a bucket may hold. The rest covers what
# peers admit before their reports arrive, restarts, and a bucket that was
# full when gateways lost each other, as both sides may then use it.
EXCESS_SHARE = 0.45
# Share of a full bucket that a gateway starts with, as it may follow one
# that has just used its share.
START_SHARE = 0.4


class Tolerance(typing.NamedTuple):
    """Hold by how much the use in a window may exceed the quota."""

    window_s: float = 8.0
    overrun: float = 0.0
    slack: float = 0.0


class Bucket:
    """Hold the units that a workspace may still use."""

    def __init__(self, quota, tolerance, now):
        self.tolerance = tolerance
        self.quota = quota
        self.level = START_SHARE * self.capacity
        self.updated_at = now
        # Time up to which each peer's share of the refill was credited.
        self.credited = {}
        # Units used through this gateway since it started.
        self.used = 0.0

    @property
    def capacity(self):
        """Return the units that a full bucket holds."""
        quota, allowed = self.quota, self.tolerance
        regular = quota.per_s * allowed.window_s + quota.burst
        excess = allowed.overrun * regular + allowed.slack
        return quota.burst + EXCESS_SHARE * excess


class QuotaLimiter:
    """Keep a bucket for each workspace, fed by all gateways' use.

    Every gateway deducts what it admits and what its peers report. Each
    gateway owns an equal share of the refill. A peer's share is credited
    only up to its last report, as nobody knows what it admitted since. So
    in every partition the parts together stay within the quota, however
    late the partition is noticed.
    """

    def __init__(self, tolerance=Tolerance()):
        self._tolerance = tolerance
        # Time of the first configuration, from which peers are heard.
        self._since = None
        self._buckets = {}
        self._peer_used = {}
        # When each peer was last heard; None for one that never was.
        self._last_report_at = {}
        self._reporting_share = 1.0

    def set_tolerance(self, tolerance):
        """Set by how much quotas may be exceeded."""
        self._tolerance = tolerance
        for bucket in self._buckets.values():
            bucket.tolerance = tolerance

    def set_peers(self, last_report_at, reporting_share):
        """Set when each peer was heard and the share that is heard now."""
        self._last_report_at = last_report_at
        self._reporting_share = reporting_share

    def apply(self, workspaces, now):
        """Take over the quotas of a configuration."""
        if self._since is None:
            self._since = now
        buckets = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            bucket = self._buckets.get(workspace.name)
            if bucket is None:
                bucket = Bucket(quota, self._tolerance, now)
            elif bucket.quota != quota:
                self._refill(bucket, now)
                bucket.quota = quota
                bucket.level = min(bucket.level, bucket.capacity)
            buckets[workspace.name] = bucket
        self._buckets = buckets

    def units(self, workspace, request):
        """Return the units that a request counts as."""
        if request.states_tokens:
            return float(request.prompt_tokens + request.output_tokens)
        return workspace.quota.plain_units

    def take(self, workspace, request, now):
        """Return 0 if a request fits, else the seconds until it does."""
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return 0.0
        self._refill(bucket, now)
        units = self.units(workspace, request)
        # A request over the capacity passes once the bucket is full.
        wanted = min(units, bucket.capacity * self._reporting_share)
        if bucket.level < wanted:
            rate = max(bucket.quota.per_s * self._reporting_share, 1.0)
            return (wanted - bucket.level) / rate
        bucket.level -= units
        bucket.used += units
        return 0.0

    def refund(self, workspace, request):
        """Return the units of a request that never ran."""
        bucket = self._buckets.get(workspace.name)
        if bucket is not None:
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

    def report_left(self):
        """Return the units that are left by workspace."""
        return {name: b.level for name, b in self._buckets.items()}

    def apply_peer_usage(self, peer, used, now):
        """Deduct what a peer has used since its last report.

        The first report of a peer counts whole when this gateway would
        have heard an older one: then the peer has just started. Else its
        use is not known to be recent, and does not count.
        """
        known = self._peer_used.get(peer)
        if known is None:
            known = self._peer_used[peer] = {}
            if self._is_new(now):
                known.update(used)
                return
        for name, units in used.items():
            fresh = units - known.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None and fresh:
                # A full bucket gains nothing, so the refill comes first.
                self._refill(bucket, now)
                bucket.level -= fresh
            known[name] = units

    def _is_new(self, now):
        since = self._since
        return since is None or now - since < self._tolerance.window_s

    def remove_peer(self, peer):
        """Drop the reports of a peer's former incarnation."""
        self._peer_used.pop(peer, None)

    def _refill(self, bucket, now):
        """Credit the own share until now, and those of peers as heard."""
        members = len(self._last_report_at) + 1
        seconds = now - bucket.updated_at
        for peer, last_report_at in self._last_report_at.items():
            if last_report_at is None:
                continue
            since = bucket.credited.setdefault(peer, last_report_at)
            if last_report_at > since:
                seconds += last_report_at - since
                bucket.credited[peer] = last_report_at
        gained = seconds * bucket.quota.per_s / members
        full = bucket.capacity * self._reporting_share
        bucket.level = min(bucket.level + gained, full)
        bucket.updated_at = now
