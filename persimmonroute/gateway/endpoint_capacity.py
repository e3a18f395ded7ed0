"""Estimate how fast each endpoint is, and how much work it takes well.

It answers the load of a service whose endpoints differ in speed, share their
machines with others, and slow down for less than a second at a time. It is
active only for services whose endpoints report the present cost of work.
Beliefs that no observation renews return to the usual, so that an endpoint
that was slow gets requests again without a probe.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

from persimmonroute.gateway import work_model

# Concurrent requests of an endpoint until its plan is first asked for.
DEFAULT_SLOTS = 4
# Endpoints whose estimates are kept.
MAX_ENDPOINTS = 4096
MAX_SERVICES = 256
# Time constant with which a reported cost returns to the usual one. Slowdowns
# last 0.6 s, so half of those reported are over after about 0.3 s.
COST_LIFE_S = 0.3
# Older figures say nothing any more.
MAX_COST_AGE_S = 1.5
# Bounds of a reported cost that is believed, in percent.
MIN_COST_PERCENT = 20
MAX_COST_PERCENT = 1000
# Time constant with which the lasting speed returns to the usual one.
SPEED_LIFE_S = 60.0
# Weight of the newest attempt in the lasting speed, once there are many.
SPEED_SMOOTHING = 0.04
# Attempts at the usual speed that an unknown endpoint counts as having.
USUAL_ATTEMPTS = 3
# Bound of the logarithm of one attempt's time relative to the expected one.
MAX_ERROR = 1.1
# Bound of the logarithm of the lasting speed, a factor of about five.
MAX_LASTING = 1.6
# Attempts over which reported costs are compared with observed times.
TRUST_MEMORY = 60
# How much evidence for a reported figure is assumed, as a sum of squared
# logarithms; a cost of 250 has 0.84.
TRUST_PRIOR = 2.0
# How much a request's time grows with each other request at the endpoint,
# relative to its time alone, before this has been observed.
USUAL_FILL = 0.7
# At most this: with 1 the requests share a fixed speed among themselves.
MAX_FILL = 1.0
FILL_MEMORY = 1000
# Weight of the newest attempt in the means from which differences count.
FILL_SMOOTHING = 0.03
# Weight of the usual growth, in squared differences of the load. While the
# load never changes, the growth cannot be observed and the usual one holds.
FILL_PRIOR = 30.0
# The same for one endpoint, beside the growth of its service.
ENDPOINT_FILL_PRIOR = 200.0
# Logarithm of a cost up to which attempts tell how times grow with the load: a
# machine that slows down fills, which must not be taken for the cause.
MAX_USUAL_COST = 0.25
# Load at which the usual growth is assumed to have been observed.
USUAL_LOAD = 3.0
# Requests of a service from which endpoints may be sent fewer requests at once
# than they have slots: before, little is known of the growth.
MIN_FILL_REQUESTS = 100
# The growth is not extrapolated below this part of the mean time.
MIN_ALONE_SHARE = 0.1
# Bound of an observed time relative to the expected one, where ratios count.
MAX_RATIO = 8.0
MEAN_SMOOTHING = 0.02
LATENESS_SMOOTHING = 0.05
# A request is sent in addition to those at an endpoint while it adds to what
# the endpoint completes; the fewest are sent that reach this share of the
# most that it completes.
KEPT_SHARE = 0.9
# Time from the end of a request until the next one arrives at the endpoint,
# in which its place is empty.
GAP_S = 0.03
# How long a computed limit is used while nothing new is heard.
PLAN_LIFE_S = 0.1
# The same for the speed; a reported cost hardly expires meanwhile.
FACTOR_LIFE_S = 0.02
# A request is placed among those of its rank as if it had arrived later by
# this multiple of its slot time: under overload those that occupy a slot for
# long displace several short ones.
DELAY_PER_WORK = 4.0
# Changes of the lasting speed by this factor are logged.
LOGGED_CHANGE = 1.25
# Trust in a reported cost below which it is logged as contradicted.
LOGGED_TRUST = 0.5
LOG_INTERVAL_S = 5.0
# Fewer attempts tell little of an endpoint.
MIN_LOGGED_ATTEMPTS = 20


class Use(enum.StrEnum):
    """Name a decision that the estimates are used for."""

    # How many requests an endpoint is sent at once.
    LIMIT = 'limit'
    # Which endpoint gets a request.
    PLACEMENT = 'placement'
    # Whether a request can still be on time.
    DUE = 'due'
    # How long requests wait, and which are shed.
    WAIT = 'wait'
    # Which of the requests of a tier goes first.
    ORDER = 'order'


class SentWork(typing.NamedTuple):
    """Store what was known of a request when it was sent."""

    size: work_model.Size
    # Requests at the endpoint, this one included.
    load: int
    # Time integral of the number of requests at the endpoint until then.
    load_s: float
    # Logarithm of the cost that was believed.
    cost: float


class ObservedAttempt(typing.NamedTuple):
    """Store what was observed of an attempt that was answered."""

    times: work_model.Times
    # Mean number of requests at the endpoint meanwhile, and their number when
    # this one was sent; both include it.
    load: float
    sent_load: int
    # Logarithm of the cost that was believed when it was sent.
    sent_cost: float
    # Whether the load counts the requests of all gateways.
    load_known: bool
    # Cost that came with the response, or None.
    cost_percent: int | None


class Plan(typing.NamedTuple):
    """Store how many requests an endpoint is sent at once.

    rate is the work that it then does in a second, in seconds of an endpoint
    of usual speed with nothing else to do.
    """

    limit: int
    rate: float
    made_at: float


class Belief(typing.NamedTuple):
    """Describe an estimate and its reasons for operators."""

    # Observed relative to expected time: lasting, and with the present cost.
    lasting: float
    present: float
    # Cost that the endpoint reported last, in percent, and its age; None
    # without one.
    cost_percent: int | None
    cost_age_s: float | None
    # Weight of the reported cost, between 0 and 1.
    trust: float
    # Growth of times with each other request at the endpoint.
    growth: float
    attempts: int
    # Requests sent at once; None before any time is known.
    limit: int | None


class FillCurve:
    """Learn how times grow with the number of requests at an endpoint.

    usual is the FillCurve of the whole service, None for that itself. What is
    expected of an endpoint changes while its speed is learned, and differs
    between endpoints, so only differences from what was observed at the same
    endpoint of late are compared.
    """

    def __init__(self, usual=None):
        self._usual = usual
        self._prior = FILL_PRIOR if usual is None else ENDPOINT_FILL_PRIOR
        # Means of late: load at the sending, load meanwhile, logarithm of
        # the time; None before the first attempt.
        self._means = None
        # Sums of the products of their differences from these means: of the
        # loads, of load and time, and of the first times the load.
        self._squares = 0.0
        self._products = 0.0
        self._weighted_load = 0.0
        self._growth = None

    @property
    def growth(self):
        """Return the growth for each other request, relative to one alone."""
        if self._growth is None:
            return USUAL_FILL if self._usual is None else self._usual.growth
        return self._growth

    def factor(self, load):
        """Return the time at a load relative to that of a request alone."""
        return 1.0 + self.growth * max(load - 1.0, 0.0)

    def add(self, attempt, seconds):
        """Add the time of an attempt, freed of its size and the present cost.

        The load at its sending stands for that of the whole attempt: the
        latter also grows because the attempt takes long.
        """
        log_time = math.log(max(seconds, work_model.MIN_TIME_S))
        observed = attempt.sent_load, attempt.load, log_time
        if self._means is None:
            self._means = observed
            return
        sent_load, load, time = (
            value - mean
            for value, mean in zip(observed, self._means, strict=True)
        )
        time = _clip(time, MAX_ERROR)
        self._means = tuple(
            mean + FILL_SMOOTHING * difference
            for mean, difference in zip(
                self._means, (sent_load, load, time), strict=True
            )
        )
        for curve in (self._usual, self):
            curve.add_products(
                sent_load * load, sent_load * time, attempt.load
            )

    def add_products(self, loads, times, load):
        """Add products of the differences from what was observed of late."""
        kept = 1.0 - 1.0 / FILL_MEMORY
        self._squares = kept * self._squares + loads
        self._products = kept * self._products + times
        self._weighted_load = kept * self._weighted_load + loads * load
        self._growth = self._estimate_growth()

    def _estimate_growth(self):
        usual = USUAL_FILL if self._usual is None else self._usual.growth
        squares = max(self._squares, 0.0)
        weight = squares + self._prior
        others = self._weighted_load + self._prior * USUAL_LOAD
        others = max(others / weight - 1.0, 0.0)
        # Relative growth at that load.
        usual_slope = usual / (1.0 + usual * others)
        slope = (self._products + self._prior * usual_slope) / weight
        alone = max(1.0 - slope * others, MIN_ALONE_SHARE)
        return min(max(slope / alone, 0.0), MAX_FILL)


class ServiceWork:
    """Keep what the endpoints of a service have in common."""

    def __init__(self):
        self.fill = FillCurve()
        self.requests = 0
        # Mean expected times of the requests that were served; None before
        # the first one.
        self.mean = None
        # Mean time to the first byte relative to the expected one at an
        # endpoint of usual speed with nothing else to do.
        self.first_byte_ratio = 1.0
        # Mean logarithm of the lasting speed over attempts. The model takes
        # it over, so that the usual speed stays that of the mean attempt.
        self.lasting = 0.0

    def add_lasting(self, lasting):
        """Add the lasting speed of an endpoint that served a request."""
        self.lasting += MEAN_SMOOTHING * (lasting - self.lasting)

    def add(self, expected, first_byte_s):
        """Add a request that was served."""
        self.requests += 1
        if self.mean is None:
            self.mean = expected
        self.mean = work_model.Times(
            *(
                before + MEAN_SMOOTHING * (seconds - before)
                for before, seconds in zip(self.mean, expected, strict=True)
            )
        )
        ratio = min(first_byte_s / expected.first_byte_s, MAX_RATIO)
        self.first_byte_ratio += LATENESS_SMOOTHING * (
            ratio - self.first_byte_ratio
        )


class EndpointEstimate:
    """Estimate the speed and the capacity of one incarnation."""

    def __init__(self, service_work):
        self._service_work = service_work
        self.fill = FillCurve(service_work.fill)
        self.attempts = 0
        # Requests that the endpoint runs concurrently.
        self.slots = DEFAULT_SLOTS
        # Logarithm of observed over expected time, and when it was observed.
        self._lasting = 0.0
        self._observed_at = -math.inf
        self._cost_percent = None
        # Logarithm of the reported cost.
        self._cost = 0.0
        self._cost_at = -math.inf
        # Sums over attempts of the squared reported cost, and of its product
        # with the unexplained time.
        self._squares = 0.0
        self._products = 0.0
        self._plan = None
        self._most = 0
        self._factor = 1.0
        self._factor_at = -math.inf
        self._logged_at = -math.inf
        self._logged_lasting = 0.0
        self._logged_trust = 1.0

    @property
    def trust(self):
        """Return the weight of the reported cost, between 0 and 1."""
        trust = (self._products + TRUST_PRIOR) / (self._squares + TRUST_PRIOR)
        return min(max(trust, 0.0), 1.0)

    def record_cost(self, cost_percent, at):
        """Record what the endpoint reported at a time of the cost of work."""
        if at < self._cost_at:
            return
        self._cost_percent = cost_percent
        self._cost = _log_cost(cost_percent)
        self._cost_at = at
        self._forget_plan()

    def factor(self, now):
        """Return the time of work here now, relative to the usual."""
        if now - self._factor_at > FACTOR_LIFE_S:
            self._factor = math.exp(self._lasting_at(now) + self.cost(now))
            self._factor_at = now
        return self._factor

    def expect(self, times, load, now):
        """Return the Times of a request that is sent here now.

        times are those at an endpoint of usual speed with nothing else to do,
        load is the number of requests here, this one included.
        """
        # Called for each endpoint of a group and request.
        running = load if load < self.slots else self.slots
        scale = self.factor(now) * (1.0 + self.fill.growth * (running - 1))
        wait_s = self._wait_s(load, times) if load > running else 0.0
        first_byte_s, slot_s = times
        return work_model.Times(
            scale * (wait_s + first_byte_s), scale * (wait_s + slot_s)
        )

    def plan(self, slots, most, now):
        """Return the Plan of an endpoint, or None if no time is known yet.

        slots is how many requests run concurrently, most how many may be here
        at the most; None for as many as before.
        """
        plan = self._plan
        if (
            plan is not None
            and now - plan.made_at < PLAN_LIFE_S
            and self.slots == slots
            and most in (None, self._most)
        ):
            return plan
        self.slots = slots
        self._most = max(most or self._most, slots)
        mean = self._service_work.mean
        if mean is None:
            return None
        self._plan = self._make_plan(mean.slot_s, slots, self._most, now)
        return self._plan

    def _make_plan(self, mean_s, slots, most, now):
        known = self._service_work.requests >= MIN_FILL_REQUESTS
        alone_s = mean_s * self.factor(now)
        growth = self.fill.growth
        best = _complete(most, slots, alone_s, growth)
        limit, per_s = most, best
        if known:
            for limit in range(1, most + 1):
                per_s = _complete(limit, slots, alone_s, growth)
                if per_s >= KEPT_SHARE * best:
                    break
        return Plan(limit, per_s * mean_s, now)

    def record(self, expected, attempt, settled, now):
        """Learn from an ObservedAttempt that was answered.

        expected are its Times at an endpoint of usual speed with nothing else
        to do. Unless they are settled, large requests look like a slow
        endpoint, so nothing is learned of the endpoint. Returns the observed
        Times freed of the speed, the cost and the load of this endpoint.
        """
        observed = attempt.times
        running = min(attempt.load, self.slots)
        fill = self.fill.factor(running)
        cost = _log_cost(attempt.cost_percent)
        explained = self.trust * cost
        lasting = self._lasting_at(now)
        # Times as expected, but for the lasting speed.
        wait_s = self._wait_s(attempt.sent_load, expected) * fill
        alone_s = fill * expected.first_byte_s
        waited = (wait_s + alone_s) / alone_s
        error = _clip(
            math.log(
                max(observed.first_byte_s, work_model.MIN_TIME_S)
                / (alone_s * waited)
            )
            - lasting,
            MAX_ERROR + MAX_LASTING,
        )
        if settled:
            self._add_trust(cost, error)
            self._add_lasting(lasting, error - explained, now)
        self._forget_plan()
        scale = math.exp(lasting + explained)
        usual_cost = max(abs(cost), abs(attempt.sent_cost)) < MAX_USUAL_COST
        waited_not = attempt.sent_load <= self.slots
        if attempt.load_known and usual_cost and waited_not:
            mean = self._service_work.mean or expected
            size_share = expected.slot_s / mean.slot_s
            alone_s = observed.slot_s / (math.exp(explained) * size_share)
            self.fill.add(attempt, alone_s)
        scale *= fill / math.exp(self._service_work.lasting)
        return work_model.Times(
            observed.first_byte_s / (scale * waited),
            observed.slot_s
            / (scale + wait_s * scale / expected.slot_s / fill),
        )

    def _wait_s(self, load, times):
        """Return the wait for a slot at the usual speed, alone in a slot."""
        if load <= self.slots:
            return 0.0
        mean = self._service_work.mean or times
        return (load - self.slots) * mean.slot_s / self.slots

    def _add_lasting(self, lasting, error, now):
        self.attempts += 1
        weight = max(1 / (self.attempts + USUAL_ATTEMPTS), SPEED_SMOOTHING)
        error = _clip(error, MAX_ERROR)
        self._lasting = _clip(lasting + weight * error, MAX_LASTING)
        self._observed_at = now
        self._service_work.add_lasting(self._lasting)

    def _add_trust(self, cost, unexplained):
        """Compare a reported cost with what the lasting speed leaves open."""
        if not cost:
            return
        kept = 1.0 - 1.0 / TRUST_MEMORY
        unexplained = _clip(unexplained, MAX_ERROR)
        self._squares = kept * self._squares + cost * cost
        self._products = kept * self._products + cost * unexplained

    def describe(self, now):
        """Return the Belief about the endpoint."""
        known = self._cost_percent is not None
        return Belief(
            math.exp(self._lasting_at(now)),
            self.factor(now),
            self._cost_percent,
            now - self._cost_at if known else None,
            self.trust,
            self.fill.growth,
            self.attempts,
            None if self._plan is None else self._plan.limit,
        )

    def take_change(self, now):
        """Return the Belief if it changed enough to be logged, or None."""
        if self.attempts < MIN_LOGGED_ATTEMPTS:
            return None
        if now - self._logged_at < LOG_INTERVAL_S:
            return None
        trusted = self.trust >= LOGGED_TRUST
        change = abs(self._lasting_at(now) - self._logged_lasting)
        if change < math.log(LOGGED_CHANGE) and trusted == (
            self._logged_trust >= LOGGED_TRUST
        ):
            return None
        self._logged_at = now
        self._logged_lasting = self._lasting_at(now)
        self._logged_trust = self.trust
        return self.describe(now)

    def _lasting_at(self, now):
        if not self._lasting:
            return 0.0
        age_s = max(now - self._observed_at, 0.0)
        return self._lasting * math.exp(-age_s / SPEED_LIFE_S)

    def cost(self, now):
        """Return the logarithm of the believed cost of work."""
        if not self._cost:
            return 0.0
        age_s = max(now - self._cost_at, 0.0)
        if age_s > MAX_COST_AGE_S:
            return 0.0
        return self.trust * self._cost * math.exp(-age_s / COST_LIFE_S)

    def _forget_plan(self):
        self._plan = None
        self._factor_at = -math.inf


class EndpointCapacities:
    """Keep the estimates of all endpoints whose services report a cost.

    A gateway and the groups that it hosts share them, so that a new host
    knows at least what it observed itself. Without any use, it is only known
    which services report a cost.
    """

    def __init__(self):
        # Decisions that use the estimates. Without any, endpoints are treated
        # as if they reported nothing.
        self.uses = frozenset(Use)
        self._reporting = set()
        self.model = work_model.WorkModel()
        # Whether any endpoint has reported what work costs.
        self.active = False
        # Loads that could not be read, by service.
        self.unreadable = collections.Counter()
        # Called with the record of an endpoint and its changed Belief.
        self.on_change = lambda record, belief: None
        self._services = {}
        self._estimates = collections.OrderedDict()

    def reports_cost(self, service):
        """Return whether endpoints of a service report what work costs."""
        return service in self._reporting

    def record_unreadable(self, service):
        """Count an unreadable load; return whether it is the first one."""
        if service not in self.unreadable:
            if len(self.unreadable) >= MAX_SERVICES:
                return False
        self.unreadable[service] += 1
        return self.unreadable[service] == 1

    def find(self, record):
        """Return the EndpointEstimate of an incarnation, or None.

        None stands for a service whose endpoints report no cost.
        """
        service_work = self._services.get(record.service)
        if service_work is None:
            return None
        estimate = self._estimates.get(record.incarnation)
        if estimate is None:
            estimate = EndpointEstimate(service_work)
            self._estimates[record.incarnation] = estimate
            if len(self._estimates) > MAX_ENDPOINTS:
                self._estimates.popitem(last=False)
        return estimate

    def record_load(self, record, load, at):
        """Record the load that an endpoint reported at a time."""
        if load is None or load.cost_percent is None:
            return
        if record.service not in self._reporting:
            if len(self._reporting) >= MAX_SERVICES:
                return
            self._reporting.add(record.service)
        if not self.uses:
            return
        if record.service not in self._services:
            self._services[record.service] = ServiceWork()
            self.active = True
        self.find(record).record_cost(load.cost_percent, at)

    def expect(self, pending):
        """Return the Times of a request, or None if they are not known.

        They hold for an endpoint of usual speed that has nothing else to do
        and caches no part of the prompt.
        """
        if pending.expected is None:
            service_work = self._services.get(pending.service)
            if service_work is None or service_work.mean is None:
                return None
            size = size_of(pending)
            pending.expected = (
                self.model.expect(pending.service, pending.route.name, size)
                or service_work.mean
            )
        return pending.expected

    def expect_first_byte_s(self, pending):
        """Return the time to the first byte under the present load, or None.

        A request that takes longer than the mean counts as the mean one: it
        must not become late only because of its size.
        """
        if Use.DUE not in self.uses:
            return None
        times = self.expect(pending)
        if times is None:
            return None
        service_work = self._services[pending.service]
        mean_s = service_work.mean.first_byte_s
        return service_work.first_byte_ratio * min(times.first_byte_s, mean_s)

    def prefill_s(self, pending, tokens):
        """Return how long an engine of usual speed reads prompt tokens."""
        fit = self.model.find(pending.service, pending.route.name)
        return 0.0 if fit is None else fit.prefill_s(tokens)

    def _deduct_cached(self, pending, times, tokens):
        if not tokens:
            return times
        saved_s = self.prefill_s(pending, tokens)
        return work_model.Times(
            *(max(s - saved_s, work_model.MIN_TIME_S) for s in times)
        )

    def expect_work_s(self, pending):
        """Return the work of a request in seconds, or None."""
        if Use.WAIT not in self.uses:
            return None
        times = self.expect(pending)
        return None if times is None else times.slot_s

    def find_delay_s(self, pending):
        """Return by how much later than its arrival a request is placed."""
        if Use.ORDER not in self.uses:
            return 0.0
        times = self.expect(pending)
        return 0.0 if times is None else DELAY_PER_WORK * times.slot_s

    def mean_work_s(self, service):
        """Return the mean work of a request in seconds, or None."""
        service_work = self._services.get(service)
        if Use.WAIT not in self.uses or service_work is None:
            return None
        if service_work.mean is None:
            return None
        return service_work.mean.slot_s

    def expect_here(self, pending, view, now):
        """Return the Times of a request that is sent to an endpoint now.

        Returns None if they are not known.
        """
        times = self.expect(pending)
        if times is None:
            return None
        if pending.request.prompt:
            cached = view.cached_tokens(pending.request.prompt, now)
            times = self._deduct_cached(pending, times, cached)
        return view.estimate.expect(times, view.load + 1, now)

    def record(self, pending, view, observed, load_known, now):
        """Learn from an attempt that was answered.

        load_known tells whether the load of the view counts the requests of
        all gateways; if not, the load is what the endpoint reported.
        """
        estimate = view.estimate
        sent = pending.sent_work
        if estimate is None or sent is None:
            return
        service, route = pending.service, pending.route.name
        expected = self.model.expect(service, route, sent.size)
        if expected is None:
            expected = observed
        fit = self.model.find(service, route)
        settled = fit is not None and fit.settled
        service_work = self._services[service]
        freed = estimate.record(
            expected,
            _observe(pending, view, observed, load_known),
            settled,
            now,
        )
        service_work.add(expected, observed.first_byte_s)
        self.model.record(service, route, sent.size, freed)
        belief = estimate.take_change(now)
        if belief is not None:
            self.on_change(view.record, belief)


def _complete(load, slots, alone_s, growth):
    """Return how many requests an endpoint completes in a second.

    Each place is empty for GAP_S between two requests, unless more requests
    wait there than it has slots.
    """
    running = min(load, slots)
    time_s = alone_s * (1.0 + growth * (running - 1))
    return min(load / (time_s + GAP_S), running / time_s)


def _observe(pending, view, times, load_known):
    """Return the ObservedAttempt of a request that was answered."""
    sent, reported = pending.sent_work, pending.reported_load
    cost_percent = None if reported is None else reported.cost_percent
    if load_known:
        took_s = max(times.slot_s, work_model.MIN_TIME_S)
        load = (view.load_s - sent.load_s) / took_s
        sent_load = sent.load
    else:
        running, waiting = (0, 0) if reported is None else reported[:2]
        load = sent_load = max(sent.load, running + waiting)
    return ObservedAttempt(
        times,
        max(load, 1.0),
        sent_load,
        sent.cost,
        load_known,
        cost_percent,
    )


def size_of(pending, cached=0):
    """Return the Size of a request at an endpoint with cached tokens."""
    request = pending.request
    tokens = request.prompt_tokens
    if not tokens:
        tokens = sum(part.tokens for part in request.prompt)
    return work_model.Size(max(tokens - cached, 0), pending.expected_output)


def _log_cost(percent):
    if percent is None:
        return 0.0
    bounded = min(max(percent, MIN_COST_PERCENT), MAX_COST_PERCENT)
    return math.log(bounded / 100)


def _clip(value, bound):
    return min(max(value, -bound), bound)
