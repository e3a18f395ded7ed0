"""Keep the share of a version among the grants of one group.

It answers the load of a rollout at the host of a group: the share holds over
any short span, so that the sum over all hosts stays inside the bound on the
exposure, and without news from the controller nothing new goes to the target.
"""

from __future__ import annotations

import abc
import math

import xxhash

from persimmonroute.gateway.rollout_control import Phase

# A plan that was not confirmed for longer allows nothing more at the target.
# The controller confirms it several times a second.
PLAN_VALID_S = 1.0
# Unused grants of the target are kept up to this number.
MAX_CREDIT = 2.0


class VersionPolicy(abc.ABC):
    """Tell a scheduler which versions of a service it may use."""

    @abc.abstractmethod
    def filter(self, pending, views, now):
        """Return the views that a request may be sent to now."""

    @abc.abstractmethod
    def list_main(self, service, views, now):
        """Return the views that serve most new requests of a service."""

    @abc.abstractmethod
    def record_grant(self, pending, view, now):
        """Count a request before it is sent to an endpoint."""

    @abc.abstractmethod
    def record_end(self, pending, view, ending, time_s, now):
        """Record how an attempt ended; time_s is None if it says nothing."""


class AllVersions(VersionPolicy):
    """Use all versions, where rollouts are not served."""

    def filter(self, pending, views, now):
        """Return all views."""
        return views

    def list_main(self, service, views, now):
        """Return all views."""
        return views

    def record_grant(self, pending, view, now):
        """Count nothing."""

    def record_end(self, pending, view, ending, time_s, now):
        """Record nothing."""


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

    def apply(self, plan, confirmed_at):
        """Follow a plan; one of an older order or phase is ignored.

        A plan that was delayed on its way does not replace a newer one.
        """
        known = self._plan
        if known is not None:
            if plan.revision < known.revision:
                return
            if plan.revision > known.revision:
                self._credit = 1.0
                self._confirmed_at = -math.inf
            elif _is_settled(known.phase, plan.phase):
                return
        if not plan.phase.final and confirmed_at < self._confirmed_at:
            return
        self._plan = plan
        self._confirmed_at = confirmed_at

    def expect(self, plan):
        """Follow an order that no controller has confirmed yet."""
        if self._plan is None or plan.revision > self._plan.revision:
            self.apply(plan._replace(share=0.0), -math.inf)

    def record_grant(self, version):
        """Count a grant of the service."""
        if self._plan is None:
            return
        self._credit = min(self._credit + self._plan.share, MAX_CREDIT)
        if version == self._plan.target:
            self._credit -= 1.0

    def filter(self, views, version, now, excluded=()):
        """Return the views that a request may be sent to.

        version is the one that began its stream, or None. Such a stream goes
        on at its version, which the caller of this method checks, unless that
        was rolled back. excluded are the ids of endpoints that the request is
        not sent to. A grant that is due to the target goes there: endpoints
        that know the prompts and are as idle would always be preferred.
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
        # What is left of the credit is not used after the share became zero.
        allowed = self._is_confirmed(now) and plan.share > 0.0
        if not allowed or self._credit < 1.0:
            return [v for v in views if v.record.version != target]
        return self._find_due(views, excluded)

    def list_main(self, views, now):
        """Return the views that most new requests are sent to."""
        plan = self._plan
        if plan is None:
            return views
        moved = plan.phase is Phase.COMPLETED or (
            plan.phase is Phase.CUTOVER and self._is_confirmed(now)
        )
        return [v for v in views if (v.record.version == plan.target) is moved]

    def _is_confirmed(self, now):
        return now - self._confirmed_at <= PLAN_VALID_S

    def _find_due(self, views, excluded):
        """Return the target's views, or the others if it has none.

        The target's requests may be concentrated on few endpoints.
        """
        plan = self._plan
        of_target = [v for v in views if v.record.version == plan.target]
        if plan.endpoints:
            of_target.sort(key=lambda view: _rank(plan.revision, view.id))
            del of_target[plan.endpoints :]
        due = [view for view in of_target if view.id not in excluded]
        return due or [v for v in views if v.record.version != plan.target]


def _is_settled(known, phase):
    """Return whether a known phase is not replaced by another one.

    A plan only says that a rollout is completed once the store has accepted
    that, so it replaces a rollback that the store did not accept.
    """
    if known is Phase.COMPLETED:
        return phase is not Phase.COMPLETED
    return known is Phase.ROLLED_BACK and not phase.final


def _rank(revision, runner_id):
    return xxhash.xxh3_64_intdigest(f'{revision}|{runner_id}'.encode())
