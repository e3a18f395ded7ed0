"""Offer requests to the hosts of endpoint groups and keep their leases."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import typing

from persimmonroute import blackboard
from persimmonroute.events import Event
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import caller_identity
from persimmonroute.gateway import groups
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import runners
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute import timeouts

# Pauses before an offer without a reply is sent again; after the last one the
# host counts as silent. Hosts are a few milliseconds away, or tens of them in
# another region.
RESEND_AFTER_S = (0.04, 0.05, 0.07)
# A queued offer is repeated after these pauses, so that a lost grant or a lost
# host is noticed; the last one applies from then on.
REPEAT_AFTER_S = (0.1, 0.1, 0.2, 0.3)
# A host that repeated offers do not reach for this long counts as silent.
HOST_TIMEOUT_S = 0.7
# Hosts tried before the gateway decides by itself.
MAX_HOSTS = 2
# A grant is valid for this long after the offer was last sent; a gateway that
# was suspended offers the request again.
GRANT_VALID_S = 0.5
LEASE_LIST_INTERVAL_S = 0.2
# Loads that one message tells, and the age up to which they are told. A host
# trusts them for little longer.
MAX_REPORTED_LOADS = 32
MAX_LOAD_AGE_S = 0.5
# Empty lists sent after the last lease, in case one is lost.
EMPTY_LISTS = 2


class Send(typing.NamedTuple):
    """Send a message to a gateway, which may be this one."""

    peer: str
    message: admission_messages.Message


class Undecided(typing.NamedTuple):
    """Leave a request to the gateway's own scheduler: no host responds."""

    pending: messages.PendingRequest


class OfferState:
    """Track one offer from its sending to the final reply."""

    def __init__(self, pending, group):
        self.pending = pending
        self.group = group
        self.host = None
        self.silent_hosts = set()
        self.redirected = False
        # Sends to the current host without any reply.
        self.unanswered = 0
        # True if the host got more time, as this process stood still.
        self.caught_up = False
        self.sent_at = -math.inf
        self.heard_at = -math.inf
        self.queued = False
        self.repeats = 0
        self.due_at = math.inf


class LeaseListState:
    """Track what was last listed to one host of a group."""

    def __init__(self):
        self.sent_at = -math.inf
        self.empty_lists = 0


class OfferClient(blackboard.Blackboard):
    """Offer the requests of this gateway to hosts, and follow the replies."""

    def __init__(
        self,
        runner_registry,
        directory,
        locality,
        identifies_callers=True,
        identifies_workspaces=True,
        states_sizes=False,
    ):
        super().__init__()
        self._runner_registry = runner_registry
        self._directory = directory
        self._locality = locality
        # Whether hosts may reserve capacity for the callers of offers, and
        # divide it among their workspaces.
        self._identifies_callers = identifies_callers
        self._identifies_workspaces = identifies_workspaces
        # Whether hosts bound what endpoints hold.
        self._states_sizes = states_sizes
        self._offers = {}
        # Requests in flight, by offer id.
        self._leases = {}
        # By group and host.
        self._lists = {}
        # A random start keeps the ids of two incarnations apart.
        self._offer_ids = itertools.count(random.getrandbits(48) << 14)
        self._wakeups = []
        self._lists_at = -math.inf
        self._groups = {}
        self._generation = -1
        # When the loads of a group's endpoints were last told to a host.
        self._loads_told_at = {}

    @property
    def locality(self):
        """Return the locality of this gateway."""
        return self._locality

    def next_wakeup_at(self):
        """Return when tick has to be called; infinity for never."""
        while self._wakeups and self._wakeups[0][1] not in self._offers:
            heapq.heappop(self._wakeups)
        return self._wakeups[0][0] if self._wakeups else math.inf

    def submit(self, pending, now):
        """Offer a request to the host of the nearest group."""
        known_groups = self.find_groups(pending.service)
        pending.offer_id = next(self._offer_ids)
        usable_groups = known_groups
        if pending.version is not None or pending.excluded:
            usable_groups = self._find_usable_groups(pending)
        if pending.version is not None and not usable_groups:
            self.put(messages.Rejected(pending, model.VERSION_GONE))
            return
        if not known_groups:
            self._leave_undecided(pending)
            return
        state = OfferState(pending, (usable_groups or known_groups)[0])
        # Another region may have no endpoint that the request may use.
        state.redirected = len(usable_groups) < len(known_groups)
        self._offers[pending.offer_id] = state
        self._send_to_next_host(state, now)

    def _find_usable_groups(self, pending):
        """Return the groups with an endpoint that a request may be sent to.

        If no endpoint of the version that began a stream is left to try, those
        that failed are tried again: no other one can go on.
        """
        views = [
            view
            for view in self._runner_registry.of_service(pending.service)
            if pending.version in (None, view.record.version)
            and not view.leaving
        ]
        left = [view for view in views if messages.accepts(pending, view)]
        if not left and pending.version is not None:
            pending.readmit(view.id for view in views)
            left = [view for view in views if messages.accepts(pending, view)]
        regions = {
            self._locality.region_of(view.record.failure_domain)
            for view in left
        }
        return [
            group
            for group in self.find_groups(pending.service)
            if group.region in regions
        ]

    def withdraw(self, pending):
        """Withdraw the offer of a request that needs no endpoint any more."""
        state = self._offers.pop(pending.offer_id, None)
        if state is not None:
            self._end(state.host, pending.offer_id, Ending.ABANDONED)

    def receive(self, host, reply, now):
        """Process the reply of a host."""
        self._directory.record_response(host)
        state = self._offers.get(reply.offer_id)
        if state is None or state.host != host:
            if isinstance(reply, admission_messages.Grant):
                if not self._is_used(host, reply):
                    self._return_grant(host, reply)
            return
        state.heard_at = now
        state.unanswered = 0
        state.caught_up = False
        if isinstance(reply, admission_messages.Grant):
            self._accept_grant(state, reply, now)
        elif isinstance(reply, admission_messages.Queued):
            state.queued = True
            pause_s = self._take_repeat_pause_s(state, now)
            self._schedule(state, now + pause_s)
        elif isinstance(reply, admission_messages.Refusal):
            self._refuse(state, reply, now)
        elif isinstance(reply, admission_messages.Redirect):
            self._redirect(state, reply, now)
        else:
            self._replace_host(state, now)

    def _is_used(self, host, grant):
        """Return whether a repeated grant is the one in use."""
        pending = self._leases.get(grant.offer_id)
        if pending is None or pending.host != host:
            return False
        return pending.runner.id == grant.runner_id

    def record_local_grant(self, pending):
        """Record that the gateway itself granted an undecided request."""
        self._leases[pending.offer_id] = pending

    def release(self, pending, ending, now):
        """Record the end of an attempt and report it to the host."""
        self._leases.pop(pending.offer_id, None)
        view = pending.runner
        pending.runner = None
        if view is None:
            return
        self._runner_registry.record_end(pending, view, ending, now)
        first_byte_s = None
        if ending is Ending.ANSWERED:
            if pending.host != self._directory.own_name:
                # The host at this gateway learns from the end that it gets.
                self._runner_registry.record_capacity(
                    pending, view, now, load_known=False
                )
            first_byte_s = runners.find_first_byte_s(pending, now)
        self._end(
            pending.host,
            pending.offer_id,
            ending,
            first_byte_s,
            load=pending.reported_load,
        )

    def tick(self, now):
        """Repeat offers and lease lists that are due."""
        while self._wakeups and self._wakeups[0][0] <= now:
            _, offer_id = heapq.heappop(self._wakeups)
            state = self._offers.get(offer_id)
            if state is not None and state.due_at <= now:
                self._repeat(state, now)
        self._send_lists(now)

    def _repeat(self, state, now):
        silent_s = now - max(state.heard_at, state.sent_at)
        late = now - state.due_at > timeouts.MAX_TIMER_DELAY_S
        if late and not state.caught_up:
            # Replies may have arrived while this process stood still.
            state.caught_up = True
            if state.queued or state.unanswered < len(RESEND_AFTER_S):
                self._send(state, now)
            else:
                self._schedule(state, now + timeouts.CATCH_UP_S)
        elif state.queued:
            lost = now - state.heard_at > HOST_TIMEOUT_S
            # After a suspension of this process the host had no chance yet.
            if lost and silent_s < HOST_TIMEOUT_S:
                self._replace_host(state, now)
            else:
                self._send(state, now)
        elif state.unanswered < len(RESEND_AFTER_S):
            self._send(state, now)
        else:
            self._replace_host(state, now)

    def _replace_host(self, state, now):
        self.log(
            Event.ADMISSION_HOST_SILENT,
            request=state.pending.attempt,
            host=state.host,
            queued=state.queued,
            unanswered=state.unanswered,
        )
        self._directory.record_silent(state.host, now)
        state.silent_hosts.add(state.host)
        self._send_to_next_host(state, now)

    def _send_to_next_host(self, state, now):
        host = None
        if len(state.silent_hosts) < MAX_HOSTS:
            host = self._directory.find_host(
                state.group, state.silent_hosts, now
            )
        if host is None:
            del self._offers[state.pending.offer_id]
            self._leave_undecided(state.pending)
            return
        state.host = host
        state.unanswered = 0
        state.queued = False
        state.repeats = 0
        self._send(state, now)

    def _send(self, state, now):
        state.sent_at = now
        if state.queued:
            pause_s = self._take_repeat_pause_s(state, now)
        else:
            pause_s = RESEND_AFTER_S[state.unanswered]
            state.unanswered += 1
        self.put(Send(state.host, self._build_offer(state, now)))
        self._schedule(state, now + pause_s)

    def _take_repeat_pause_s(self, state, now):
        """Return the time until an offer is repeated.

        An offer excludes endpoints that are paused here. It is repeated as
        soon as such a pause ends, since the host cannot know of that.
        """
        pause_s = REPEAT_AFTER_S[min(state.repeats, len(REPEAT_AFTER_S) - 1)]
        state.repeats += 1
        pending = state.pending
        for view in self._runner_registry.of_service(pending.service):
            paused_s = view.paused_until - now
            if not 0 < paused_s < pause_s:
                continue
            if not view.leaving and view.id not in pending.excluded:
                pause_s = paused_s
        return pause_s

    def _build_offer(self, state, now):
        pending = state.pending
        offer = admission_messages.Offer(
            offer_id=pending.offer_id,
            service=pending.service,
            region=state.group.region,
            route=pending.route.name,
            tier=pending.tier,
            objective_s=pending.route.objective_s,
            due_s=pending.due_at - now,
            remaining_s=max(pending.deadline_at - now, 0.0),
            age_s=now - pending.first_arrived_at,
            prompt=pending.request.prompt,
            excluded=tuple(self._find_excluded(pending, now)),
            redirected=state.redirected,
            version=pending.version,
            limits=self._report_limits(state.group, now),
        )
        if self._states_sizes:
            offer = offer._replace(
                prompt_tokens=pending.request.prompt_tokens,
                output_tokens=pending.request.output_tokens,
            )
        if not self._runner_registry.reports_cost(pending.service):
            return offer
        if self._identifies_callers:
            offer = offer._replace(caller=pending.caller_hash)
        if self._identifies_workspaces:
            offer = offer._replace(
                workspace=caller_identity.hash_workspace(pending.workspace)
            )
        if not self._runner_registry.capacities.active:
            return offer
        return offer._replace(
            prompt_tokens=pending.request.prompt_tokens,
            loads=self._report_loads(state.group, state.host, now),
            expected_output=pending.expected_output,
        )

    def _report_loads(self, group, host, now):
        """Return the loads that a host has not been told yet."""
        if host == self._directory.own_name:
            # It shares what is known here.
            return ()
        if not self._runner_registry.capacities.active:
            return ()
        if not self._runner_registry.reports_cost(group.service):
            return ()
        told_at = self._loads_told_at.get((group, host), -math.inf)
        self._loads_told_at[(group, host)] = now
        since = max(told_at, now - MAX_LOAD_AGE_S)
        views = [
            view
            for view in self._runner_registry.of_service(group.service)
            if view.load_reported_at > since
            and self._locality.region_of(view.record.failure_domain)
            == group.region
        ]
        return tuple(
            admission_messages.LoadReport(
                view.id,
                view.record.started_at_ms,
                now - view.load_reported_at,
                view.reported_load,
            )
            for view in views[:MAX_REPORTED_LOADS]
        )

    def _report_limits(self, group, now):
        """Return what is known of the limits of a group's endpoints."""
        limits = self._runner_registry.limits
        if not limits.known:
            return ()
        records = [
            view.record
            for view in self._runner_registry.of_service(group.service)
            if self._locality.region_of(view.record.failure_domain)
            == group.region
        ]
        return limits.report_of(records, now)

    def _find_excluded(self, pending, now):
        """Return the endpoints that this gateway cannot send a request to."""
        unusable = {
            view.id
            for view in self._runner_registry.of_service(pending.service)
            if not view.usable(now) and not view.leaving
        }
        return sorted(unusable | pending.excluded)

    def _accept_grant(self, state, grant, now):
        pending = state.pending
        del self._offers[pending.offer_id]
        view = self._runner_registry.find(grant.runner_id)
        known = (
            view is not None
            and view.record.started_at_ms == grant.started_at_ms
        )
        usable = known and messages.accepts(pending, view) and view.usable(now)
        if not usable or now - state.sent_at > GRANT_VALID_S:
            self._return_grant(state.host, grant)
            # Each offer excludes the endpoints that are paused at its time.
            if not known or view.leaving:
                pending.excluded.add(grant.runner_id)
            self._offer_again(state, now)
            return
        pending.runner = view
        pending.host = state.host
        pending.sent_at = now
        self._leases[pending.offer_id] = pending
        view.record_sent(pending, now)
        self.put(messages.Granted(pending, view))

    def _offer_again(self, state, now):
        """Offer a request under a new id after its grant was returned."""
        state.pending.offer_id = next(self._offer_ids)
        self._offers[state.pending.offer_id] = state
        self._send_to_next_host(state, now)

    def _refuse(self, state, refusal, now):
        del self._offers[refusal.offer_id]
        rejection = schedulers.build_rejection(
            state.pending, refusal.wait_s, refusal.reason, now
        )
        self.put(messages.Rejected(state.pending, rejection, refusal.wait_s))

    def _redirect(self, state, reply, now):
        state.group = groups.Group(state.pending.service, reply.region)
        state.redirected = True
        self._send_to_next_host(state, now)

    def _return_grant(self, host, grant):
        self._end(
            host, grant.offer_id, Ending.ABANDONED, runner_id=grant.runner_id
        )

    def _end(
        self,
        host,
        offer_id,
        ending,
        first_byte_s=None,
        runner_id='',
        load=None,
    ):
        if host is not None:
            message = admission_messages.OfferEnd(
                offer_id, ending, first_byte_s, runner_id, load
            )
            self.put(Send(host, message))

    def _leave_undecided(self, pending):
        pending.host = None
        self.put(Undecided(pending))

    def _schedule(self, state, at):
        state.due_at = at
        heapq.heappush(self._wakeups, (at, state.pending.offer_id))

    def _send_lists(self, now):
        """List the requests in flight to the hosts of each group."""
        if now - self._lists_at < LEASE_LIST_INTERVAL_S / 4:
            return
        self._lists_at = now
        leases = self._list_leases()
        targets = self._find_list_targets(leases, now)
        for target in sorted(targets | self._lists.keys()):
            group, _ = target
            listed = leases[group] if target in targets else ()
            self._send_list(target, listed, now)

    def _list_leases(self):
        """Return the requests in flight by the group of their endpoint."""
        leases = {}
        for pending in self._leases.values():
            if pending.runner is None:
                continue
            region = self._locality.region_of(
                pending.runner.record.failure_domain
            )
            group = groups.Group(pending.service, region)
            leases.setdefault(group, []).append(pending)
        return leases

    def _find_list_targets(self, leases, now):
        """Return the groups with the hosts that count their requests.

        These are the present host and all that granted a request.
        """
        targets = set()
        for group, in_flight in leases.items():
            hosts = {pending.host for pending in in_flight}
            hosts.add(self._directory.find_host(group, (), now))
            targets |= {(group, host) for host in hosts - {None}}
        return targets

    def _send_list(self, target, in_flight, now):
        state = self._lists.setdefault(target, LeaseListState())
        if now - state.sent_at < LEASE_LIST_INTERVAL_S:
            return
        if in_flight:
            state.empty_lists = 0
        elif state.empty_lists >= EMPTY_LISTS:
            del self._lists[target]
            return
        else:
            state.empty_lists += 1
        state.sent_at = now
        group, host = target
        leases = tuple(
            admission_messages.Lease(pending.offer_id, pending.runner.id)
            for pending in in_flight
        )
        message = admission_messages.LeaseList(
            *group, leases, self._report_loads(group, host, now)
        )
        self.put(Send(host, message))

    def find_groups(self, service):
        """Return the groups of a service, nearest first."""
        if self._generation != self._runner_registry.generation:
            self._generation = self._runner_registry.generation
            self._groups.clear()
            self._loads_told_at.clear()
        if service not in self._groups:
            self._groups[service] = groups.find_groups(
                service, self._runner_registry, self._locality
            )
        return self._groups[service]
