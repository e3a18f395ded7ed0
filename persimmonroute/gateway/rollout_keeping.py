"""Carry out rollouts: report to the controller, control, keep the rows.

It answers the load of a rollout at a fleet: one gateway controls each order,
hosts send it a report four times a second, and a gateway without any order
does nothing. The store gets a write for each phase, and one long poll of each
gateway while an order is open.
"""

from __future__ import annotations

import abc
import asyncio
import math
import random
import typing

from persimmonroute import background
from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import polling
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway.rollout_control import Order
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway import rollout_forwarding
from persimmonroute.gateway import rollout_reports
from persimmonroute import logs

log = logs.EventLog(__name__)

TICK_S = 0.1
# Rollbacks reach the hosts at once, so these bound only the detection.
CONTROL_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 0.25
# In the cutover the target gets all requests, so its budget lasts for a
# second only; each tick counts.
CUTOVER_INTERVAL_S = 0.09
# Long polls of the controller show in addition whether the store responds.
CONTROLLER_WAIT_S = 1.0
FOLLOWER_WAIT_S = 4.0
# The store counts as available for a long poll and its grace.
STORE_FRESH_S = 2.5
# Gateways that only follow an order begin to read at different times.
READ_SPREAD_PER_GATEWAY_S = 0.005
# A controller that does not answer for longer is not asked for a while: from
# other regions, gateways report too rarely to notice soon that one is gone.
ANSWER_TIMEOUT_S = 0.8
SILENT_PAUSE_S = 5.0
# A gateway that hosts ask controls the order, whoever else could.
ASKED_VALID_S = 1.0
# Pause of a controller after a call to the store that failed.
RETRY_S = 0.25
# The old endpoints stop at the status completed. Gateways without a host
# learn of it from the table before: their long polls end at once.
MAX_NOTICE_S = 0.3
NOTICE_SHARE = 0.02
# A controller that the store does not answer for longer grants no share: the
# others may have taken another one, which spends the budget, too.
CLAIM_VALID_S = 3.0
# Pause of a controller after another one has claimed its order.
CLAIM_PAUSE_S = 1.0
# The store tells all gateways of an order within milliseconds; one that only
# other gateways have told of for longer is logged.
FORWARDED_GRACE_S = 1.0
IN_PROGRESS = 'in_progress'
STATES = {Phase.COMPLETED: 'completed', Phase.ROLLED_BACK: 'rolled_back'}


class RolloutRow(typing.NamedTuple):
    """Store what the table of rollouts has of the newest order."""

    order: Order
    # In the local clock; infinity if it is not known.
    given_at: float
    phase: Phase
    # State that the operators were told.
    status: str
    reason: str
    requests: int
    exposed: int
    # Versions of earlier orders that were not accepted.
    rejected: tuple[str, ...]
    # Gateway that controls the order.
    controller: str
    # Version of the row; 0 before it is written.
    version: int = 0


class RolloutPage(typing.NamedTuple):
    """Store the rows of one response, and how far the table was read."""

    rows: tuple[RolloutRow, ...]
    version: int
    era: int


class StatusRow(typing.NamedTuple):
    """Store what the operators were told of a rollout."""

    phase: Phase | None
    target: str
    version: int


class RolloutRows(abc.ABC):
    """Read and write the rows of rollouts."""

    @abc.abstractmethod
    async def read(self):
        """Return all rows as a RolloutPage."""

    @abc.abstractmethod
    async def watch(self, after, wait_s):
        """Return the RolloutPage of the changes after a version.

        Raises HistoryLostError if the table has to be read again.
        """

    @abc.abstractmethod
    async def write(self, row, expected_version):
        """Write a row and its status if the row has this version.

        Return the new version, or None if the row has another one.
        """

    @abc.abstractmethod
    async def read_status(self, service):
        """Return the StatusRow of a service, or None."""


def read_bounds(settings):
    """Return the Bounds in the settings, or None to serve no rollouts."""
    bounds = rollout_control.Bounds(
        settings.rollout_exposure_share,
        settings.rollout_exposure_slack,
        settings.rollout_rollback_s,
    )
    return None if None in bounds else bounds


class Controller:
    """Combine the reports of hosts with the control of one order."""

    def __init__(self, rollout, bounds):
        self.order = rollout.order
        self.collector = rollout_reports.EvidenceCollector(rollout.order)
        self.control = rollout_control.RolloutControl(
            rollout.order, bounds, rollout.given_at, rollout.phase
        )
        # Plan that hosts follow now; None before the first decision.
        self.plan = None
        self.advanced_at = -math.inf
        # Phases that were logged as decided, which may not be stored yet.
        self.logged = set()
        # Whether the row names this gateway, and from when on it may.
        self.claimed = False
        self.claim_at = -math.inf
        # When a host last asked for the plan.
        self.asked_at = -math.inf

    def record_claim(self, own, now):
        """Record whether the row names this gateway or another one."""
        if self.claimed and not own:
            self.claim_at = now + CLAIM_PAUSE_S
        self.claimed = own


class RolloutKeeper:
    """Carry out the orders of operators, with the other gateways."""

    def __init__(self, board, dispatcher, rows, bounds):
        self._board = board
        self._dispatcher = dispatcher
        self._rollouts = board.rollouts
        self._rows = rows
        self._bounds = bounds
        # Rows by service, as last read or written.
        self._stored = {}
        self._loaded = False
        self._must_read = True
        self._version = 0
        self._available_at = -math.inf
        # Set while any order is not settled.
        self._work = asyncio.Event()
        # By service.
        self._senders = {}
        self._controllers = {}
        self._writes = {}
        # Orders that were read at the start and whose status is to be read,
        # and those that had ended before.
        self._unchecked = set()
        # Until when gateways that did not answer are not asked.
        self._silent_until = {}
        self._ended_before = set()
        # Called when peers have to learn of an order or an outcome.
        self.on_change = lambda: None

    def adopt_orders(self, changes):
        """Follow the orders among the Changes of their table."""
        for order in changes.orders:
            adopted = self._adopt(order, changes.responded_at, changes.era)
            if adopted and changes.complete:
                # It may be an order of long ago.
                self._unchecked.add(order)
                self._rollouts.find(order.service).unconfirmed = True
                self._must_read = True
            elif adopted:
                self.on_change()

    def _adopt(self, order, given_at, era):
        given_at = min(given_at, clock.now_s())
        adopted = self._rollouts.adopt(order, given_at, era)
        if adopted:
            self._on_adopted(order)
        return adopted

    def _on_adopted(self, order):
        """Begin to carry out a new order."""
        log.emit(
            Event.ROLLOUT_ORDERED,
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            revision=order.revision,
        )
        self._work.set()

    def list_forwarded(self, now):
        """Return the ForwardedOrders that peers have to know."""
        return rollout_forwarding.list_forwarded(self._rollouts, now)

    def receive_forwarded(self, peer, orders, now):
        """Follow the orders and outcomes that a gateway has read."""
        for forwarded in orders:
            if self._rollouts.adopt_forwarded(forwarded, peer, now):
                self._on_adopted(forwarded.order)
            rollout = self._rollouts.find(forwarded.order.service)
            if rollout is not None and rollout.has_read(forwarded):
                self._apply_forwarded(rollout, forwarded, peer, now)

    def _apply_forwarded(self, rollout, forwarded, peer, now):
        """Apply what a gateway has read of an order that is known here."""
        rollout.given_at = min(rollout.given_at, now - forwarded.age_s)
        rollout.reject(forwarded.rejected)
        # Only the store changes an outcome that is known.
        if forwarded.outcome is None or rollout.phase.final:
            return
        self._record_phase(rollout, forwarded.outcome, forwarded.reason, now)
        log.emit(
            Event.ROLLOUT_FOLLOWED,
            service=rollout.order.service,
            target=rollout.order.target,
            phase=rollout.phase.value,
            controller=peer,
            reason=rollout.reason,
        )

    def on_store_restored(self):
        """Read all rows of a store that may have lost some."""
        self._stored.clear()
        self._loaded = False
        self._must_read = True
        if any(True for _ in self._rollouts):
            self._work.set()

    async def run(self):
        """Carry out orders until cancelled."""
        ticking = asyncio.create_task(background.run_forever(self._tick_on))
        try:
            await self._follow()
        finally:
            ticking.cancel()
            for writing in self._writes.values():
                writing.cancel()
            await asyncio.gather(
                ticking, *self._writes.values(), return_exceptions=True
            )

    async def _tick_on(self):
        while True:
            await self._work.wait()
            self.tick(clock.now_s())
            await asyncio.sleep(TICK_S)

    async def _follow(self):
        """Keep the copy of the rows current while any order is open."""
        backoff = polling.Backoff()
        while True:
            if not self._work.is_set():
                await self._work.wait()
                self._must_read = True
                await asyncio.sleep(self._draw_spread_s())
            try:
                if self._must_read:
                    await self._read()
                else:
                    await self._watch()
                backoff.reset()
            except exceptions.HistoryLostError as error:
                log.emit(Event.HISTORY_LOST, problem=error.problem)
                self._must_read = True
                await asyncio.sleep(RETRY_S)
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
                pause_s = RETRY_S
                if not self._is_controlling(clock.now_s()):
                    pause_s = backoff.draw_s(self._gateways())
                await asyncio.sleep(pause_s)

    def _gateways(self):
        return self._board.peers.gateway_count(clock.now_s())

    def _draw_spread_s(self):
        if self._unchecked or self._is_controlling(clock.now_s()):
            return 0.0
        return random.uniform(0.0, READ_SPREAD_PER_GATEWAY_S) * (
            self._gateways()
        )

    async def _read(self):
        page = await self._rows.read()
        self._available_at = clock.now_s()
        self._version = page.version
        self._stored = {}
        self._apply(page)
        await self._check_status()
        self._must_read = False
        self._loaded = True

    async def _watch(self):
        now = clock.now_s()
        controlling = self._is_controlling(now)
        wait_s = CONTROLLER_WAIT_S if controlling else FOLLOWER_WAIT_S
        page = await self._rows.watch(self._version, wait_s)
        self._available_at = clock.now_s()
        self._version = max(self._version, page.version)
        self._apply(page)

    def _apply(self, page):
        self._board.raise_store_era(page.era)
        for row in page.rows:
            stored = self._stored.get(row.order.service)
            # A watch may bring what this gateway has written since.
            if stored is None or row.version >= stored.version:
                self._apply_row(row, clock.now_s())

    def _apply_row(self, row, now):
        service = row.order.service
        self._stored[service] = row
        rollout = self._rollouts.find(service)
        if rollout is None:
            return
        if row.order.revision > rollout.order.revision:
            # The feed of orders is late here.
            self._adopt(row.order, row.given_at, rollout.era)
            rollout = self._rollouts.find(service)
        if row.order != rollout.order:
            if row.phase is not Phase.COMPLETED:
                rollout.reject((*row.rejected, row.order.target))
            return
        rollout.given_at = min(rollout.given_at, row.given_at)
        rollout.forwarded_by = ''
        rollout.reject(row.rejected)
        before = rollout.phase
        controller = self._find_controller(rollout)
        if controller is not None:
            controller.record_claim(row.controller == self._board.name, now)
        self._record_phase(rollout, row.phase, row.reason, now)
        if rollout.phase is not before:
            log.emit(
                Event.ROLLOUT_STORED,
                service=service,
                target=row.order.target,
                phase=row.phase.value,
                reason=row.reason,
            )

    def _record_phase(self, rollout, phase, reason, now):
        """Record a phase that the store has, also for the hosts."""
        before = rollout.phase
        rollout.record_stored(phase, reason, now)
        ended = rollout.phase.final and not before.final
        controller = self._find_controller(rollout)
        if controller is not None:
            controller.control.record_phase(rollout.phase, now)
            if ended:
                controller.plan = rollout.plan
                self._push(controller, now)
        if ended:
            self.on_change()

    async def _check_status(self):
        """Leave the orders alone whose end the status already tells."""
        for order in list(self._unchecked):
            rollout = self._rollouts.find(order.service)
            stored = self._stored.get(order.service)
            known = stored is not None and stored.order == order
            if rollout is not None and rollout.order == order and not known:
                status = await self._rows.read_status(order.service)
                if _has_ended(order, status):
                    self._ended_before.add(order)
                    rollout.ended_before = True
                    rollout.record_stored(
                        status.phase, 'ended before', clock.now_s()
                    )
            if rollout is not None:
                rollout.unconfirmed = False
            self._unchecked.discard(order)

    def _is_settled(self, rollout):
        """Return whether the store and the operators know the outcome."""
        order = rollout.order
        if order in self._ended_before:
            return True
        stored = self._stored.get(order.service)
        if stored is None or not rollout.phase.final:
            return False
        return (
            stored.order == order
            and stored.phase is rollout.phase
            and stored.status == STATES[rollout.phase]
        )

    def _choose_controller(self, sender, rollout, now):
        """Return the gateway that gets the next report.

        It is the one that answers: the responsible one may be cut off from the
        store, and each question to it would cost ANSWER_TIMEOUT_S.
        """
        name = sender.controller
        peer = self._board.peers.find(name)
        stopping = peer is not None and peer.stopping
        if now - sender.answered_at <= ANSWER_TIMEOUT_S and not stopping:
            if name != self._board.name or not self._board.draining:
                return name
        return self._find_responsible(rollout, now)

    def _find_responsible(self, rollout, now):
        """Return the gateway that is asked to control an order."""
        silent = [
            name for name, until in self._silent_until.items() if now < until
        ]
        return self._board.peers.find_responsible(
            _name_subject(rollout), now, silent
        )

    def _is_responsible(self, rollout, now):
        """Return whether this gateway controls an order."""
        if self._board.draining:
            return False
        controller = self._find_controller(rollout)
        if controller is not None:
            if now - controller.asked_at <= ASKED_VALID_S:
                return True
        return self._board.peers.is_responsible(_name_subject(rollout), now)

    def _may_control(self, rollout):
        """Return whether this gateway knows enough to control an order.

        One that the store has not told of may be old, or replaced.
        """
        if not self._loaded or rollout.order in self._unchecked:
            return False
        return not rollout.forwarded_by

    def _is_controlling(self, now):
        return any(
            self._is_responsible(rollout, now)
            for rollout in self._rollouts
            if not self._is_settled(rollout)
        )

    def _find_controller(self, rollout):
        """Return the Controller of an order, or None if there is none yet."""
        controller = self._controllers.get(rollout.order.service)
        if controller is None or controller.order != rollout.order:
            return None
        return controller

    def _take_controller(self, rollout):
        controller = self._find_controller(rollout)
        if controller is None:
            controller = Controller(rollout, self._bounds)
            self._controllers[rollout.order.service] = controller
        return controller

    def tick(self, now):
        """Send the reports that are due, and control what is left to this."""
        unsettled = False
        for rollout in self._rollouts:
            if self._is_settled(rollout):
                continue
            unsettled = True
            self._warn_of_forwarded(rollout, now)
            if not rollout.phase.final:
                self._report(rollout, now)
            if not self._may_control(rollout):
                continue
            if self._is_responsible(rollout, now):
                self._control(rollout, now)
        if not unsettled:
            self._work.clear()
            # The rows are not followed until the next order.
            self._loaded = False

    def _warn_of_forwarded(self, rollout, now):
        """Log once that the store has not told of a forwarded order."""
        if not rollout.forwarded_by or rollout.warned:
            return
        if now - rollout.received_at < FORWARDED_GRACE_S:
            return
        rollout.warned = True
        log.emit(
            Event.ROLLOUT_FORWARDED,
            service=rollout.order.service,
            target=rollout.order.target,
            revision=rollout.order.revision,
            era=rollout.era,
            age_s=round(now - rollout.given_at, 3),
            gateway=rollout.forwarded_by,
        )

    def _report(self, rollout, now):
        """Send the evidence of the groups hosted here to the controller."""
        service = rollout.order.service
        sender = self._senders.get(service)
        if sender is None or sender.rollout is not rollout:
            sender = rollout_reports.EvidenceSender(rollout)
            self._senders[service] = sender
        interval_s = REPORT_INTERVAL_S
        if rollout.plan.phase is Phase.CUTOVER:
            interval_s = CUTOVER_INTERVAL_S
        if now - sender.last_sent_at < interval_s:
            return
        regions = self._dispatcher.list_hosted_regions(service, now)
        if not regions:
            return
        in_flight = self._dispatcher.count_in_flight(
            service, rollout.order.target
        )
        silent_s = now - sender.heard_at
        if sender.controller is not None and silent_s > ANSWER_TIMEOUT_S:
            self._silent_until[sender.controller] = now + SILENT_PAUSE_S
        controller = self._choose_controller(sender, rollout, now)
        report = sender.build(controller, regions, in_flight, now)
        self._dispatcher.send_rollout(controller, report, now)

    def receive(self, peer, message, now):
        """Process a message of a gateway about a rollout."""
        if isinstance(message, admission_messages.RolloutEvidence):
            rollout = self._rollouts.find(message.service)
            if rollout is not None:
                self._receive_evidence(peer, message, rollout, now)
        else:
            rollout = self._rollouts.find(message.plan.service)
            if rollout is not None:
                self._receive_decision(peer, message, rollout, now)

    def _receive_evidence(self, peer, report, rollout, now):
        if report.revision != rollout.order.revision:
            return
        if rollout.phase.final:
            # The host may be cut off from the store.
            self._send_plan(peer, rollout.plan, report, 0, now)
            return
        # Without the row it is not known how far a former controller was.
        if not self._loaded or rollout.forwarded_by:
            return
        controller = self._take_controller(rollout)
        controller.asked_at = now
        confirmed = controller.collector.receive(peer, report, now)
        if report.phase == Phase.ROLLED_BACK.value:
            controller.control.roll_back('a host follows a rollback')
        plan = controller.plan
        if plan is None or self._board.draining:
            return
        # A host without an answer asks another gateway. A rollback needs no
        # claim, but once the host follows it, another one may store it.
        urgent = plan.phase.final and report.phase != plan.phase.value
        if self._has_claim(controller, now) or urgent:
            self._send_plan(peer, plan, report, confirmed, now)

    def _has_claim(self, controller, now):
        """Return whether the store has this gateway as the controller."""
        valid = now - self._available_at <= CLAIM_VALID_S
        return controller.claimed and valid

    def _send_plan(self, peer, plan, report, confirmed, now):
        """Send a plan to a host in answer to one of its reports."""
        decision = admission_messages.RolloutDecision(
            plan, report.incarnation, report.number, confirmed
        )
        self._dispatcher.send_rollout(peer, decision, now)

    def _receive_decision(self, peer, decision, rollout, now):
        sender = self._senders.get(rollout.order.service)
        if sender is None or decision.plan.revision != rollout.order.revision:
            return
        sent_at = sender.confirm(peer, decision, now)
        if sent_at is None:
            return
        before = rollout.plan.phase
        rollout.apply_plan(decision.plan, sent_at, now)
        if rollout.plan.phase is not before:
            log.emit(
                Event.ROLLOUT_FOLLOWED,
                service=rollout.order.service,
                target=rollout.order.target,
                phase=rollout.plan.phase.value,
                controller=peer,
                reason=rollout.plan.reason,
            )

    def _control(self, rollout, now):
        """Decide how an order goes on, and store what has to be."""
        controller = self._take_controller(rollout)
        interval_s = CONTROL_INTERVAL_S
        if controller.control.phase is Phase.CUTOVER:
            interval_s = CUTOVER_INTERVAL_S
        if now - controller.advanced_at < interval_s:
            return
        controller.advanced_at = now
        phase, reason = rollout.phase, rollout.reason
        if not rollout.phase.final:
            plan = self._advance(rollout, controller, now)
            phase, reason = plan.phase, plan.reason
            if not controller.claimed and phase is not Phase.ROLLED_BACK:
                # Only the controller that the row names goes on.
                phase = rollout.phase
                if not self._may_claim(rollout, controller, now):
                    return
        service = rollout.order.service
        if service in self._writes:
            return
        row = self._build_row(rollout, controller, phase, reason, now)
        if row is not None:
            self._writes[service] = asyncio.create_task(self._write(row))

    def _may_claim(self, rollout, controller, now):
        """Return whether to become the controller that the row names.

        One that hosts do not report to leaves the order to the other.
        """
        stored = self._stored.get(rollout.order.service)
        if stored is None or stored.order != rollout.order:
            return True
        return now >= controller.claim_at and self._is_reported_to(
            controller, now
        )

    def _is_reported_to(self, controller, now):
        regions = self._dispatcher.list_regions(controller.order.service)
        return controller.collector.covers(regions, now)

    def _advance(self, rollout, controller, now):
        """Return the plan that may have a phase which is not stored yet."""
        control = controller.control
        situation = self._describe(rollout, controller, now)
        plan = control.advance(situation)
        former = controller.plan
        followed = plan
        if plan.phase is not control.phase and not control.rolling_back:
            followed = _keep_phase(plan, control.phase, former)
        if not self._has_claim(controller, now):
            followed = followed._replace(share=0.0)
        controller.plan = followed
        if plan.phase is not control.phase:
            self._log_decided(controller, plan, situation)
        if control.rolling_back:
            rollout.apply_plan(plan, now, now)
        if former is None or former.phase is not controller.plan.phase:
            self._push(controller, now)
        return plan

    def _push(self, controller, now):
        """Tell the hosts of a new phase before their next reports."""
        for host in controller.collector.list_hosts(now):
            decision = admission_messages.RolloutDecision(
                controller.plan, host.incarnation, host.number, host.confirmed
            )
            self._dispatcher.send_rollout(host.name, decision, now)

    def _describe(self, rollout, controller, now):
        """Return the Situation of an order."""
        board, collector = self._board, controller.collector
        order = rollout.order
        targets, others = 0, 1
        if board.registrations_read:
            versions = [
                view.record.version
                for view in board.runner_registry.of_service(order.service)
                if not view.leaving
            ]
            targets = versions.count(order.target)
            others = len(versions) - targets
        evidence = collector.merge()
        requests, exposed = collector.requests, collector.exposed
        stored = self._stored.get(order.service)
        if stored is not None and stored.order == order:
            # Hosts that are gone told a former controller of more.
            requests = max(requests, stored.requests)
            exposed = max(exposed, stored.exposed)
        return rollout_control.Situation(
            now,
            evidence.judge(order.target, now),
            requests,
            exposed,
            targets,
            others,
            collector.count_in_flight(now),
            now - self._available_at <= STORE_FRESH_S,
            board.knows_service(order.service),
            self._is_reported_to(controller, now),
            evidence.count(order.target).total,
        )

    def _log_decided(self, controller, plan, situation):
        if plan.phase in controller.logged:
            return
        controller.logged.add(plan.phase)
        log.emit(
            Event.ROLLOUT_DECIDED,
            service=plan.service,
            target=plan.target,
            phase=plan.phase.value,
            reason=plan.reason,
            verdict=situation.judgement.verdict.value,
            evidence=situation.judgement.reason,
            requests=situation.requests,
            exposed=situation.exposed,
            target_endpoints=situation.target_endpoints,
            other_endpoints=situation.other_endpoints,
            others_in_flight=situation.others_in_flight,
            hosts_report=situation.hosts_report,
            left_s=round(controller.control.deadline_at - situation.now, 3),
        )

    def _build_row(self, rollout, controller, phase, reason, now):
        """Return the row that has to be written, or None."""
        order = rollout.order
        status = STATES.get(phase, IN_PROGRESS)
        if phase is Phase.COMPLETED:
            notice_s = min(MAX_NOTICE_S, NOTICE_SHARE * order.duration_s)
            if not rollout.phase.final or now < rollout.ended_at + notice_s:
                status = IN_PROGRESS
        stored = self._stored.get(order.service)
        if stored is not None and stored.order == order:
            claimed = rollout.phase.final or controller.claimed
            same = (stored.phase, stored.status) == (phase, status)
            if same and claimed:
                return None
            # The status of an outcome is not taken back.
            if stored.phase is phase and stored.status != IN_PROGRESS:
                return None
        missing = stored is None or stored.order != order
        if rollout.phase.final and (missing or stored.phase is not phase):
            log.emit(
                Event.ROLLOUT_WRITTEN_AGAIN,
                service=order.service,
                target=order.target,
                phase=phase.value,
            )
        return RolloutRow(
            order,
            rollout.given_at,
            phase,
            status,
            reason,
            controller.collector.requests,
            controller.collector.exposed,
            rollout.rejected,
            self._board.name,
        )

    async def _write(self, row):
        """Write a row; if the result is not known, read what the store has."""
        service = row.order.service
        stored = self._stored.get(service)
        expected = 0 if stored is None else stored.version
        try:
            try:
                version = await self._rows.write(row, expected)
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
                self._available_at = -math.inf
                version = None
            if version is not None:
                self._available_at = clock.now_s()
                self._apply_row(row._replace(version=version), clock.now_s())
                return
            await self._read_again()
        finally:
            del self._writes[service]

    async def _read_again(self):
        while True:
            try:
                await self._read()
                return
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
                await asyncio.sleep(RETRY_S)


def _keep_phase(plan, phase, former):
    """Return a plan whose phase is not stored yet, with the former phase."""
    share = 0.0 if former is None else min(former.share, plan.share)
    return plan._replace(phase=phase, share=share)


def _name_subject(rollout):
    """Return what a gateway is responsible for as a controller."""
    return f'rollout/{rollout.order.service}'


def _has_ended(order, status):
    """Return whether a status tells the end of an order.

    All rows share one counter of versions, so it is newer than the order.
    """
    if status is None or status.phase is None:
        return False
    return status.target == order.target and status.version > order.revision
