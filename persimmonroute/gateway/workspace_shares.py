"""Divide the slot time of a tier fairly among the workspaces that want it.

It answers a workspace that sends many times its usual load while a tier gets
less than it asks for: served in the order of arrival, it would take the
capacity that the others need.
"""

from __future__ import annotations

import math
import typing

# Time constant of demand and use: long enough to smooth single requests, short
# enough to follow a burst, and to learn the shares anew after a lost host.
WINDOW_S = 2.0
# Use of a workspace relative to its fair part from which its requests wait
# for the others: within it, chance decides who sent a little more.
TOLERATED_EXCESS = 1.25
# There is contention if a tier got less than this part of what it asked for;
# the use of a request follows its demand by the time in the queue.
CONTENTION_SHARE = 0.9
# Fair parts are computed this often; they change with WINDOW_S.
LEVEL_INTERVAL_S = 0.05
# Demand in seconds of slot time under which a workspace is forgotten.
MIN_DEMAND_S = 1e-3
# Workspaces of a tier that are told apart; one takes about 200 bytes.
MAX_WORKSPACES = 4096


class ShareReport(typing.NamedTuple):
    """Tell what a workspace got in a tier recently."""

    tier: int
    workspace: int
    # Slots that its requests asked for and got, as means.
    demanded: float
    used: float
    # Slots that it may use before others go first; infinity without
    # contention.
    fair: float


class Usage:
    """Sum up the demand and the use of one workspace with decay."""

    def __init__(self, now):
        self.demand_s = 0.0
        self.used_s = 0.0
        self._at = now

    def advance(self, now):
        """Apply the decay until now."""
        if now > self._at:
            factor = math.exp((self._at - now) / WINDOW_S)
            self.demand_s *= factor
            self.used_s *= factor
            self._at = now


class TierShares:
    """Follow the workspaces of one tier."""

    def __init__(self):
        self.usages = {}
        self.level_s = math.inf
        self._computed_at = -math.inf

    def find(self, workspace, now):
        """Return the current Usage of a workspace."""
        usage = self.usages.get(workspace)
        if usage is None:
            if len(self.usages) >= MAX_WORKSPACES:
                del self.usages[next(iter(self.usages))]
            usage = self.usages[workspace] = Usage(now)
        usage.advance(now)
        return usage

    def refresh(self, now):
        """Compute the fair part anew if it is due."""
        if now - self._computed_at < LEVEL_INTERVAL_S:
            return
        self._computed_at = now
        for workspace, usage in list(self.usages.items()):
            usage.advance(now)
            if usage.demand_s < MIN_DEMAND_S and usage.used_s < MIN_DEMAND_S:
                del self.usages[workspace]
        demands_s = [max(u.demand_s, u.used_s) for u in self.usages.values()]
        used_s = sum(u.used_s for u in self.usages.values())
        self.level_s = math.inf
        if used_s < CONTENTION_SHARE * sum(demands_s):
            self.level_s = _find_level_s(demands_s, used_s)


class WorkspaceShares:
    """Tell whose requests wait for those of other workspaces."""

    def __init__(self):
        self._tiers = {}

    def record_demand(self, tier, workspace, work_s, now):
        """Record the slot time that a new request asks for."""
        self._find_tier(tier).find(workspace, now).demand_s += work_s

    def record_use(self, tier, workspace, work_s, now):
        """Record the slot time that a granted request gets."""
        self._find_tier(tier).find(workspace, now).used_s += work_s

    def find_excess(self, tier, workspace, ahead_s, now):
        """Return by how much a request exceeds its workspace's fair part.

        ahead_s is the slot time of the workspace's queued requests that go
        before it. Zero means that the request is within the fair part.
        """
        shares = self._find_tier(tier)
        shares.refresh(now)
        usage = shares.usages.get(workspace)
        if usage is None or shares.level_s == math.inf:
            return 0.0
        fair_s = TOLERATED_EXCESS * shares.level_s
        usage.advance(now)
        return max((usage.used_s + ahead_s) / max(fair_s, 1e-9) - 1.0, 0.0)

    def report(self, now):
        """Return a ShareReport of each workspace and tier."""
        reports = []
        for tier, shares in self._tiers.items():
            shares.refresh(now)
            reports += [
                ShareReport(
                    tier,
                    workspace,
                    usage.demand_s / WINDOW_S,
                    usage.used_s / WINDOW_S,
                    TOLERATED_EXCESS * shares.level_s / WINDOW_S,
                )
                for workspace, usage in shares.usages.items()
            ]
        return reports

    def _find_tier(self, tier):
        return self._tiers.setdefault(tier, TierShares())


def _find_level_s(demands_s, used_s):
    """Return the part of each workspace that wants more than it.

    Workspaces that want less get what they want, the others the same part,
    so that all parts together are what the tier got; infinity if every
    workspace gets what it wants.
    """
    left_s = used_s
    ordered = sorted(demands_s)
    for index, demand_s in enumerate(ordered):
        part_s = left_s / (len(ordered) - index)
        if demand_s > part_s:
            return part_s
        left_s -= demand_s
    return math.inf
