"""Simulate the admission of many gateways without a network.

Gateways and hosts are the real cores; endpoints and messages are modelled.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from persimmonroute import blackboard
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import groups
from persimmonroute.gateway import locality
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import offers
from persimmonroute.gateway import peers
from persimmonroute.gateway import placement
from persimmonroute.gateway import runners
from standins import gateway_fixtures as fixtures

REGIONS = {
    'riga-a': 'riga',
    'riga-b': 'riga',
    'riga-c': 'riga',
    'frankfurt-a': 'frankfurt',
    'frankfurt-b': 'frankfurt',
    'frankfurt-c': 'frankfurt',
}
DOMAINS = tuple(REGIONS)
DELAY_S = {'own': 0.0009, 'other': 0.008}
# Time that a gateway needs to process one message.
PROCESSING_S = 0.002
TICK_S = 0.05
# Time until a report of a gateway is with all others.
REPORT_DELAY_S = 0.3
# Time until gateways see that the registration of an endpoint is gone.
REGISTRATION_LAG_S = 0.5
# Cost of an engine's step for one token, alone and per other request.
STEP_S = 0.00303
STEP_PER_REQUEST_S = 0.000121
FIRST_TOKEN_S = 0.06
PREFILL_TOKENS_PER_S = 92_100.0


class Load(typing.NamedTuple):
    """Describe one kind of request; lengths are means in tokens."""

    route: str
    tier: int
    per_s: float
    prompt_tokens: float
    output_tokens: float
    objective_s: float
    deadline_s: float


class Outcome(typing.NamedTuple):
    """Store what the caller of one request got.

    status is on time, late, refused or lost; times are in seconds.
    """

    load: Load
    status: str
    arrived_at: float
    ended_at: float
    retry_after_s: float | None = None
    # Time of the last decision, when the request was sent or refused.
    decided_at: float = 0.0
    # Versions of the endpoints that wrote events, and times it broke off
    # after its first event.
    versions: tuple[str, ...] = ()
    breaks: int = 0
    prompt_tokens: int = 0
    attempt: str = ''


class Engine:
    """Run requests in slots, in the order of their arrival."""

    def __init__(self, simulation, record, speed):
        self._simulation = simulation
        self.record = record
        self.speed = speed
        self.running = 0
        self.waiting = collections.deque()
        self.busy_s = 0.0
        self.most_waiting = 0
        self.crashed = False
        # Calls that wait or run here.
        self._underway = set()
        # Requests per second that responses name as the limit.
        self.limit_per_s = endpoint_limits.UNLIMITED
        # When each request arrived, and from which gateway.
        self.arrivals = []

    def receive(self, call):
        """Queue a call and start it as soon as a slot is free."""
        if self.crashed:
            call.on_break()
            return
        self.arrivals.append((self._simulation.now, call.gateway.name))
        self._underway.add(call)
        self.waiting.append(call)
        self.start_ready()
        self.most_waiting = max(self.most_waiting, len(self.waiting))

    def crash(self):
        """Break off all calls; the endpoint never comes back."""
        self.crashed = True
        underway, self._underway = self._underway, set()
        for call in sorted(underway, key=lambda c: c.pending.attempt):
            call.on_break()

    def report_load(self):
        """Return the RunnerLoad that a response reports, or None."""
        return None

    def start_ready(self):
        """Start queued calls while slots are free."""
        while self.waiting and self.running < self.record.slots:
            call = self.waiting.popleft()
            self.running += 1
            first_s, total_s = self._times(call.pending)
            self.busy_s += total_s
            self._simulation.after(first_s, self._first, call)
            self._simulation.after(total_s, self._end, call)

    def _times(self, pending):
        prefill_s = pending.request.prompt_tokens / PREFILL_TOKENS_PER_S
        first_s = (FIRST_TOKEN_S + prefill_s) / self.speed
        step_s = STEP_S + STEP_PER_REQUEST_S * self.running
        decode_s = pending.request.output_tokens * step_s / self.speed
        return first_s, first_s + decode_s

    def _first(self, call):
        if not self.crashed:
            call.on_first(self.record.version)

    def _end(self, call):
        if self.crashed:
            return
        self._underway.discard(call)
        self.running -= 1
        self.start_ready()
        call.on_end()


class Gateway:
    """Run the admission cores of one gateway."""

    def __init__(self, simulation, name, failure_domain, cores):
        self.name = name
        self.failure_domain = failure_domain
        self.alive = True
        self.paused = False
        self.sent = 0
        self.received = 0
        self._simulation = simulation
        self._held = []
        self._waiting = {}
        own = groups.Member(name, failure_domain, cores)
        self.member = own
        place = locality.Locality(
            failure_domain, REGIONS[failure_domain], REGIONS
        )
        self.peers = peers.PeerRegistry(name, place)
        self.runner_registry = runners.RunnerRegistry()
        self.directory = groups.HostDirectory(own, place, self.peers)
        self.offers = offers.OfferClient(
            self.runner_registry, self.directory, place
        )
        self.host = admission_host.AdmissionHost(
            self.runner_registry, placement.Placement(place), place
        )
        self.runner_registry.limits.on_change = self.report_limits

    def submit(self, pending, on_decision):
        """Offer a request; on_decision gets its runner, a rejection or None.

        None means that no host responds.
        """
        self._waiting[pending] = on_decision
        self.offers.submit(pending, self._simulation.now)
        self.deliver()

    def release(self, pending, ending):
        """Report the end of an attempt."""
        self.offers.release(pending, ending, self._simulation.now)
        self.deliver()

    def hear(self, pending):
        """Record the limit and the load that a response names."""
        now = self._simulation.now
        record = pending.runner.record
        engine = self._simulation.engines[record.id]
        self.runner_registry.limits.record(
            record, engine.limit_per_s, pending.sent_at, now
        )
        pending.reported_load = engine.report_load()
        self.runner_registry.record_load(
            pending.runner, pending.reported_load, now
        )

    def report_limits(self, change):
        """Report a limit that was heard here to all other gateways."""
        if change.heard_here:
            reports = self.runner_registry.limits.report(self._simulation.now)
            self._simulation.report(self, reports)

    def learn_limits(self, reports, age_s):
        """Apply the report of another gateway."""
        aged = [r._replace(age_s=r.age_s + age_s) for r in reports]
        if self.alive and not self.paused:
            self.runner_registry.limits.learn(aged, self._simulation.now)

    def receive(self, sender, message):
        """Process a message, once this gateway runs."""
        if not self.alive:
            return
        if self.paused:
            self._held.append((sender, message))
            return
        self.received += 1
        now = self._simulation.now
        if isinstance(message, admission_messages.Reply):
            self.offers.receive(sender.name, message, now)
        else:
            self.host.receive(sender.name, sender.failure_domain, message, now)
        self.deliver()

    def resume(self):
        """Process what arrived during a pause."""
        self.paused = False
        held, self._held = self._held, []
        for sender, message in held:
            self.receive(sender, message)

    def tick(self):
        """Run the periodic work."""
        if not self.alive or self.paused:
            return
        now = self._simulation.now
        self.offers.tick(now)
        self.host.tick(now)
        for summary in self.host.summarize(now):
            for group in self.offers.find_groups(summary.service):
                host = self.directory.find_host(group, (), now)
                if group.region != summary.region and host is not None:
                    self._send(host, summary)
        self.deliver()

    def deliver(self):
        """Exchange messages and decisions until none is left."""
        while True:
            effects = self.offers.take_effects()
            replies = self.host.take_replies()
            if not effects and not replies:
                return
            for effect in effects:
                self._apply(effect)
            for gateway, reply in replies:
                self._send(gateway, reply)

    def _apply(self, effect):
        if isinstance(effect, offers.Send):
            self._send(effect.peer, effect.message)
            return
        if isinstance(effect, blackboard.LogEvent):
            return
        on_decision = self._waiting.pop(effect.pending, None)
        if on_decision is None:
            return
        if isinstance(effect, messages.Granted):
            on_decision(effect.runner)
        elif isinstance(effect, messages.Rejected):
            on_decision(effect.rejection)
        else:
            on_decision(None)

    def _send(self, name, message):
        if name != self.name:
            self.sent += 1
        self._simulation.deliver(self, name, message)


class AdmissionSimulation:
    """Play a load on gateways and engines, with a simulated time."""

    def __init__(self, gateways, engines, loads, seed=1, slots=4):
        self.now = 100.0
        self.random = random.Random(seed)
        self.loss_share = 0.0
        # Pairs of names of gateways without a way from the first to the other.
        self.cuts = set()
        self.outcomes = []
        self.engines = {}
        self.gateways = {}
        self._loads = loads
        self._events = []
        self._numbers = itertools.count()
        self._routes = {
            load.route: fixtures.route(
                load.route,
                tier=load.tier,
                objective_s=load.objective_s,
                timeout_s=load.deadline_s,
            )
            for load in loads
        }
        self._add_gateways(gateways)
        self._add_engines(engines, slots)

    def after(self, delay_s, function, *arguments):
        """Call a function after a delay."""
        event = (self.now + delay_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def deliver(self, sender, name, message):
        """Bring a message to a gateway, unless it is lost."""
        gateway = self.gateways[name]
        if gateway is sender:
            self.after(0.0, gateway.receive, sender, message)
            return
        lost = self.random.random() < self.loss_share
        if lost or self.is_cut(sender, gateway):
            return
        delay_s = self._delay_s(sender.failure_domain, gateway.failure_domain)
        self.after(delay_s + PROCESSING_S, gateway.receive, sender, message)

    def report(self, sender, reports):
        """Bring a report of limits to all other gateways."""
        for gateway in self.gateways.values():
            if gateway is not sender and not self.is_cut(sender, gateway):
                self.after(
                    REPORT_DELAY_S,
                    gateway.learn_limits,
                    reports,
                    REPORT_DELAY_S,
                )

    def is_cut(self, sender, receiver):
        """Return whether messages from one gateway to another are lost."""
        return (sender.name, receiver.name) in self.cuts

    def replace_engine(self, name, new_name, version, down_s=1.0):
        """Crash an endpoint, and start one of a version in its place."""
        former = self.engines[name]
        record = former.record._replace(
            id=new_name, started_at_ms=int(self.now * 1000), version=version
        )
        former.crash()
        self.engines[new_name] = Engine(self, record, former.speed)
        self.after(REGISTRATION_LAG_S, self._register, (), [name])
        self.after(down_s, self._register, [record], ())

    def _register(self, records, removed):
        for gateway in self.gateways.values():
            gateway.runner_registry.apply(records, removed, False, self.now)

    def play(self, duration_s, drain_s=4.0):
        """Play arrivals for a while, then let requests end."""
        end = self.now + duration_s
        for load in self._loads:
            self._schedule_arrival(load, end)
        for gateway in self.gateways.values():
            self.after(self.random.random() * TICK_S, self._tick, gateway)
        self._run_until(end + drain_s)

    def shares(self, route):
        """Return the share of each status among the requests of a route."""
        statuses = [o.status for o in self.outcomes if o.load.route == route]
        counts = collections.Counter(statuses)
        return {s: n / len(statuses) for s, n in counts.items()}

    def _run_until(self, end):
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def _tick(self, gateway):
        gateway.tick()
        if gateway.alive:
            self.after(TICK_S, self._tick, gateway)
        # Offers that are due sooner than the next tick.
        at = gateway.offers.next_wakeup_at()
        if self.now < at < self.now + TICK_S:
            self.after(at - self.now, gateway.tick)

    def _add_gateways(self, count):
        for number in range(count):
            domain = DOMAINS[number % len(DOMAINS)]
            # A quarter of the instances are large.
            cores = 2.15 if number % 4 == 0 else 0.387
            name = f'gateway-{number}'
            self.gateways[name] = Gateway(self, name, domain, cores)
        for gateway in self.gateways.values():
            for other in self.gateways.values():
                gateway.peers.update_peer(
                    other.name,
                    '127.0.0.1:1',
                    self.now,
                    other.failure_domain,
                    other.member.cores,
                )

    def _add_engines(self, count, slots):
        speeds = (0.6, 1.7, 1.7)
        for number in range(count):
            record = fixtures.runner(
                f'r{number}',
                slots=slots,
                failure_domain=DOMAINS[number % len(DOMAINS)],
            )
            speed = speeds[number % len(speeds)]
            self.engines[record.id] = Engine(self, record, speed)
        records = [engine.record for engine in self.engines.values()]
        for gateway in self.gateways.values():
            gateway.runner_registry.apply(records, (), False, self.now)

    def _schedule_arrival(self, load, end):
        delay_s = self.random.expovariate(load.per_s)
        if self.now + delay_s < end:
            self.after(delay_s, self._arrive, load, end)

    def _arrive(self, load, end):
        self._schedule_arrival(load, end)
        alive = [g for g in self.gateways.values() if g.alive]
        gateway = self.random.choice(alive)
        pending = messages.PendingRequest(
            self._build_request(load),
            self._routes[load.route],
            fixtures.SERVICE,
            None,
            self.now,
        )
        call = Call(self, gateway, pending, load)
        gateway.submit(pending, call.decide)

    def _build_request(self, load):
        return fixtures.request(
            load.route,
            remaining_s=load.deadline_s,
            prompt_tokens=round(self._vary(load.prompt_tokens)),
            output_tokens=round(self._vary_output(load.output_tokens)),
        )

    def _vary(self, mean):
        return max(self.random.lognormvariate(0.0, 0.8) * mean * 0.73, 1.0)

    def _vary_output(self, mean):
        return self._vary(mean)

    def _delay_s(self, one, other):
        same = REGIONS[one] == REGIONS[other]
        return DELAY_S['own' if same else 'other']


class Call:
    """Follow one request from its arrival to what its caller gets."""

    def __init__(self, simulation, gateway, pending, load):
        self.gateway = gateway
        self.pending = pending
        # Versions that wrote events of the answer, and times it broke off
        # after the first of them.
        self.versions = []
        self.breaks = 0
        self._simulation = simulation
        self._load = load
        self._first_at = None
        self._decided_at = 0.0

    def decide(self, decision):
        """Send the request to its endpoint, or end it."""
        self._decided_at = self._simulation.now
        if decision is None:
            self._end('lost')
        elif isinstance(decision, model.Rejection):
            self._end('refused', decision.retry_after_s)
        else:
            engine = self._simulation.engines[decision.id]
            self._simulation.after(DELAY_S['own'], engine.receive, self)

    def on_first(self, version):
        """Record the first event that an endpoint wrote."""
        self.versions.append(version)
        if self._first_at is None:
            self._first_at = self._simulation.now
            self.pending.first_byte_at = self._first_at
            self.pending.version = version
        if self.gateway.alive:
            self.gateway.hear(self.pending)

    def on_break(self):
        """Go on at another endpoint, as long as the gateway lives."""
        if not self.gateway.alive:
            self._end('lost')
            return
        self.breaks += self._first_at is not None
        self.pending.excluded.add(self.pending.runner.id)
        self.gateway.release(self.pending, Ending.BROKEN)
        self.gateway.submit(self.pending, self.decide)

    def on_end(self):
        """Record that the answer is complete."""
        if self.gateway.alive:
            self.gateway.release(self.pending, Ending.ANSWERED)
        late = self._first_at > self.pending.due_at
        self._end('late' if late else 'on time')

    def _end(self, status, retry_after_s=None):
        self._simulation.outcomes.append(
            Outcome(
                self._load,
                status,
                self.pending.arrived_at,
                self._simulation.now,
                retry_after_s,
                self._decided_at,
                tuple(self.versions),
                self.breaks,
                self.pending.request.prompt_tokens,
                self.pending.attempt,
            )
        )
