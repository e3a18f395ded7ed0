"""Decide how a rollout of a version goes on.

It answers the load of a service whose traffic moves to a version that may be
bad from the start, only later, or only under load: the version gets few
requests for most of the time, then the full load of few endpoints, and all new
requests for the last moments before the old endpoints stop.
"""

from __future__ import annotations

import enum
import math
import typing

from persimmonroute.gateway import rollout_evidence
from persimmonroute.gateway.rollout_evidence import Verdict

# Part of the bound on the exposure that is planned to be used: hosts count
# with a delay, and requests may be sent without a host.
USED_BUDGET = 0.75
# Part of that for the time before the cutover; the rest is for the cutover.
CANARY_BUDGET = 0.55
# Traffic may become less than it was.
EXPECTED_TRAFFIC = 0.6
MIN_CANARY_SHARE = 0.01
# A version without evidence gets no more than this, whatever the bound.
MAX_CANARY_SHARE = 0.4
# Share while the rate of requests is not known yet.
FIRST_SHARE = 0.03
# From this part of the time on the target's requests go to one endpoint of
# each group, which then has its full load.
RAMP_AT = 0.5
# The decision is left for late, as a version may turn bad later; the old
# endpoints then need time to end what they have, and the store to answer.
CUTOVER_SHARE = 0.15
MAX_CUTOVER_S = 2.5
COMPLETION_SHARE = 0.1
MAX_COMPLETION_S = 1.5
MIN_CUTOVER_S = 0.3
# Added to the time in which the budget of the cutover is expected to be spent.
# With 0.3 s, 3 of 60 versions that are slow under load only were missed in
# tools.rollout_bench, with 0.5 s one.
SPENT_MARGIN_S = 0.5
# Part of the time for the cutover that is used even if the old endpoints have
# ended their requests: only now does the version get the full load.
MIN_CUTOVER_SHARE = 0.5
# The rate of requests is known once so many have arrived over so long.
MIN_RATE_REQUESTS = 20
MIN_RATE_S = 0.5
RAMP_ENDPOINTS = 1
# Requests without any response from which a version is no good: its endpoints
# cannot be reached, or hang.
MIN_UNANSWERED = 5


class Phase(enum.Enum):
    """Enumerate the phases of a rollout."""

    WAITING = 'waiting'
    CANARY = 'canary'
    RAMP = 'ramp'
    CUTOVER = 'cutover'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def final(self):
        """Return whether the rollout has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


PHASES = list(Phase)


class Bounds(typing.NamedTuple):
    """Bound the requests that a version may get before it is accepted."""

    exposure_share: float
    exposure_slack: float
    rollback_s: float


class Order(typing.NamedTuple):
    """Ask to move the traffic of a service to a version.

    revision is the version of the order's row in the store.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class RolloutPlan(typing.NamedTuple):
    """Tell hosts how to use the versions of a service."""

    service: str
    target: str
    revision: int
    phase: Phase
    # Share of the new requests that the target may get.
    share: float
    # Endpoints of the target that are used in each group; 0 for all.
    endpoints: int
    reason: str


class Situation(typing.NamedTuple):
    """Describe what a controller knows at one moment."""

    now: float
    judgement: rollout_evidence.Judgement
    # Requests that reached the service since the order, and those of them
    # that reached the target.
    requests: int
    exposed: int
    # Usable endpoints of the target and of the other versions.
    target_endpoints: int
    other_endpoints: int
    # Requests in flight at the other versions.
    others_in_flight: int
    # Whether the store answered of late, so that an outcome can be written.
    store_available: bool
    # Whether the configuration has the service.
    service_known: bool = True
    # Whether the hosts of all groups of the service report. Without them the
    # lack of evidence says nothing.
    hosts_report: bool = True
    # Responses of the target, of whatever kind; None if it is not known.
    responses: int | None = None


class RolloutControl:
    """Control one rollout; began_at is when the order was given.

    The phase only takes effect for good once it is stored: advance() proposes
    it, and record_phase() tells what the store has.
    """

    def __init__(self, order, bounds, began_at, phase=Phase.WAITING):
        self._order = order
        self._bounds = bounds
        self._began_at = began_at
        self._phase = phase
        # A control that goes on in the cutover does not know when it began.
        self._cutover_at = math.inf
        if phase is Phase.CUTOVER:
            self._cutover_at = -math.inf
        self._share = 0.0
        self._reason = ''
        # Why the version is rolled back; hosts already follow this before it
        # is stored, so it is not taken back.
        self._rollback_reason = None

    @property
    def order(self):
        """Return the Order."""
        return self._order

    @property
    def phase(self):
        """Return the phase that is stored."""
        return self._phase

    @property
    def deadline_at(self):
        """Return when the order's time has passed."""
        return self._began_at + self._order.duration_s

    def record_phase(self, phase, now):
        """Adopt a phase that the store has; an earlier one is ignored."""
        if self._phase.final:
            return
        if not phase.final and PHASES.index(phase) < PHASES.index(self._phase):
            return
        if phase is Phase.CUTOVER and self._phase is not Phase.CUTOVER:
            self._cutover_at = now
        self._phase = phase

    def roll_back(self, reason):
        """Roll the version back whatever the evidence says from now on."""
        if self._rollback_reason is None:
            self._rollback_reason = reason

    @property
    def rolling_back(self):
        """Return whether evidence speaks against the version.

        Only then is a rollback followed before it is stored. When the time
        has passed, another controller may have completed the rollout, and a
        gateway that was suspended or cut off does not know of it yet.
        """
        return self._rollback_reason is not None

    def advance(self, situation):
        """Return the RolloutPlan for now.

        Its phase may be later than the stored one. Then the caller stores it;
        if rolling_back, it takes effect at once, else once it is stored.
        """
        if self._phase.final:
            return self._build_plan(self._phase, self._reason)
        phase, reason = self._find_phase(situation)
        if phase is not self._phase and not self.rolling_back:
            if not situation.store_available:
                phase, reason = self._phase, 'the store is not available'
        self._reason = reason
        share = self._find_share(phase, situation)
        if not situation.store_available:
            # What cannot be stored must not spread.
            share = min(share, self._share)
        self._share = share
        return self._build_plan(phase, reason)

    def _build_plan(self, phase, reason):
        share = self._share
        if phase is Phase.COMPLETED:
            share = 1.0
        elif phase is Phase.ROLLED_BACK:
            share = 0.0
        return RolloutPlan(
            self._order.service,
            self._order.target,
            self._order.revision,
            phase,
            share,
            RAMP_ENDPOINTS if phase is Phase.RAMP else 0,
            reason,
        )

    def _find_phase(self, situation):
        """Return the phase that should be next, and why."""
        now, judgement = situation.now, situation.judgement
        if self._rollback_reason is not None:
            return Phase.ROLLED_BACK, self._rollback_reason
        if not situation.service_known:
            return Phase.ROLLED_BACK, 'the service is not configured'
        if judgement.verdict is Verdict.BAD:
            return self._reject(judgement.reason)
        if now >= self.deadline_at:
            if not situation.target_endpoints:
                return Phase.ROLLED_BACK, 'no endpoint of the version in time'
            return Phase.ROLLED_BACK, 'the time of the order has passed'
        if not situation.target_endpoints:
            return self._phase, 'no endpoint of the version'
        if not situation.other_endpoints:
            return Phase.COMPLETED, 'all endpoints have the version'
        if self._phase is Phase.CUTOVER:
            return self._find_cutover_end(situation)
        if now >= self._find_decides_at(situation):
            if not situation.hosts_report:
                return self._phase, 'hosts do not report'
            if judgement.verdict is Verdict.SUSPECT:
                return self._reject(f'suspected: {judgement.reason}')
            if not situation.responses and situation.responses is not None:
                if situation.exposed >= MIN_UNANSWERED:
                    return self._reject('no response of the version')
            return Phase.CUTOVER, judgement.reason or 'no evidence against it'
        if now >= self._began_at + RAMP_AT * self._order.duration_s:
            return Phase.RAMP, judgement.reason
        return Phase.CANARY, judgement.reason

    def _reject(self, reason):
        """Roll back for evidence against the version."""
        self.roll_back(reason)
        return Phase.ROLLED_BACK, reason

    def _find_cutover_end(self, situation):
        """Return whether the old endpoints may stop."""
        now, judgement = situation.now, situation.judgement
        drained = (
            not situation.others_in_flight
            and now >= self._cutover_at + self._min_cutover_s
        )
        spent = situation.exposed >= self._find_budget(situation)
        if not drained and not spent and now < self._completes_at:
            return Phase.CUTOVER, 'the old endpoints end their requests'
        if not situation.hosts_report:
            return Phase.CUTOVER, 'hosts do not report'
        if judgement.verdict is Verdict.SUSPECT:
            return self._reject(f'suspected: {judgement.reason}')
        return Phase.COMPLETED, judgement.reason or 'no evidence against it'

    @property
    def _min_cutover_s(self):
        planned_s = self._completes_at - self._decides_at
        return max(MIN_CUTOVER_SHARE * planned_s, MIN_CUTOVER_S)

    @property
    def _completes_at(self):
        duration_s = self._order.duration_s
        return self.deadline_at - min(
            COMPLETION_SHARE * duration_s, MAX_COMPLETION_S
        )

    @property
    def _decides_at(self):
        duration_s = self._order.duration_s
        return self._completes_at - min(
            CUTOVER_SHARE * duration_s, MAX_CUTOVER_S
        )

    def _find_decides_at(self, situation):
        """Return when the cutover is to begin.

        Where requests are many, they spend the budget of the cutover in less
        than its planned time. It then begins later, so that a version that
        turns bad late is seen.
        """
        rate = self._find_rate(situation)
        if not rate:
            return self._decides_at
        budget = (1.0 - CANARY_BUDGET) * self._find_budget(situation)
        lasts_s = budget / rate + SPENT_MARGIN_S
        return max(self._decides_at, self._completes_at - lasts_s)

    def _find_share(self, phase, situation):
        """Return the share that keeps the exposure inside its plan."""
        if phase in (Phase.CUTOVER, Phase.COMPLETED):
            return 1.0
        if phase in (Phase.WAITING, Phase.ROLLED_BACK):
            return 0.0
        rate = self._find_rate(situation)
        if rate is None:
            return FIRST_SHARE
        decides_at = self._find_decides_at(situation)
        left_s = max(decides_at - situation.now, MIN_RATE_S)
        left = CANARY_BUDGET * self._find_budget(situation) - situation.exposed
        if left <= 0:
            return 0.0
        share = left / max(rate * left_s, 1.0)
        return min(max(share, MIN_CANARY_SHARE), MAX_CANARY_SHARE)

    def _find_rate(self, situation):
        """Return the requests a second, or None if too few are known."""
        elapsed_s = situation.now - self._began_at
        if elapsed_s < MIN_RATE_S:
            return None
        if situation.requests < MIN_RATE_REQUESTS and elapsed_s < 2.0:
            return None
        return situation.requests / elapsed_s

    def _find_budget(self, situation):
        """Return how many requests the target may get over the whole time."""
        rate = self._find_rate(situation) or 0.0
        left_s = max(self.deadline_at - situation.now, 0.0)
        expected = situation.requests + EXPECTED_TRAFFIC * rate * left_s
        return USED_BUDGET * (
            self._bounds.exposure_share * expected
            + self._bounds.exposure_slack
        )
