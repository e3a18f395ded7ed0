"""Host the admission of requests to groups of endpoints.

One gateway queues the requests of all gateways for a group, so there is one
order and no slot is promised twice. It answers the load at which many
gateways compete for few slots: dividing the slots among them would leave
some idle while requests wait elsewhere.
"""

from __future__ import annotations

import collections
import math
import typing

from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import caller_monitor
from persimmonroute.gateway import caller_order
from persimmonroute.gateway import groups
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import passing
from persimmonroute.gateway import peers
from persimmonroute.gateway import rollout_exposure
from persimmonroute.gateway import runners
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import slots
from persimmonroute import timeouts

# Longest interval between two calls of tick().
TICK_S = 0.05
# A gateway lists its requests five times a second; one that has been silent
# for longer is gone or cut off, and its slots are free for the others.
LEASE_TIMEOUT_S = 1.0
# A gateway repeats its queued offers at least every 0.3 s; two repetitions
# may be lost.
OFFER_TIMEOUT_S = 1.0
# A lease list may have crossed a grant on its way.
LIST_CROSSING_S = 0.25
# Time from the end of a request until the next one reaches the endpoint: the
# messages of its end and of the next grant, and the request itself, between
# gateways that are busy.
TURNAROUND_S = 0.1
# Delay and traffic that a request in another region costs, as a wait.
REDIRECT_COST_S = 0.05
# Summaries are sent ten times a second.
SUMMARY_MAX_AGE_S = 0.5
# A group that got no offer for this long is not hosted here any more.
IDLE_GROUP_S = 2.0
# Final replies kept to be repeated if they are lost.
MAX_FINAL_REPLIES = 512
# Gateways that must fail to reach an endpoint before all avoid it; a single
# one may be cut off itself.
FAILURE_WITNESSES = 2
FAILURE_WINDOW_S = 3.0
WITNESSED_ENDINGS = (Ending.UNREACHABLE, Ending.SILENT, Ending.BROKEN)


class HostedRoute(typing.NamedTuple):
    """Describe the route of an offered request to the scheduler."""

    name: str
    objective_s: float


class HostedWork(typing.NamedTuple):
    """Describe the size of an offered request to the scheduler."""

    prompt: tuple[model.PromptPart, ...]
    prompt_tokens: int = 0
    # Most tokens that the response may have.
    output_tokens: int = 0


class HostedRequest:
    """Track an offered request at the host of its group.

    It has the fields of a PendingRequest that the scheduler uses.
    """

    def __init__(self, gateway, failure_domain, offer, now):
        self.gateway = gateway
        self.offer = offer
        # Domain of the gateway, from which distances are measured.
        self.origin = failure_domain
        self.request = HostedWork(
            offer.prompt, offer.prompt_tokens, offer.output_tokens
        )
        # A gateway of a former version states the most only.
        self.expected_output = offer.expected_output or offer.output_tokens
        self.route = HostedRoute(offer.route, offer.objective_s)
        self.service = offer.service
        self.tier = offer.tier
        self.deadline_at = now + offer.remaining_s
        self.due_at = now + offer.due_s
        self.first_arrived_at = now - offer.age_s
        # True for a caller that was refused here before.
        self.returning = False
        self.sequence = 0
        self.excluded = set(offer.excluded)
        self.version = offer.version
        self.queued_at = now
        self.heard_at = now
        self.runner = None
        self.sent_at = None
        # When its gateway last listed the request in flight.
        self.listed_at = -math.inf
        self.first_byte_at = None
        # Whether the endpoint had to read most of the prompt.
        self.cold = False
        self.reported_load = None
        self.expected = None
        self.sent_work = None

    @property
    def attempt(self):
        """Return the key of the request among those of all gateways."""
        return self.gateway, self.offer.offer_id


class LearnedLease:
    """Track a lease that was granted elsewhere."""

    def __init__(self, view, now):
        self.view = view
        self.listed_at = now


class HostedGroup:
    """Queue the requests for one group and track who uses its endpoints."""

    def __init__(self, group, placement, limits, capacities, now):
        self.group = group
        self.runner_registry = runners.RunnerRegistry(limits, capacities)
        self.order = caller_order.CallerOrder(
            self.runner_registry.capacities.find_delay_s
        )
        self.scheduler = schedulers.Scheduler(
            self.runner_registry,
            placement,
            peers.PeerRegistry(''),
            slots.OwnedSlots(self.runner_registry, TURNAROUND_S),
            passing.PASSING_SHARE,
            self.order,
        )
        self.generation = -1
        self.offered_at = now
        self.requests = {}
        # Leases granted elsewhere, by key.
        self.learned = {}
        self._final_replies = collections.OrderedDict()
        # Gateways that failed to reach an endpoint, and when.
        self._witnesses = collections.defaultdict(dict)

    def update_runners(self, records, services, now):
        """Apply the current endpoints of the group."""
        listed = {record.id for record in records}
        removed = {v.id for v in self.runner_registry} - listed
        for runner_id in removed:
            self._witnesses.pop(runner_id, None)
        self.runner_registry.apply(records, removed, False, now)
        self.scheduler.set_services(services)

    def offer(self, gateway, failure_domain, offer, now):
        """Queue an offered request; return a reply, or None for no news."""
        self.offered_at = now
        key = (gateway, offer.offer_id)
        hosted = self.requests.get(key)
        if hosted is None and key in self._final_replies:
            return self._final_replies[key]
        if hosted is None:
            hosted = HostedRequest(gateway, failure_domain, offer, now)
            self.requests[key] = hosted
            self.order.admit(hosted, now)
            self.scheduler.submit(hosted, now)
            return None
        hosted.heard_at = now
        if hosted.runner is not None:
            return _build_grant(hosted)
        if hosted.excluded == set(offer.excluded):
            return admission_messages.Queued(offer.offer_id)
        hosted.excluded = set(offer.excluded)
        self.scheduler.dispatch_ready(self.group.service, now)
        return None

    def learn_loads(self, reports, now):
        """Apply what endpoints reported of their load to a gateway."""
        for report in reports:
            view = self.runner_registry.find(report.runner_id)
            if view is None:
                continue
            if view.record.started_at_ms == report.started_at_ms:
                self.runner_registry.record_load(
                    view, report.load, now - report.age_s
                )

    def end(self, gateway, message, now):
        """Withdraw an offer or free the slot that it was granted."""
        key = (gateway, message.offer_id)
        given_up = message.runner_id
        lease = self.learned.get(key)
        if lease is not None and given_up in ('', lease.view.id):
            self._forget(key)
            self.scheduler.dispatch_ready(self.group.service, now)
        hosted = self.requests.get(key)
        if hosted is None:
            return
        if hosted.runner is not None:
            if given_up not in ('', hosted.runner.id):
                return
        del self.requests[key]
        if hosted.runner is None:
            self.scheduler.withdraw(hosted)
            return
        if message.first_byte_s is not None:
            # No peer can have waited for longer.
            hosted.first_byte_at = min(
                hosted.sent_at + message.first_byte_s, now
            )
        hosted.reported_load = message.load
        # The figures are as old as the head of the response.
        heard_at = hosted.first_byte_at or hosted.sent_at
        self.runner_registry.record_load(hosted.runner, message.load, heard_at)
        ending = message.ending
        self.scheduler.version_policy.record_end(
            hosted, hosted.runner, ending, message.first_byte_s, now
        )
        if ending in WITNESSED_ENDINGS:
            self._record_failure(hosted, ending, now)
            ending = Ending.ABANDONED
        self.scheduler.release(hosted, ending, now)

    def apply_leases(self, gateway, leases, now):
        """Replace what is known about the requests of a gateway."""
        listed = {(gateway, lease.offer_id): lease for lease in leases}
        for key in [k for k in self.learned if k[0] == gateway]:
            lease = listed.get(key)
            if lease is None or lease.runner_id != self.learned[key].view.id:
                self._forget(key)
        for hosted in self._of_gateway(gateway):
            if hosted.runner is None:
                continue
            lease = listed.get(hosted.attempt)
            if lease is not None and lease.runner_id == hosted.runner.id:
                hosted.listed_at = now
            elif now - hosted.sent_at > LIST_CROSSING_S:
                self._drop(hosted, now)
        for key, lease in listed.items():
            self._learn(key, lease, now)
        self.scheduler.dispatch_ready(self.group.service, now)

    def _learn(self, key, lease, now):
        """Count a listed request unless it was granted here."""
        if key in self.learned:
            self.learned[key].listed_at = now
            return
        view = self.runner_registry.find(lease.runner_id)
        if view is None or key in view.in_flight:
            return
        view.in_flight[key] = None
        self.learned[key] = LearnedLease(view, now)
        self.scheduler.record_foreign(view, now)

    def _forget(self, key):
        self.learned.pop(key).view.in_flight.pop(key, None)

    def drop_gateway(self, gateway, now):
        """Free the slots of a gateway that is gone."""
        self.apply_leases(gateway, (), now + LIST_CROSSING_S)
        for hosted in self._of_gateway(gateway):
            self._drop(hosted, now)

    def expire(self, now):
        """Drop the offers that are not repeated and leases not listed.

        A gateway may be in touch without knowing of them any more.
        """
        self.order.expire(now)
        for key, lease in list(self.learned.items()):
            if now - lease.listed_at > LEASE_TIMEOUT_S:
                self._forget(key)
        for hosted in list(self.requests.values()):
            if hosted.runner is None:
                expired = now - hosted.heard_at > OFFER_TIMEOUT_S
            else:
                listed_at = max(hosted.sent_at, hosted.listed_at)
                expired = now - listed_at > LEASE_TIMEOUT_S
            if expired:
                self._drop(hosted, now)

    def take_replies(self):
        """Return the scheduler's decisions as (gateway, reply) pairs."""
        replies = []
        for effect in self.scheduler.take_effects():
            hosted = effect.pending
            if isinstance(effect, messages.Granted):
                if hosted.runner is None:
                    # Its gateway fell silent, and the slot is free again.
                    continue
                reply = _build_grant(hosted)
            else:
                reply = self._refuse(hosted, effect)
            replies.append((hosted.gateway, reply))
        return replies

    def is_queued(self, gateway, offer_id):
        """Return whether an offer waits for an endpoint."""
        hosted = self.requests.get((gateway, offer_id))
        return hosted is not None and hosted.runner is None

    def stop(self):
        """Return all queued requests to their gateways, as pairs."""
        queued = [h for h in self.requests.values() if h.runner is None]
        for hosted in queued:
            self.scheduler.withdraw(hosted)
            del self.requests[hosted.attempt]
        return [
            (h.gateway, admission_messages.NotHost(h.offer.offer_id))
            for h in queued
        ]

    def _of_gateway(self, gateway):
        return [h for h in self.requests.values() if h.gateway == gateway]

    def _drop(self, hosted, now):
        del self.requests[hosted.attempt]
        if hosted.runner is None:
            self.scheduler.withdraw(hosted)
        else:
            self.scheduler.release(hosted, Ending.ABANDONED, now)

    def _refuse(self, hosted, effect):
        self.requests.pop(hosted.attempt, None)
        refusal = admission_messages.Refusal(
            hosted.offer.offer_id, effect.rejection.reason, effect.wait_s
        )
        self._final_replies[hosted.attempt] = refusal
        while len(self._final_replies) > MAX_FINAL_REPLIES:
            self._final_replies.popitem(last=False)
        return refusal

    def _record_failure(self, hosted, ending, now):
        """Count a failure once enough gateways have seen it."""
        view = hosted.runner
        witnesses = self._witnesses[view.id]
        witnesses[hosted.gateway] = now
        recent = [
            at for at in witnesses.values() if at > now - FAILURE_WINDOW_S
        ]
        if len(recent) >= FAILURE_WITNESSES:
            view.record_ending(ending, now, hosted.sent_at)
            witnesses.clear()


class AdmissionHost:
    """Answer the offers of all gateways for the groups hosted here."""

    def __init__(self, runner_registry, placement, locality):
        self._runner_registry = runner_registry
        self._placement = placement
        self._locality = locality
        self._services = ()
        self._groups = {}
        self._replies = []
        # When each gateway was last heard.
        self._heard_at = {}
        # Summaries of other groups, with the time of their arrival.
        self._summaries = {}
        self._stopping = False
        self._monitor = caller_monitor.CallerMonitor()
        self._catch_up = timeouts.CatchUp(TICK_S)
        # Returns the VersionPolicy of a group that is hosted here.
        self.build_version_policy = lambda group: (
            rollout_exposure.AllVersions()
        )

    @property
    def groups(self):
        """Return the hosted groups."""
        return list(self._groups)

    def find(self, group):
        """Return the HostedGroup of a group, or None."""
        return self._groups.get(group)

    def count_in_flight(self, service, excluded_version):
        """Return the requests at endpoints of all versions but one."""
        return sum(
            view.load
            for group, hosted_group in self._groups.items()
            if group.service == service
            for view in hosted_group.runner_registry
            if view.record.version != excluded_version
        )

    def set_services(self, services):
        """Apply the services of the configuration."""
        self._services = services
        for hosted_group in self._groups.values():
            hosted_group.scheduler.set_services(services)

    def stop(self):
        """Return the queued requests, and host nothing from now on."""
        self._stopping = True
        for hosted_group in self._groups.values():
            self._replies += hosted_group.stop()

    def receive(self, gateway, failure_domain, message, now):
        """Process a message of a gateway."""
        self._heard_at[gateway] = now
        if isinstance(message, admission_messages.Offer):
            self._receive_offer(gateway, failure_domain, message, now)
        elif isinstance(message, admission_messages.OfferEnd):
            for hosted_group in list(self._groups.values()):
                hosted_group.end(gateway, message, now)
        elif isinstance(message, admission_messages.LeaseList):
            group = groups.Group(message.service, message.region)
            hosted_group = self._find_group(group, now)
            hosted_group.learn_loads(message.loads, now)
            hosted_group.apply_leases(gateway, message.leases, now)
        elif isinstance(message, admission_messages.GroupSummary):
            key = groups.Group(message.service, message.region)
            self._summaries[key] = (dict(message.wait_s), now)
        self._collect()

    def tick(self, now):
        """Free what silent gateways used, and dispatch what is possible."""
        catching_up = self._catch_up.is_active(now)
        silent = [
            gateway
            for gateway, at in self._heard_at.items()
            if now - at > LEASE_TIMEOUT_S and not catching_up
        ]
        for gateway in silent:
            del self._heard_at[gateway]
        for group, hosted_group in list(self._groups.items()):
            self._update_runners(hosted_group, now)
            for gateway in silent:
                hosted_group.drop_gateway(gateway, now)
            if not catching_up:
                hosted_group.expire(now)
            hosted_group.scheduler.dispatch_all_ready(now)
            idle = now - hosted_group.offered_at > IDLE_GROUP_S
            if idle and not hosted_group.requests and not hosted_group.learned:
                del self._groups[group]
                self._monitor.retire(hosted_group)
        self._monitor.check(self._groups.values(), now)
        self._collect()

    def dispatch_ready(self, now):
        """Grant what waited for the limits of endpoints."""
        for hosted_group in self._groups.values():
            hosted_group.scheduler.dispatch_all_ready(now)
        self._collect()

    def take_replies(self):
        """Remove and return the replies as (gateway, reply) pairs."""
        replies, self._replies = self._replies, []
        return replies

    def take_events(self):
        """Remove and return the LogEvents of the hosted groups."""
        return self._monitor.take_effects()

    def count_reservations(self):
        """Return the retry_reservations.Counts of each service."""
        return self._monitor.count_reservations(self._groups.values())

    def report_shares(self, now):
        """Return (group, ShareReport) of each workspace and tier."""
        return [
            (group, report)
            for group, hosted_group in self._groups.items()
            for report in caller_monitor.find_largest(
                hosted_group.order.shares.report(now)
            )
        ]

    def take_wakeup_at(self):
        """Return and clear the next wakeup time; infinity for none."""
        return min(
            (g.scheduler.take_wakeup_at() for g in self._groups.values()),
            default=math.inf,
        )

    def summarize(self, now):
        """Return a GroupSummary of each group hosted here."""
        return [
            admission_messages.GroupSummary(
                group.service,
                group.region,
                hosted_group.scheduler.expected_waits(group.service, now),
            )
            for group, hosted_group in self._groups.items()
        ]

    def _receive_offer(self, gateway, failure_domain, offer, now):
        if self._stopping:
            reply = admission_messages.NotHost(offer.offer_id)
            self._replies.append((gateway, reply))
            return
        self._runner_registry.limits.learn(offer.limits, now)
        region = offer.region
        hosted_group = self._find_group(
            groups.Group(offer.service, region), now
        )
        hosted_group.learn_loads(offer.loads, now)
        reply = None
        if (gateway, offer.offer_id) not in hosted_group.requests:
            reply = self._find_redirect(hosted_group, offer, now)
        if reply is None:
            reply = hosted_group.offer(gateway, failure_domain, offer, now)
        if reply is None:
            self._collect()
            if hosted_group.is_queued(gateway, offer.offer_id):
                reply = admission_messages.Queued(offer.offer_id)
        if reply is not None:
            self._replies.append((gateway, reply))

    def _find_group(self, group, now):
        hosted_group = self._groups.get(group)
        if hosted_group is None:
            registry = self._runner_registry
            hosted_group = HostedGroup(
                group,
                self._placement,
                registry.limits,
                registry.capacities,
                now,
            )
            hosted_group.scheduler.version_policy = self.build_version_policy(
                group
            )
            self._groups[group] = hosted_group
        self._update_runners(hosted_group, now)
        return hosted_group

    def _update_runners(self, hosted_group, now):
        generation = self._runner_registry.generation
        if hosted_group.generation == generation:
            return
        hosted_group.generation = generation
        group = hosted_group.group
        records = [
            view.record._replace(leaving=view.leaving)
            for view in self._runner_registry.of_service(group.service)
            if self._locality.region_of(view.record.failure_domain)
            == group.region
        ]
        hosted_group.update_runners(records, self._services, now)

    def _find_redirect(self, hosted_group, offer, now):
        """Return a Redirect if another region serves an offer much sooner."""
        others = [
            (group, wait_s)
            for group, (wait_s, at) in self._summaries.items()
            if group.service == offer.service
            and group != hosted_group.group
            and now - at <= SUMMARY_MAX_AGE_S
        ]
        if offer.redirected or not others:
            return None
        if hosted_group.order.has_reservation(offer, now):
            return None
        here_s = _wait_of(
            hosted_group.scheduler.expected_waits(offer.service, now),
            offer.tier,
        )
        best_s, best = here_s - REDIRECT_COST_S, None
        for group, wait_s in others:
            if _wait_of(wait_s, offer.tier) < best_s:
                best_s, best = _wait_of(wait_s, offer.tier), group
        if best is None:
            return None
        self._count_redirected(hosted_group, best, offer, now)
        return admission_messages.Redirect(offer.offer_id, best.region)

    def _count_redirected(self, hosted_group, group, offer, now):
        """Add a redirected request to the expected wait of its new group."""
        wait_s, _ = self._summaries[group]
        added_s = hosted_group.scheduler.mean_interval_s(offer.service, now)
        wait_s.setdefault(offer.tier, _wait_of(wait_s, offer.tier))
        for tier in wait_s:
            if tier >= offer.tier:
                wait_s[tier] += added_s

    def _collect(self):
        for hosted_group in self._groups.values():
            self._replies += hosted_group.take_replies()


def _wait_of(wait_s, tier):
    """Return the expected wait of a tier in a summary."""
    tiers = [t for t in wait_s if t <= tier]
    return wait_s[max(tiers)] if tiers else 0.0


def _build_grant(hosted):
    record = hosted.runner.record
    return admission_messages.Grant(
        hosted.offer.offer_id, record.id, record.started_at_ms
    )
