"""Keep the share of a version among the grants of one group.

It answers the load of a rollout at the host of a group: the share holds over
any short span, so that the sum over all hosts stays inside the bound on the
exposure, and without news from the controller nothing new goes to the target.
"""

from __future__ import annotations

import math

import xxhash

from persimmonroute.gateway.rollout_control import Phase

# A plan that was not confirmed for longer allows nothing more at the target.
# The controller confirms it several times a second.
PLAN_VALID_S = 1.0
# Unused grants of the target are kept up to this number.
MAX_CREDIT = 2.0


class ExposureLimit:
    """Tell which versions of a service the next grant may use."""

    def __init__(self):
        self._plan = None
        self._confirmed_at = -math.inf
        self._credit = 1.0

    @property
    def plan(self):
        """Return the newest RolloutPlan, or None."""
        return self._plan

    def apply(self, plan, now):
        """Follow a plan; one of an older order or phase is ignored."""
        if self._plan is not None:
            if plan.revision < self._plan.revision:
                return
            same = plan.revision == self._plan.revision
            if (
                same
                and self._plan.phase.final
                and plan.phase != (self._plan.phase)
            ):
                return
            if not same:
                self._credit = 1.0
        self._plan = plan
        self._confirmed_at = now

    def expect(self, plan, now):
        """Follow an order that no controller has confirmed yet."""
        if self._plan is None or plan.revision > self._plan.revision:
            self.apply(plan._replace(share=0.0), now)

    def record_grant(self, version):
        """Count a grant of the service."""
        if self._plan is None:
            return
        self._credit = min(self._credit + self._plan.share, MAX_CREDIT)
        if version == self._plan.target:
            self._credit -= 1.0

    def filter(self, views, version, now):
        """Return the views that a request may be sent to.

        version is the one that began its stream, or None. Such a stream goes
        on at its version, which the caller of this method checks, unless that
        was rolled back.
        """
        plan = self._plan
        if plan is None:
            return views
        target = plan.target
        if plan.phase is Phase.ROLLED_BACK:
            return [v for v in views if v.record.version != target]
        if version is not None:
            return views
        if plan.phase is Phase.COMPLETED:
            return [v for v in views if v.record.version == target]
        if plan.phase is Phase.CUTOVER and self._is_confirmed(now):
            return [v for v in views if v.record.version == target]
        if not self._is_confirmed(now) or self._credit < 1.0:
            return [v for v in views if v.record.version != target]
        return self._limit_endpoints(views)

    def _is_confirmed(self, now):
        return now - self._confirmed_at <= PLAN_VALID_S

    def _limit_endpoints(self, views):
        """Concentrate the target's requests on few endpoints."""
        plan = self._plan
        if not plan.endpoints:
            return views
        of_target = sorted(
            (v for v in views if v.record.version == plan.target),
            key=lambda view: _rank(plan.revision, view.id),
        )
        others = [v for v in views if v.record.version != plan.target]
        return others + of_target[: plan.endpoints]


def _rank(revision, runner_id):
    return xxhash.xxh3_64_intdigest(f'{revision}|{runner_id}'.encode())
