"""Track the version rollouts that a gateway knows of, as a host and alone.

It answers the load of services that change their version while requests are
granted: which versions a grant may use is decided from the newest plan, order
and outcome without asking anybody.
"""

from __future__ import annotations

import math

from persimmonroute.gateway.model import Ending
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway.rollout_control import RolloutPlan
from persimmonroute.gateway import rollout_evidence
from persimmonroute.gateway import rollout_exposure

# Registrations of the old endpoints, which stop at the completion, have
# lapsed by then. Versions that come later need no order.
COMPLETED_HOLD_S = 30.0
# A forwarded order that is open for longer after its time has ended, since the
# store and the outcome reach some gateway within seconds.
FORWARDED_HOLD_S = 30.0
# Stands for all versions other than the target in the evidence.
OTHER_VERSIONS = ''
# Earlier orders of a service that are remembered, and versions that were not
# accepted.
MAX_FORMER = 16
FAILED_ENDINGS = (Ending.FAILED, Ending.BROKEN, Ending.SILENT)
# Endings that the requests in flight at an endpoint share if it crashes or
# stands still.
SHARED_ENDINGS = (Ending.BROKEN, Ending.SILENT)
# They count once until the endpoint responds again, or after this time.
SHARED_ENDING_S = 0.5
# Requests whose prompt the endpoint has to read are compared with one another:
# new endpoints know no prompts, and reading takes several times as long.
COLD_SUFFIX = ' (cold)'
MIN_WARM_SHARE = 0.5
# A response that goes on for less after its first byte is no stream.
MIN_STREAM_S = 0.02
# An attempt that is abandoned within this time of its deadline took too long.
DEADLINE_TOLERANCE_S = 0.1


class ServiceRollout:
    """Track the newest order for one service."""

    def __init__(self, order, given_at, era=0):
        self.order = order
        # When the order was given, in the local clock.
        self.given_at = given_at
        # Era of the store in which it was first read.
        self.era = era
        # ServiceRollout of the order before, until the next one.
        self.replaced = None
        # Versions of earlier orders that were not accepted.
        self.rejected = ()
        # Version that an earlier order completed, or None. A row that was
        # restored from an older copy may not tell that.
        self.accepted = None
        # True until the store told whether the order ended long ago, and
        # whether it has.
        self.unconfirmed = False
        self.ended_before = False
        # Gateway that forwarded the order, until the store tells it; empty if
        # it was read from the store.
        self.forwarded_by = ''
        # When a forwarded order was received, and whether that was logged.
        self.received_at = -math.inf
        self.warned = False
        # Newest phase that the store is known to have, and why.
        self.phase = Phase.WAITING
        self.reason = ''
        # What the groups hosted here granted and got since the order.
        self.evidence = rollout_evidence.VersionEvidence(
            rollout_evidence.find_slice_s(order.duration_s)
        )
        self.requests = 0
        self.exposed = 0
        # When a shared ending of each endpoint was last counted.
        self._shared_at = {}
        self._waiting = RolloutPlan(
            order.service,
            order.target,
            order.revision,
            Phase.WAITING,
            0.0,
            0,
            'no plan yet',
        )
        self._newest = self._build_limit()
        # Follows outcomes only, for grants without a host.
        self._outcomes = self._build_limit()
        self._limits = {}
        self._confirmed_at = -math.inf
        self._ended_at = math.inf

    @property
    def plan(self):
        """Return the newest RolloutPlan."""
        return self._newest.plan

    def is_over(self, now):
        """Return whether the order has no effect any more."""
        completed = self.plan.phase is Phase.COMPLETED
        return completed and now > self._ended_at + COMPLETED_HOLD_S

    def has_read(self, forwarded):
        """Return whether a ForwardedOrder is the one that is followed."""
        return (self.order, self.era) == (forwarded.order, forwarded.era)

    def is_outdated(self, now):
        """Return whether a forwarded order ended without notice to this one.

        Its sender may be cut off, and keep it open for ever.
        """
        if not self.forwarded_by or self.phase.final:
            return False
        ends_at = self.given_at + self.order.duration_s
        return now > ends_at + FORWARDED_HOLD_S

    def apply_plan(self, plan, confirmed_at, now):
        """Follow a plan for this order, which a controller confirmed."""
        if plan.revision != self.order.revision:
            return
        self._newest.apply(plan, confirmed_at)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        for limit in self._limits.values():
            limit.apply(plan, confirmed_at)
        if plan.phase.final:
            self._outcomes.apply(plan, confirmed_at)
            self._ended_at = min(self._ended_at, now)

    def confirm(self, given_at, era):
        """Record that the store has an order that was forwarded."""
        self.forwarded_by = ''
        self.given_at = min(self.given_at, given_at)
        self.era = era

    def record_stored(self, phase, reason, now):
        """Record the phase in the store; a final one is never left.

        Completed goes before rolled back: its old endpoints are gone.
        """
        if self.phase is Phase.COMPLETED:
            return
        if self.phase is Phase.ROLLED_BACK and phase is not Phase.COMPLETED:
            return
        self.phase = phase
        self.reason = reason
        if phase.final:
            plan = self._waiting._replace(phase=phase, reason=reason)
            self.apply_plan(plan, now, now)

    def reject(self, versions):
        """Do not use versions that earlier orders did not get accepted."""
        added = [
            version
            for version in versions
            if version not in (self.order.target, self.accepted)
            and version not in self.rejected
        ]
        self.rejected = (*self.rejected, *added)[-MAX_FORMER:]

    def find_limit(self, region):
        """Return the ExposureLimit of a group that is hosted here."""
        limit = self._limits.get(region)
        if limit is None:
            limit = self._limits[region] = self._build_limit()
            limit.apply(self.plan, self._confirmed_at)
        return limit

    @property
    def ended_at(self):
        """Return when an outcome was first followed; infinity for never."""
        return self._ended_at

    @property
    def outcomes(self):
        """Return the ExposureLimit of grants without a host."""
        return self._outcomes

    def list_accepted(self, views):
        """Return the views whose version was not rejected earlier."""
        if not self.rejected:
            return views
        return [v for v in views if v.record.version not in self.rejected]

    def record_grant(self, region, version):
        """Count a grant of a group that is hosted here."""
        self.find_limit(region).record_grant(version)
        self.requests += 1
        if version == self.order.target:
            self.exposed += 1

    def record_end(self, view, route, ending, time_s, whole_s, now):
        """Record the response to a request that was granted here.

        Its first byte came after time_s, its end after whole_s; None if
        that is not known.

        Failures to connect and abandoned attempts are no responses. A
        connection that an endpoint breaks while it stops is no bad one, and
        a crash is one bad response, not as many as were in flight.
        """
        failed = ending in FAILED_ENDINGS
        if not failed and ending is not Ending.ANSWERED:
            return
        if ending is Ending.BROKEN and view.leaving:
            return
        if ending in SHARED_ENDINGS:
            counted_at = self._shared_at.get(view.id, -math.inf)
            if now - counted_at < SHARED_ENDING_S:
                return
            self._shared_at[view.id] = now
        else:
            self._shared_at.pop(view.id, None)
        version = view.record.version
        if version != self.order.target:
            version = OTHER_VERSIONS
        self.evidence.record(version, route, failed, time_s, now)
        if failed or time_s is None or whole_s is None:
            return
        if whole_s < time_s + MIN_STREAM_S:
            return
        whole = route + rollout_evidence.WHOLE_SUFFIX
        self.evidence.record(version, whole, False, whole_s, now)

    def _build_limit(self):
        limit = rollout_exposure.ExposureLimit()
        limit.expect(self._waiting)
        return limit


class Rollouts:
    """Keep the newest order of each service."""

    def __init__(self, runner_registry):
        self._runner_registry = runner_registry
        self._services = {}
        # Earlier orders, which a restored store may list again.
        self._former = {}
        # Freshness of the table that has the orders, here and at peers; None
        # where no rollouts are served.
        self.contact = None

    def __iter__(self):
        return iter(list(self._services.values()))

    def find(self, service):
        """Return the ServiceRollout of a service, or None."""
        return self._services.get(service)

    def find_limiting(self, service, now):
        """Return the ServiceRollout that limits the versions, or None.

        An order that may have been completed long ago does not make the only
        version that is left unusable.
        """
        rollout = self._services.get(service)
        if rollout is None or rollout.is_over(now):
            return None
        if rollout.is_outdated(now):
            return None
        if rollout.unconfirmed and not self._has_others(rollout.order):
            return None
        return rollout

    def list_known(self, service, views):
        """Return the views whose version was known at the last contact.

        A gateway that neither the store nor a peer has told since that there
        is no order leaves new versions alone, other than a known target.
        """
        registry, contact = self._runner_registry, self.contact
        if contact is None:
            return views
        confirmed_at = contact.confirmed_at
        if registry.newest_version_at <= confirmed_at:
            return views
        rollout = self._services.get(service)
        target = None if rollout is None else rollout.order.target
        return [
            view
            for view in views
            if view.record.version == target
            or registry.first_seen_at(view.record) <= confirmed_at
        ]

    def list_held(self):
        """Return the services and versions that list_known() leaves out."""
        if self.contact is None:
            return []
        versions = {}
        for view in self._runner_registry:
            key = (view.record.service, view.record.version)
            versions.setdefault(key, view)
        return [
            key
            for key, view in versions.items()
            if not self.list_known(key[0], [view])
        ]

    def _has_others(self, order):
        return any(
            view.record.version != order.target and not view.leaving
            for view in self._runner_registry.of_service(order.service)
        )

    def adopt(self, order, given_at, era):
        """Follow an order of the store and return True if it is a new one.

        Row versions only grow within one era of the store. In a later era an
        order is new unless it was known before. given_at is the earliest time
        at which the store can have told of it.
        """
        while True:
            known = self._services.get(order.service)
            if known is None or not known.forwarded_by:
                break
            if order == known.order:
                known.confirm(given_at, era)
                return False
            if given_at < known.received_at or _is_newer(order, era, known):
                break
            # The store does not have what was forwarded.
            self._drop_forwarded(known)
        return self._adopt(order, given_at, era)

    def adopt_forwarded(self, forwarded, peer, now):
        """Follow an order that a gateway forwarded; return whether it is new.

        It counts from the time at which it was issued.
        """
        given_at = now - forwarded.age_s
        if forwarded.outcome is None:
            ends_at = given_at + forwarded.order.duration_s
            if now > ends_at + FORWARDED_HOLD_S:
                return False
        adopted = self._adopt(forwarded.order, given_at, forwarded.era)
        if adopted:
            rollout = self._services[forwarded.order.service]
            rollout.forwarded_by = peer
            rollout.received_at = now
        return adopted

    def _adopt(self, order, given_at, era):
        service = order.service
        known = self._services.get(service)
        former = self._former.setdefault(service, [])
        if known is not None:
            newer = _is_newer(order, era, known)
            if not newer or order == known.order or order in former:
                return False
            former.append(known.order)
            del former[:-MAX_FORMER]
        rollout = ServiceRollout(order, given_at, era)
        rollout.replaced = known
        if known is not None:
            rollout.accepted = known.accepted
            if known.plan.phase is Phase.COMPLETED:
                rollout.accepted = known.order.target
            else:
                rollout.reject((*known.rejected, known.order.target))
            known.replaced = None
        self._services[service] = rollout
        return True

    def _drop_forwarded(self, rollout):
        """Go back to what was known before an order was forwarded."""
        service = rollout.order.service
        former = self._former[service]
        if rollout.replaced is None:
            del self._services[service]
            return
        self._services[service] = rollout.replaced
        former.remove(rollout.replaced.order)


def _is_newer(order, era, known):
    """Return whether an order was written after the known one."""
    return (era, order.revision) > (known.era, known.order.revision)


class GroupPolicy(rollout_exposure.VersionPolicy):
    """Limit the grants of a group that is hosted here by the plans."""

    def __init__(self, rollouts, group):
        self._rollouts = rollouts
        self._group = group

    def filter(self, pending, views, now):
        """Return the views that the plan allows."""
        views = self._rollouts.list_known(self._group.service, views)
        rollout = self._find(now)
        if rollout is None:
            return views
        limit = rollout.find_limit(self._group.region)
        views = rollout.list_accepted(views)
        return limit.filter(views, pending.version, now, pending.excluded)

    def list_main(self, service, views, now):
        """Return the views that serve most new requests of the group."""
        views = self._rollouts.list_known(service, views)
        rollout = self._find(now)
        if rollout is None:
            return views
        limit = rollout.find_limit(self._group.region)
        return limit.list_main(rollout.list_accepted(views), now)

    def record_grant(self, pending, view, now):
        """Count a grant towards the share of the target."""
        rollout = self._rollouts.find(self._group.service)
        if rollout is not None:
            rollout.record_grant(self._group.region, view.record.version)
            pending.cold = _is_cold(pending.request.prompt, view, now)

    def record_end(self, pending, view, ending, time_s, now):
        """Record the response as evidence while the order is open."""
        rollout = self._rollouts.find(self._group.service)
        if rollout is None or rollout.phase.final:
            return
        late = now >= pending.deadline_at - DEADLINE_TOLERANCE_S
        if ending is Ending.ABANDONED and late:
            # The response would have taken at least as long: otherwise the
            # slowest ones would be missing.
            ending, time_s = Ending.ANSWERED, now - pending.sent_at
        route = pending.route.name
        if pending.cold:
            route += COLD_SUFFIX
        whole_s = None
        if pending.sent_at is not None:
            whole_s = now - pending.sent_at
        rollout.record_end(view, route, ending, time_s, whole_s, now)

    def _find(self, now):
        return self._rollouts.find_limiting(self._group.service, now)


class OwnPolicy(rollout_exposure.VersionPolicy):
    """Use the safe versions for grants that no host decides.

    Nobody would count the requests to the target.
    """

    def __init__(self, rollouts):
        self._rollouts = rollouts

    def filter(self, pending, views, now):
        """Return the views that are safe while an order is open."""
        views = self._rollouts.list_known(pending.service, views)
        rollout = self._rollouts.find_limiting(pending.service, now)
        if rollout is None:
            return views
        views = rollout.list_accepted(views)
        return rollout.outcomes.filter(views, pending.version, now)

    def list_main(self, service, views, now):
        """Return the views that serve most new requests."""
        views = self._rollouts.list_known(service, views)
        rollout = self._rollouts.find_limiting(service, now)
        if rollout is None:
            return views
        return rollout.outcomes.list_main(rollout.list_accepted(views), now)

    def record_grant(self, pending, view, now):
        """Count nothing: the target gets no new requests here."""

    def record_end(self, pending, view, ending, time_s, now):
        """Record nothing: the hosts see enough of the other versions."""


def _is_cold(prompt, view, now):
    """Return whether an endpoint has to read most of a prompt."""
    tokens = sum(part.tokens for part in prompt)
    if not tokens:
        return False
    return view.cached_tokens(prompt, now) < MIN_WARM_SHARE * tokens
