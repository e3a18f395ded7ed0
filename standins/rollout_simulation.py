"""Simulate a rollout at several gateways with a store and endpoints.

The keepers, their rows, messages and policies are those of the gateway; the
store, the network and the requests are simulated, in simulated time.
"""

from __future__ import annotations

import asyncio
import json
import random
import typing

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import following
from persimmonroute.gateway import groups
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import peers
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway import rollout_keeping
from persimmonroute.gateway import rollouts
from persimmonroute.platform import sources
from persimmonroute.platform import tables as _tables
from standins import gateway_fixtures as fixtures
from standins import tables

BOUNDS = rollout_control.Bounds(0.1, 50.0, 5.0)
REGION = 'riga'
ROUTES = ('digest', 'brief')
ENDPOINTS = 4
STEP_S = 0.05
PEER_REPORT_S = 0.2
STORE_CALL_S = 0.005
MESSAGE_S = 0.005
RESPONSE_S = 0.1
# Longer than a rollout that is simulated.
DURATION_S = 8.0
# All gateways send their answers to the same simulated clock.
STORE_CLOCK_OFFSET_S = 500.0


class SimulatedStore:
    """Keep tables, with faults that tests set."""

    def __init__(self):
        self.tables = tables.Tables()
        self.era = 1
        self.down = False
        # Writes take effect, but nobody hears of them.
        self.lose_answers = False
        self.changed = asyncio.Event()
        # Calls by table, and values of the status row in their order.
        self.calls = []
        self.states = []

    def order(self, target='v2', duration_s=DURATION_S, value=None, **row):
        """Write an order as operators do."""
        document = {
            'Service': fixtures.SERVICE,
            'To': target,
            'DurationS': duration_s,
            **row,
        }
        data = json.dumps(document).encode() if value is None else value
        key = f'rollout/{fixtures.SERVICE}'
        self.tables.commit([], [(('op', '', key), data)])
        self.wake()

    def read_row(self, table, key):
        """Return the document of a row, or None."""
        value = self.tables.find((table, '', key)).value
        return None if value is None else json.loads(value)

    @property
    def status(self):
        """Return the status row of the service, or None."""
        return self.read_row('status', f'rollout/{fixtures.SERVICE}')

    @property
    def row(self):
        """Return the row of the service's rollout, or None."""
        return self.read_row('rollouts', fixtures.SERVICE)

    def restore(self, copied):
        """Restore an older copy and start a new era."""
        self.tables.restore(copied)
        self.era += 1
        self.wake()

    def wake(self):
        """End the long polls."""
        self.changed.set()
        self.changed = asyncio.Event()


class SimulatedClient:
    """Call the simulated store as a TableClient does."""

    def __init__(self, store):
        self._store = store
        self.clock = _tables.StoreClock()
        self.era = None
        # True if the store rejects this gateway.
        self.rejected = False

    async def read(self, table, part='', start=None, end=None):
        """Return all rows of a table."""
        await self._call('read', table)
        rows = self._store.tables.list_rows(table, part, start or '', end)
        return self._build_page(rows)

    async def watch(self, table, after, wait_s):
        """Return the changes of a table after a version."""
        await self._call('watch', table)
        ends_at = clock.now_s() + wait_s
        era = self._store.era
        while True:
            changes = self._store.tables.changes_after(table, after)
            if changes is None:
                raise exceptions.HistoryLostError('changes were discarded')
            left_s = ends_at - clock.now_s()
            if changes or left_s <= 0 or era != self._store.era:
                self._check()
                return self._build_page(changes)
            try:
                async with asyncio.timeout(left_s):
                    await self._store.changed.wait()
            except TimeoutError:
                pass

    async def transact(self, writes):
        """Write rows atomically."""
        await self._call('write', writes[0].table)
        store = self._store
        committed, result = store.tables.commit(
            [
                ((w.table, w.part, w.key), w.expected_version)
                for w in writes
                if w.expected_version is not None
            ],
            [((w.table, w.part, w.key), w.value) for w in writes],
        )
        if committed and store.status is not None:
            if store.states[-1:] != [store.status['State']]:
                store.states.append(store.status['State'])
        store.wake()
        if store.lose_answers:
            raise exceptions.PlatformUnavailableError('the answer was lost')
        if not committed:
            return False, result
        return True, store.tables.version

    async def _call(self, kind, table):
        self._store.calls.append((kind, table))
        await asyncio.sleep(STORE_CALL_S)
        self._check()

    def _check(self):
        if self._store.down or self.rejected:
            raise exceptions.PlatformUnavailableError('no answer')

    def _build_page(self, changes):
        now = clock.now_s()
        if self.era != self._store.era:
            self.era = self._store.era
            self.clock = _tables.StoreClock()
        self.clock.earliest_response_time(
            now + STORE_CLOCK_OFFSET_S, now - STORE_CALL_S, now
        )
        rows = tuple(
            _tables.TableRow(c.table, c.partition, c.key, c.value, c.version)
            for c in changes
        )
        version = self._store.tables.version
        return _tables.Page(rows, version, now, self._store.era)


class Sent(typing.NamedTuple):
    """Record a request that a host granted."""

    at: float
    version: str
    bad: bool


class SimulatedDispatcher:
    """Pass messages of one gateway on, and grant requests as its host."""

    def __init__(self, fleet, gateway):
        self._fleet = fleet
        self._gateway = gateway
        self.hosts = False

    def list_regions(self, service):
        """Return the only region."""
        return [REGION]

    def list_hosted_regions(self, service, now):
        """Return the region if this gateway hosts it."""
        return [REGION] if self.hosts else []

    def count_in_flight(self, service, excluded_version):
        """Return the requests in flight at other versions."""
        return self._gateway.in_flight

    def send_rollout(self, peer, message, now):
        """Deliver a message later, if the network does."""
        self._fleet.send(self._gateway.name, peer, message)


class SimulatedGateway:
    """Run the keeper of one gateway."""

    def __init__(self, fleet, name):
        self.name = name
        self.in_flight = 0
        self.board = fixtures.board(now=clock.now_s(), name=name, runners=())
        self.board.registrations_read = True
        self.board.rollouts.contact = self.board.configuration_freshness
        self.client = SimulatedClient(fleet.store)
        self.dispatcher = SimulatedDispatcher(fleet, self)
        self.keeper = rollout_keeping.RolloutKeeper(
            self.board,
            self.dispatcher,
            sources.RolloutRows(self.client),
            BOUNDS,
        )
        self.policy = rollouts.GroupPolicy(
            self.board.rollouts, groups.Group(fixtures.SERVICE, REGION)
        )
        self.own_policy = rollouts.OwnPolicy(self.board.rollouts)
        self.board.on_store_restored = self.keeper.on_store_restored
        self._tasks = []

    def start(self):
        """Follow orders and carry them out."""
        follower = following.ConfigurationFollower(
            self.board,
            sources.ConfigurationSource(self.client, 2.0, True),
            NoPeerRows(),
            lambda now: None,
            2.0,
        )
        follower.on_orders = self.keeper.adopt_orders
        self._tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self.keeper.run()),
        ]

    async def stop(self):
        """End at once."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def running(self):
        """Return whether the gateway has not been stopped."""
        return bool(self._tasks)

    @property
    def rollout(self):
        """Return what the gateway knows of the service's rollout."""
        return self.board.rollouts.find(fixtures.SERVICE)


class NoPeerRows:
    """Have no rows of peers."""

    async def read(self, table):
        """Return nothing."""
        return None


class RolloutFleet:
    """Run gateways, of which one hosts the group of the service."""

    def __init__(self, gateways=3, per_s=100.0, failures=0.0, seed=1):
        self.store = SimulatedStore()
        self.rng = random.Random(seed)
        # Failure rate of the target's responses.
        self.failures = failures
        self.per_s = per_s
        # Pairs of gateways whose messages are lost.
        self.cut = set()
        self.gateways = [
            SimulatedGateway(self, f'gateway-{n}') for n in range(gateways)
        ]
        self.sent = []
        self.message_bytes = []
        # Lengths of the forwarded orders in the reports.
        self.forwarded_bytes = []
        # Time between the reports of gateways to one another.
        self.peer_report_s = PEER_REPORT_S
        self._sequence = 0
        self._tasks = []
        for gateway in self.gateways:
            self.register(gateway, ('v1', 'v2'))

    def register(self, gateway, versions):
        """Register the endpoints of some versions at a gateway."""
        registry = gateway.board.runner_registry
        records = [
            fixtures.runner(f'{version}-{n}', version=version)
            for version in versions
            for n in range(ENDPOINTS)
        ]
        listed = {record.id for record in records}
        removed = {view.id for view in registry} - listed
        registry.apply(records, removed, False, clock.now_s())

    @property
    def host(self):
        """Return the gateway that hosts the group, or None."""
        return next((g for g in self.gateways if g.dispatcher.hosts), None)

    @property
    def controller(self):
        """Return the gateway that all others take for the controller."""
        subject = f'rollout/{fixtures.SERVICE}'
        return min(
            (g for g in self.gateways if g.running),
            key=lambda g: peers.compute_tie_breaker(subject, g.name),
        )

    async def start(self):
        """Start the gateways and the requests; one that controls no order
        hosts the group.
        """
        self._exchange_reports()
        for gateway in self.gateways:
            gateway.start()
        others = [g for g in self.gateways if g is not self.controller]
        (others or self.gateways)[0].dispatcher.hosts = True
        self._tasks = [
            asyncio.create_task(self._report()),
            asyncio.create_task(self._send_requests()),
        ]
        await asyncio.sleep(1.0)

    async def stop(self):
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.stop()

    async def wait_for(self, check, timeout_s=2 * DURATION_S):
        """Wait until a check holds; raise TimeoutError if it does not."""
        async with asyncio.timeout(timeout_s):
            while not check():
                await asyncio.sleep(STEP_S)

    def is_reachable(self, name, other):
        """Return whether a message between two gateways arrives."""
        return frozenset((name, other)) not in self.cut

    def isolate(self, gateway):
        """Lose all messages of a gateway."""
        for other in self.gateways:
            if other is not gateway:
                self.cut.add(frozenset((gateway.name, other.name)))

    def send(self, name, peer, message):
        """Deliver a message as it arrives in a datagram."""
        receiver = next((g for g in self.gateways if g.name == peer), None)
        encoded = admission_codec.encode([message]).SerializeToString()
        if isinstance(message, admission_messages.RolloutEvidence):
            self.message_bytes.append(len(encoded))
        if name != peer and not self.is_reachable(name, peer):
            return
        if receiver is None or not receiver.running:
            return
        decoded = admission_codec.decode(
            admission_codec.pb.Admission.FromString(encoded)
        )
        asyncio.get_running_loop().call_later(
            MESSAGE_S, self._deliver, receiver, name, decoded
        )

    def _deliver(self, receiver, name, decoded):
        for message in decoded:
            receiver.keeper.receive(name, message, clock.now_s())

    async def _report(self):
        while True:
            await asyncio.sleep(self.peer_report_s)
            self._exchange_reports()

    def _exchange_reports(self):
        self._sequence += 1
        now = clock.now_s()
        for gateway in self.gateways:
            for other in self.gateways:
                cut = not self.is_reachable(gateway.name, other.name)
                first = self._sequence == 1
                if cut or not (first or other.running) or other is gateway:
                    continue
                known = gateway.board.peers
                known.update_peer(other.name, '127.0.0.1:1', now, 'riga-a')
                known.apply_report(
                    peers.PeerReport(
                        other.name,
                        1,
                        self._sequence,
                        {},
                        {},
                        {},
                        interval_s=self.peer_report_s,
                    ),
                    now,
                )
                if not first:
                    self._forward_orders(other, gateway, now)

    def _forward_orders(self, sender, receiver, now):
        """Deliver the orders in a report as they arrive in a datagram."""
        for forwarded in sender.keeper.list_forwarded(now):
            data = admission_codec.encode_order(forwarded).SerializeToString()
            self.forwarded_bytes.append(len(data))
            decoded = admission_codec.decode_order(
                admission_codec.pb.ForwardedOrder.FromString(data),
                sender.client.era or 0,
            )
            receiver.keeper.receive_forwarded(sender.name, [decoded], now)

    async def _send_requests(self):
        """Grant requests at the host, whatever the gateways do."""
        due = 0.0
        while True:
            await asyncio.sleep(STEP_S)
            due += self.per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                host = self.host
                if host is not None and host.running:
                    self._grant(host)

    def _grant(self, host):
        now = clock.now_s()
        pending = fixtures.pending_request(
            now, fixtures.route(self.rng.choice(ROUTES))
        )
        # Set by grants while an order is open.
        pending.cold = False
        views = host.board.runner_registry.of_service(fixtures.SERVICE)
        allowed = host.policy.filter(pending, views, now)
        if not allowed:
            return
        view = self.rng.choice(allowed)
        host.policy.record_grant(pending, view, now)
        version = view.record.version
        bad = version == 'v2' and self.rng.random() < self.failures
        self.sent.append(Sent(now, version, bad))
        host.in_flight += version != 'v2'
        asyncio.get_running_loop().call_later(
            RESPONSE_S, self._end, host, pending, view, bad
        )

    def _end(self, host, pending, view, bad):
        host.in_flight -= view.record.version != 'v2'
        ending = Ending.FAILED if bad else Ending.ANSWERED
        time_s = RESPONSE_S * self.rng.lognormvariate(0.0, 0.5)
        host.policy.record_end(pending, view, ending, time_s, clock.now_s())

    def count_exposed(self, began_at):
        """Return the requests to the target, and all, since a time."""
        since = [s for s in self.sent if s.at >= began_at]
        return sum(s.version == 'v2' for s in since), len(since)

    def find_phases(self):
        """Return the phases that running gateways follow."""
        return {
            g.rollout.plan.phase
            for g in self.gateways
            if g.running and g.rollout is not None
        }

    def all_follow(self, phase):
        """Return whether all running gateways follow a phase."""
        return self.find_phases() == {phase}

    def has_ended(self):
        """Return whether the operators were told of an end."""
        ends = rollout_keeping.STATES.values()
        return bool(self.store.status) and self.store.status['State'] in ends


COMPLETED = Phase.COMPLETED
ROLLED_BACK = Phase.ROLLED_BACK
