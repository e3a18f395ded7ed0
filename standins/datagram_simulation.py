"""Play gateways whose datagrams are lost, doubled, late or out of order.

Links, dispatchers, hosts, quotas and stream origins are the real ones, on a
simulated time. Endpoints are only times for which a request runs.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import typing
from unittest import mock

from persimmonroute import clock
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import board as boards
from persimmonroute.gateway import dispatcher as dispatchers
from persimmonroute.gateway import groups
from persimmonroute.gateway import locality
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import offers
from persimmonroute.gateway import peer_link
from persimmonroute.gateway import placement
from persimmonroute.gateway import quotas
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import shell
from persimmonroute.gateway import stream_origins
from persimmonroute.gateway import turns
from persimmonroute import logs
from standins import gateway_fixtures as fixtures
from standins import virtual_time

DOMAINS = ('riga-a', 'riga-b', 'frankfurt-a')
SERVICES = ('llm', 'chat')
GATEWAYS = 5
ENDPOINTS_PER_DOMAIN = 1
SLOTS = 2
PLAY_S = 20.0
# Time without faults and arrivals at the end, in which all requests end.
CALM_S = 14.0
ARRIVALS_PER_S = 50.0
CHECK_INTERVAL_S = 0.1
# Longest delay of a datagram.
MAX_DELAY_S = 1.0
# A slot is free this long after the end of its request: a host waits for the
# lists of a gateway, and the last of them may come late.
SLOT_BOUND_S = admission_host.LEASE_TIMEOUT_S + MAX_DELAY_S + 0.3
# A request that runs is counted at the host of its group after this time.
COUNTED_BOUND_S = SLOT_BOUND_S
# A request is decided this long after its deadline, since the host reckons
# the deadline from the arrival of the offer.
DECISION_BOUND_S = MAX_DELAY_S + offers.HOST_TIMEOUT_S
QUESTION_BOUND_S = stream_origins.GIVE_UP_AFTER_S + 2 * shell.TICK_S
QUOTA = model.Quota(per_s=3000.0, burst=1500.0, plain_units=100.0)
TOLERANCE = quotas.Tolerance(window_s=8.0, overrun=0.25, slack=3000.0)
ROUTE = fixtures.route(
    timeout_s=8.0, objective_s=0.5, idempotent=True, resumable=True
)
WORKSPACE = fixtures.workspace(quota=QUOTA)
FAULTS = (Event.GATEWAY_FAULT, Event.PEER_REPORT_UNREADABLE)


class Violation(typing.NamedTuple):
    """Describe what must not happen, and when it did."""

    rule: str
    at: float
    detail: str


class Network:
    """Carry datagrams between gateways, badly."""

    def __init__(self, rng):
        self._rng = rng
        self.lost_share = rng.choice((0.0, 0.05, 0.2, 0.4))
        self.doubled_share = rng.choice((0.0, 0.1, 0.4))
        self.late_share = rng.choice((0.0, 0.05, 0.3))
        # Pairs of addresses without a way from the first to the second.
        self.cuts = set()
        self.receivers = {}

    def calm(self):
        """Carry each datagram once from now on."""
        self.lost_share = self.doubled_share = self.late_share = 0.0
        self.cuts.clear()

    def carry(self, sender, receiver, data):
        """Deliver a datagram once, twice or never."""
        copies = 1 + (self._rng.random() < self.doubled_share)
        for _ in range(copies):
            if self._rng.random() < self.lost_share:
                continue
            if (sender, receiver) in self.cuts:
                continue
            delay_s = self._rng.uniform(0.0005, 0.012)
            if self._rng.random() < self.late_share:
                delay_s = self._rng.random() ** 2 * MAX_DELAY_S
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver, receiver, data
            )

    def _deliver(self, receiver, data):
        link = self.receivers.get(receiver)
        if link is not None:
            link.datagram_received(data, None)


class Transport:
    """Stand in for the socket of a link."""

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._closing = False

    def sendto(self, data, address):
        """Hand a datagram to the network."""
        if not self._closing:
            self._network.carry(self._address, address, data)

    def is_closing(self):
        """Return whether the socket is closed."""
        return self._closing

    def close(self):
        """Send nothing more."""
        self._closing = True


class Versions:
    """Tell the only version of a service, as the store would."""

    def __init__(self, records):
        self._versions = {(r.service, r.version) for r in records}

    async def is_only_version(self, service, version):
        """Return whether a service has had no other version."""
        known = {v for s, v in self._versions if s == service}
        return known == {version}


class Gateway:
    """Run one incarnation of a gateway."""

    def __init__(self, play, number, incarnation):
        self.name = f'gateway-{number}'
        self.alive = True
        self.address = ('10.0.0.1', 7000 + number)
        domain = DOMAINS[number % len(DOMAINS)]
        place = locality.Locality(
            domain, fixtures.REGIONS[domain], fixtures.REGIONS
        )
        self.place = place
        now = clock.now_s()
        bounds = fixtures.BOUNDS._replace(quotas=TOLERANCE)
        self.board = board = boards.GatewayBoard(self.name, bounds, place)
        board.adopt_configuration(play.configuration, now)
        board.configuration_freshness.confirm(now, now)
        board.runner_registry.apply(play.records, (), False, now)
        policy = placement.Placement(place)
        scheduler = schedulers.Scheduler(
            board.runner_registry,
            policy,
            board.peers,
            turns.SharedSlots(
                self.name, board.runner_registry, policy, board.peers
            ),
        )
        own = groups.Member(self.name, domain, 1.0 + number % 2)
        self.directory = groups.HostDirectory(own, place, board.peers)
        self.offers = offers.OfferClient(
            board.runner_registry, self.directory, place
        )
        self.host = admission_host.AdmissionHost(
            board.runner_registry, policy, place
        )
        self.dispatcher = dispatchers.Dispatcher(
            own,
            scheduler,
            self.offers,
            self.host,
            self.directory,
            stream_origins.StreamOrigins(
                own, place, board.peers, board.runner_registry
            ),
            Versions(play.records),
        )
        self.link = peer_link.PeerLink(
            board,
            scheduler,
            '{}:{}'.format(*self.address),
            place,
            self.dispatcher,
            own.cores,
        )
        self.link._incarnation = incarnation
        self.dispatcher.on_change = self.link.schedule_reports
        self.dispatcher.send = self.link.send_admission
        self.dispatcher.set_services(play.configuration.services)
        for other in range(GATEWAYS):
            domain = DOMAINS[other % len(DOMAINS)]
            board.peers.update_peer(
                f'gateway-{other}', f'10.0.0.1:{7000 + other}', now, domain
            )
        self._transport = Transport(play.network, self.address)
        play.network.receivers[self.address] = self.link
        self.link.connection_made(self._transport)
        self.tasks = {asyncio.create_task(self._tick())}

    def start(self, coroutine):
        """Run a task of this gateway, until it is killed."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kill(self, network):
        """End all at once, without another message."""
        self.alive = False
        self.link.close()
        network.receivers.pop(self.address, None)
        for task in self.tasks:
            task.cancel()

    async def _tick(self):
        for ticks in itertools.count():
            await asyncio.sleep(shell.TICK_S)
            now = clock.now_s()
            if ticks % shell.PEER_TICKS == 0:
                self.board.refresh_peers(now)
            self.dispatcher.tick(now)
            if self.board.quotas.take_pressure():
                self.link.schedule_reports()


class Play:
    """Play one seed, and collect what must not happen."""

    def __init__(self, seed):
        self.seed = seed
        self._rng = random.Random(seed)
        self.network = Network(self._rng)
        self.violations = []
        self.counts = collections.Counter()
        self.gateways = {}
        self._incarnations = itertools.count(1)
        self._attempts = (f'{seed}-{n}' for n in itertools.count())
        # Since when something has been wrong that may be for a while.
        self._wrong_since = {}
        # Units admitted, with their times.
        self._admitted = []
        self._origins = {}
        self._quiet = False
        self.records = [
            fixtures.runner(
                f'{service}-{domain}-{number}',
                service=service,
                failure_domain=domain,
                slots=SLOTS,
                version='v1' if service == 'chat' else f'v{position % 2}',
            )
            for service in SERVICES
            for position, domain in enumerate(DOMAINS)
            for number in range(ENDPOINTS_PER_DOMAIN)
        ]
        self.configuration = fixtures.configuration(
            routes=(ROUTE,), workspaces=(WORKSPACE,)
        )._replace(
            services=tuple(
                model.Service(name, 100, SLOTS, 1000, True)
                for name in SERVICES
            )
        )

    async def run(self):
        """Play arrivals and faults, then a calm time."""
        for number in range(GATEWAYS):
            self._start(number)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (self._arrive(), self._disturb(), self._check())
        ]
        await asyncio.sleep(PLAY_S)
        self._quiet = True
        tasks[1].cancel()
        self.network.calm()
        for number, gateway in list(self.gateways.items()):
            if not gateway.alive:
                self._start(number)
        await asyncio.sleep(CALM_S)
        for task in tasks:
            task.cancel()
        self._check_nothing_left()
        self._check_quota()
        for gateway in self.gateways.values():
            gateway.kill(self.network)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0)
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    def _start(self, number):
        incarnation = next(self._incarnations)
        self.gateways[number] = Gateway(self, number, incarnation)

    def record_event(self, event, **fields):
        """Count a line of a gateway's log."""
        self.counts[event.name] += 1
        if event in FAULTS:
            self._report(event.name, f'{fields}')

    def _report(self, rule, detail):
        self.violations.append(Violation(rule, clock.now_s(), detail))

    # Faults.

    async def _disturb(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(0.7))
            number = self._rng.randrange(GATEWAYS)
            gateway = self.gateways[number]
            kind = self._rng.choice(('kill', 'stop', 'cut', 'suspend'))
            if not gateway.alive:
                continue
            self.counts[kind] += 1
            if kind == 'cut':
                await self._cut(gateway)
                continue
            if kind == 'suspend':
                await self._suspend(gateway)
                continue
            if kind == 'stop':
                now = clock.now_s()
                gateway.board.drain = draining.begin(now, 1.0, 0.4, 3.0)
                gateway.dispatcher.stop_hosting()
                gateway.link.send_stopping()
                await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            gateway.kill(self.network)
            await asyncio.sleep(self._rng.choice((0.01, 0.3, 1.2, 3.0)))
            self._start(number)

    async def _cut(self, gateway):
        """Lose all datagrams on some ways from or to a gateway."""
        others = [g for g in self.gateways.values() if g is not gateway]
        cuts = set()
        for other in self._rng.sample(others, self._rng.randint(1, 4)):
            pair = (gateway.address, other.address)
            direction = self._rng.random()
            if direction < 0.6:
                cuts.add(pair)
            if direction > 0.4:
                cuts.add(pair[::-1])
        self.network.cuts |= cuts
        await asyncio.sleep(self._rng.uniform(0.1, 2.5))
        self.network.cuts -= cuts

    async def _suspend(self, gateway):
        """Hold back all datagrams to a gateway, then deliver them at once."""
        held = []

        class Holder:
            """Collect datagrams in place of a link."""

            def datagram_received(self, data, address):
                """Hold back one datagram."""
                held.append(data)

        self.network.receivers[gateway.address] = Holder()
        try:
            await asyncio.sleep(self._rng.uniform(0.1, MAX_DELAY_S))
        finally:
            # Also if the time of faults ends meanwhile.
            if gateway.alive:
                self.network.receivers[gateway.address] = gateway.link
                for data in held:
                    gateway.link.datagram_received(data, None)

    # Requests.

    async def _arrive(self):
        while not self._quiet:
            rate = ARRIVALS_PER_S * self._rng.choice((0.3, 1.0, 2.0))
            await asyncio.sleep(self._rng.expovariate(rate))
            alive = [
                g
                for g in self.gateways.values()
                if g.alive and not g.board.draining
            ]
            if not alive:
                continue
            gateway = self._rng.choice(alive)
            now = clock.now_s()
            service = self._rng.choice(SERVICES)
            pending = messages.PendingRequest(
                fixtures.request(
                    attempt=next(self._attempts),
                    remaining_s=self._rng.uniform(0.3, 8.0),
                ),
                ROUTE,
                service,
                WORKSPACE,
                now,
            )
            if gateway.board.quotas.take(WORKSPACE, pending.request, now):
                self.counts['over quota'] += 1
                continue
            units = gateway.board.quotas.units(WORKSPACE, pending.request)
            self._admitted.append((now, units))
            gateway.start(self._serve(gateway, pending))

    async def _serve(self, gateway, pending):
        """Wait for an endpoint, run there, and perhaps look for another."""
        if not await self._wait(gateway, pending):
            return
        if self._rng.random() < 0.3:
            gateway.start(self._ask(gateway, pending))
        left_s = min(self._rng.lognormvariate(-2.0, 1.4), 6.0)
        while self._rng.random() < 0.3:
            before_s = min(left_s, self._rng.uniform(0.0, 0.6))
            await asyncio.sleep(before_s)
            left_s -= before_s
            successor = await self._search(gateway, pending)
            if successor is not None:
                gateway.dispatcher.release(pending, Ending.SILENT)
                pending = successor
        await asyncio.sleep(max(left_s, 0.0))
        pending.first_byte_at = clock.now_s()
        ending = self._rng.choice(
            (Ending.ANSWERED,) * 6 + (Ending.ABANDONED, Ending.BROKEN)
        )
        gateway.dispatcher.release(pending, ending)

    async def _wait(self, gateway, pending):
        """Return whether an endpoint was granted; a few callers leave."""
        wait = asyncio.create_task(gateway.dispatcher.wait_for_grant(pending))
        gateway.tasks.add(wait)
        patience_s = self._rng.choice((0.01, 0.1, 60.0, 60.0, 60.0))
        limit_s = pending.deadline_at - clock.now_s() + DECISION_BOUND_S
        await asyncio.wait({wait}, timeout=min(patience_s, limit_s))
        gateway.tasks.discard(wait)
        if not wait.done():
            if patience_s > limit_s:
                self._report('waits for ever', f'{pending.offer_id}')
            wait.cancel()
            await asyncio.wait({wait})
            self.counts['left'] += 1
            return False
        decision = wait.result()
        if isinstance(decision, model.Rejection):
            self.counts['rejected'] += 1
            return False
        if decision is not pending.runner:
            self._report('granted twice', f'{pending.offer_id}')
        self.counts['granted' if pending.host else 'granted alone'] += 1
        return True

    async def _search(self, gateway, pending):
        """Look for a place beside the one in use; return it or None."""
        if self._rng.random() < 0.3:
            # A stream that has begun goes on at its version only.
            pending.version = pending.runner.record.version
        successor = pending.build_successor()
        self.counts['search'] += 1
        search = asyncio.create_task(
            gateway.dispatcher.wait_for_grant(successor)
        )
        gateway.tasks.add(search)
        patience_s = self._rng.choice((0.0, 0.003, 0.02, 0.2, 1.0))
        await asyncio.wait({search}, timeout=patience_s)
        gateway.tasks.discard(search)
        if not search.done():
            search.cancel()
            await asyncio.wait({search})
            return None
        if isinstance(search.result(), model.Rejection):
            return None
        if successor.runner is pending.runner:
            self._report('granted the same endpoint', f'{pending.offer_id}')
        self.counts['successor'] += 1
        return successor

    async def _ask(self, gateway, pending):
        """Record a stream's begin here, and ask for it at other gateways."""
        record = pending.runner.record
        origin = stream_origins.Origin(record.service, record.version)
        gateway.dispatcher.record_begun(pending, origin)
        await asyncio.sleep(self._rng.choice((0.02, 0.1, 0.5)))
        other = self._rng.choice(list(self.gateways.values()))
        if not other.alive:
            return
        begun_at = clock.now_s()
        service = self._rng.choice((None, record.service))
        task = asyncio.create_task(
            other.dispatcher.find_origin(
                pending.workspace, pending.attempt, service
            )
        )
        other.tasks.add(task)
        await asyncio.wait({task})
        other.tasks.discard(task)
        if task.cancelled():
            return
        took_s = clock.now_s() - begun_at
        if took_s > QUESTION_BOUND_S:
            self._report('question waits', f'{took_s:.3f} s')
        found = task.result()
        self.counts['origin unknown' if found is None else 'origin'] += 1
        if found is not None and found != origin:
            self._report('wrong origin', f'{found} for {origin}')

    # Checks.

    async def _check(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            wrong = dict(self._find_wrong())
            now = clock.now_s()
            for key, bound_s in wrong.items():
                since = self._wrong_since.setdefault(key, now)
                if now - since > bound_s:
                    self._report(key[0], f'{key[1:]} since {since:.2f}')
                    self._wrong_since[key] = float('inf')
            for key in self._wrong_since.keys() - wrong.keys():
                del self._wrong_since[key]

    def _find_wrong(self):
        """Yield what differs between hosts and gateways, and its bound."""
        used, offered = {}, set()
        for gateway in self.gateways.values():
            if not gateway.alive:
                continue
            for offer_id, pending in gateway.offers._leases.items():
                if pending.runner is not None:
                    used[gateway.name, offer_id] = pending.runner.id
            offered |= {(gateway.name, o) for o in gateway.offers._offers}
        for gateway in self.gateways.values():
            if gateway.alive:
                yield from self._find_wrong_at(gateway, used, offered)
                yield from self._find_uncounted(gateway)

    def _find_wrong_at(self, gateway, used, offered):
        for group in gateway.host.groups:
            hosted_group = gateway.host.find(group)
            place = (gateway.name, *group)
            for view in hosted_group.runner_registry:
                for key in view.in_flight:
                    if used.get(key) != view.id and key not in offered:
                        wrong = ('slot leaked', *place, view.id, key)
                        yield wrong, SLOT_BOUND_S
            for key, hosted in hosted_group.requests.items():
                if hosted.runner is None and key not in offered:
                    yield ('offer leaked', *place, key), SLOT_BOUND_S

    def _find_uncounted(self, gateway):
        """Yield the requests in progress that no host counts.

        A gateway that offers nothing does not notice that its host is gone.
        """
        if self.network.cuts:
            return
        for offer_id, pending in gateway.offers._leases.items():
            view = pending.runner
            key = (gateway.name, offer_id)
            if view is None or not self._has_host(gateway, view.record):
                continue
            if not any(key in v.in_flight for v in self._hosted(view.id)):
                yield ('not counted', *key), COUNTED_BOUND_S

    def _has_host(self, gateway, record):
        """Return whether the host that a gateway would use is there."""
        region = gateway.place.region_of(record.failure_domain)
        group = groups.Group(record.service, region)
        name = gateway.directory.find_host(group, (), clock.now_s())
        return any(
            g.name == name and g.alive and not g.board.draining
            for g in self.gateways.values()
        )

    def _hosted(self, runner_id):
        """Yield the views that hosts have of an endpoint."""
        for gateway in self.gateways.values():
            if not gateway.alive:
                continue
            for group in gateway.host.groups:
                registry = gateway.host.find(group).runner_registry
                view = registry.find(runner_id)
                if view is not None:
                    yield view

    def _check_nothing_left(self):
        for gateway in self.gateways.values():
            for group in gateway.host.groups:
                hosted_group = gateway.host.find(group)
                if hosted_group.requests or hosted_group.learned:
                    self._report('left at the end', f'{gateway.name} {group}')
            if gateway.offers._offers or gateway.offers._leases:
                self._report('request left', gateway.name)

    def _check_quota(self):
        """Check that no window has more than the quota and its tolerance."""
        regular = QUOTA.per_s * TOLERANCE.window_s + QUOTA.burst
        allowed = regular * (1 + TOLERANCE.overrun) + TOLERANCE.slack
        window, total, most = collections.deque(), 0.0, 0.0
        for at, units in self._admitted:
            window.append((at, units))
            total += units
            while window[0][0] < at - TOLERANCE.window_s:
                total -= window.popleft()[1]
            most = max(most, total)
        self.counts['most units of a window'] = round(most)
        if most > allowed:
            self._report('quota exceeded', f'{most:.0f} of {allowed:.0f}')


def run(built, coroutine):
    """Run a coroutine on a simulated time, and record events in a Play."""
    # Ids of offers and origins of clocks are drawn from the common generator.
    state = random.getstate()
    random.seed(built.seed)
    record_event = mock.patch.object(
        logs.EventLog,
        'emit',
        lambda log, event, **fields: built.record_event(event, **fields),
    )
    try:
        with virtual_time.loop() as loop, record_event:
            return loop.run_until_complete(coroutine)
    finally:
        random.setstate(state)


def play(seed):
    """Play a seed; return its Play."""
    built = Play(seed)
    run(built, built.run())
    return built
