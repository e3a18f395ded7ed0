"""Deliver admission decisions to the requests that await them."""

from __future__ import annotations

import asyncio
import math

from persimmonroute import blackboard
from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import offers as _offers
from persimmonroute.gateway import preview
from persimmonroute.gateway import stream_origins
from persimmonroute import logs

log = logs.EventLog(__name__)

# Wakeups due sooner than this are delayed and coalesced.
MIN_WAKEUP_DELAY_S = 0.002
SUMMARY_INTERVAL_S = 0.1


class Dispatcher:
    """Keep a future for each request that waits for an endpoint.

    Requests are offered to the host of a group, which may be this gateway.
    Those that no host decides are left to the gateway's own scheduler.
    """

    def __init__(
        self, own, scheduler, offers, host, directory, origins, versions
    ):
        self._name = own.name
        self._failure_domain = own.failure_domain
        self._scheduler = scheduler
        self._offers = offers
        self._host = host
        self._directory = directory
        self._origins = origins
        # Tells what the store has of the versions of services.
        self._versions = versions
        # Futures of the requests that wait for an endpoint, and of questions
        # about streams.
        self._waiting = {}
        self._questions = {}
        self._timer = None
        self._summarized_at = 0.0
        self.on_change = lambda: None
        # Returns the Rejection of a request that must not wait any longer.
        self.find_rejection = lambda pending, now: None
        # Sends an admission message to another gateway.
        self.send = lambda peer, message: None
        # Receives messages about rollouts of versions.
        self.receive_rollout = lambda peer, message, now: None

    def build_preview(self, board, admission):
        """Return a Preview of this gateway's decisions."""
        return preview.Preview(
            board,
            admission,
            self._scheduler,
            self._offers,
            self._directory,
            self._host,
        )

    @property
    def host(self):
        """Return the AdmissionHost of this gateway."""
        return self._host

    async def wait_for_grant(self, pending):
        """Wait for and return the granted endpoint, or a Rejection."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[pending] = future
        try:
            self._offers.submit(pending, clock.now_s())
            self.deliver_decisions()
            return await future
        except asyncio.CancelledError:
            # Cancelled after the grant, before the request was sent.
            if pending.runner is not None:
                self.release(pending, model.Ending.ABANDONED)
            raise
        finally:
            self._waiting.pop(pending, None)
            self._scheduler.withdraw(pending)
            self._offers.withdraw(pending)
            self.deliver_decisions()

    async def find_origin(self, workspace, attempt, service):
        """Return the Origin of a stream, or None if it is not known."""
        future = asyncio.get_running_loop().create_future()
        question = self._origins.ask(
            workspace, attempt, service, clock.now_s()
        )
        self._questions[question] = future
        try:
            self.deliver_decisions()
            resolved = await future
        finally:
            del self._questions[question]
            self._origins.withdraw(question)
        origin = resolved.origin
        if origin is None or not resolved.by_exclusion:
            return origin
        certain = await self._versions.is_only_version(*origin)
        return origin if certain else None

    def record_begun(self, pending, origin):
        """Remember which version began a stream."""
        if pending.first_attempt is not None:
            self._origins.record_begun(
                pending.workspace,
                pending.first_attempt,
                origin,
                clock.now_s(),
            )

    def record_complete(self, pending):
        """Record that a stream needs no keeper any more."""
        if pending.first_attempt is not None:
            self._origins.record_complete(
                pending.workspace, pending.first_attempt
            )

    def record_broken_off(self, pending):
        """Record that a stream broke off before its end, or its caller left.

        A stream that has ended already is left as it is.
        """
        attempt = pending.first_attempt
        if attempt is not None and self._origins.record_broken_off(
            pending.workspace, attempt
        ):
            self.deliver_decisions()

    def release(self, pending, ending):
        """Release the slot that a request occupied at its endpoint."""
        now = clock.now_s()
        if pending.host is None:
            self._scheduler.release(pending, ending, now)
        self._offers.release(pending, ending, now)
        self.deliver_decisions()

    def receive(self, peer, failure_domain, received, now):
        """Process the admission messages of another gateway."""
        for message in received:
            self._route(peer, failure_domain, message, now)
        self.deliver_decisions()

    def record_limit(self, change):
        """Log a LimitChange, and tell the peers what was heard here."""
        log.emit(
            Event.RUNNER_LIMITED,
            runner=change.runner_id,
            limit_per_s=None if change.per_s == math.inf else change.per_s,
            heard_here=change.heard_here,
        )
        if change.heard_here:
            self.on_change()

    def record_capacity(self, record, belief):
        """Log what is believed of the speed of an endpoint, and why."""
        log.emit(
            Event.RUNNER_CAPACITY,
            runner=record.id,
            service=record.service,
            lasting=round(belief.lasting, 3),
            present=round(belief.present, 3),
            cost_percent=belief.cost_percent,
            trust=round(belief.trust, 3),
            growth=round(belief.growth, 3),
            attempts=belief.attempts,
            limit=belief.limit,
        )

    def dispatch_ready(self, now):
        """Grant or reject the requests that are left to this gateway."""
        self._scheduler.dispatch_all_ready(now)
        self.deliver_decisions()

    def tick(self, now):
        """Repeat and expire what is due, in this gateway and as a host."""
        self._reject_waiting(now)
        self._offers.tick(now)
        self._origins.tick(now)
        self._host.tick(now)
        for logged in self._host.take_events():
            log.emit(logged.event, **logged.fields)
        self._scheduler.dispatch_all_ready(now)
        if now - self._summarized_at >= SUMMARY_INTERVAL_S:
            self._summarized_at = now
            self._send_summaries(now)
        self.deliver_decisions()

    def _reject_waiting(self, now):
        """Reject what a stop of this gateway would cut off."""
        for pending, future in self._waiting.items():
            rejection = self.find_rejection(pending, now)
            if rejection is not None and not future.done():
                # Before anything can be granted to it.
                self._scheduler.withdraw(pending)
                self._offers.withdraw(pending)
                future.set_result(rejection)

    def set_services(self, services):
        """Apply the services of a configuration."""
        self._scheduler.set_services(services)
        self._host.set_services(services)

    def stop_hosting(self):
        """Leave to other gateways what this one does for them.

        The requests that it hosts find another host.
        """
        self._host.stop()
        self.deliver_decisions()

    def deliver_decisions(self):
        """Exchange messages and decisions until none is left."""
        while True:
            effects = self._scheduler.take_effects()
            if effects:
                self.on_change()
            sent = self._offers.take_effects()
            sent += self._origins.take_effects()
            replies = self._host.take_replies()
            if not effects and not sent and not replies:
                break
            for effect in effects:
                self._apply_decision(effect)
            for effect in sent:
                self._apply_effect(effect)
            for gateway, reply in replies:
                self._send(gateway, reply, clock.now_s())
        self._schedule_wakeup(
            min(
                self._scheduler.take_wakeup_at(),
                self._host.take_wakeup_at(),
                self._offers.next_wakeup_at(),
            )
        )

    def _apply_effect(self, effect):
        now = clock.now_s()
        if isinstance(effect, (_offers.Send, stream_origins.Send)):
            self._send(effect.peer, effect.message, now)
        elif isinstance(effect, blackboard.LogEvent):
            log.emit(effect.event, **effect.fields)
        elif isinstance(effect, stream_origins.Resolved):
            future = self._questions.get(effect.question)
            if future is not None and not future.done():
                future.set_result(effect)
        elif isinstance(effect, _offers.Undecided):
            if effect.pending in self._waiting:
                log.emit(
                    Event.NO_ADMISSION_HOST, request=effect.pending.attempt
                )
                self._scheduler.submit(effect.pending, now)
        else:
            self._apply_decision(effect)

    def _apply_decision(self, effect):
        pending = effect.pending
        future = self._waiting.get(pending)
        if isinstance(effect, messages.Granted):
            decision = effect.runner
            if pending.host is None:
                self._offers.record_local_grant(pending)
        else:
            decision = effect.rejection
        if future is not None and not future.done():
            future.set_result(decision)

    def serve_rollouts(self, build_version_policy, receive):
        """Limit the grants of hosted groups, and pass messages on."""
        self._host.build_version_policy = build_version_policy
        self.receive_rollout = receive

    def send_rollout(self, peer, message, now):
        """Send a message about a rollout to a gateway."""
        self._send(peer, message, now)

    def list_regions(self, service):
        """Return the regions that have endpoints of a service."""
        return [group.region for group in self._offers.find_groups(service)]

    def list_hosted_regions(self, service, now):
        """Return the regions whose requests this gateway hosts or should."""
        return [
            group.region
            for group in self._offers.find_groups(service)
            if self._host.find(group) is not None
            or self._directory.find_host(group, (), now) == self._name
        ]

    def count_in_flight(self, service, excluded_version):
        """Return the requests of groups hosted here at all versions but one.

        Those that other gateways sent without a host are not counted.
        """
        return self._host.count_in_flight(service, excluded_version)

    def _send(self, peer, message, now):
        """Send a message to a gateway, which may be this one."""
        if peer == self._name:
            self._route(peer, self._failure_domain, message, now)
        else:
            self.send(peer, message)

    def _route(self, peer, failure_domain, message, now):
        """Hand a message to the part that it concerns."""
        if isinstance(message, admission_messages.Reply):
            self._offers.receive(peer, message, now)
        elif isinstance(message, admission_messages.StreamMessage):
            self._origins.receive(peer, message, now)
        elif isinstance(message, admission_messages.RolloutMessage):
            self.receive_rollout(peer, message, now)
        else:
            self._host.receive(peer, failure_domain, message, now)

    def _send_summaries(self, now):
        for summary in self._host.summarize(now):
            for group in self._offers.find_groups(summary.service):
                if group.region == summary.region:
                    continue
                peer = self._directory.find_host(group, (), now)
                if peer is not None:
                    self._send(peer, summary, now)

    def _schedule_wakeup(self, at):
        if at == math.inf:
            return
        loop = asyncio.get_running_loop()
        delay = max(at - clock.now_s(), MIN_WAKEUP_DELAY_S)
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self):
        self._timer = None
        now = clock.now_s()
        self._offers.tick(now)
        self._host.dispatch_ready(now)
        self.dispatch_ready(now)
