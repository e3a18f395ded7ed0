"""Simulate how gateways of a fleet learn of changes in the store.

The followers, sources and boards are those of the gateway; the store, the
network and the reports are simulated, in simulated time.
"""

from __future__ import annotations

import asyncio
import enum
import json
import random

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import board as boards
from persimmonroute.gateway import following
from persimmonroute.gateway import peer_rows
from persimmonroute.gateway import peers
from persimmonroute.platform import sources
from standins import gateway_deployment
from standins import gateway_fixtures as fixtures
from standins import rollout_simulation

POLL_S = 2.0
TICK_S = 0.05
# Timeouts of a call to the store, connection included, and of one to a peer.
STORE_TIMEOUT_S = 3.0
PEER_TIMEOUT_S = 0.5
# Time of a call to a peer that responds.
PEER_CALL_S = 0.03
MIN_REPORT_S = 0.1
# Gateways of a failure domain hear of each other this much less often for each
# gateway there is.
REPORT_PER_GATEWAY_S = 0.002
IDLE_REPORT_S = 0.3
IDLE_REPORT_PER_GATEWAY_S = 0.01


class Reach(enum.Enum):
    """Tell how the store treats a gateway."""

    SERVED = 'served'
    REFUSED = 'refused'
    SILENT = 'silent'


class FleetClient(rollout_simulation.SimulatedClient):
    """Call the store as long as it serves this gateway."""

    def __init__(self, store):
        super().__init__(store)
        self.reach = Reach.SERVED
        self.calls = 0

    async def _call(self, kind, table):
        self.calls += 1
        if self.reach is Reach.SILENT:
            await asyncio.sleep(STORE_TIMEOUT_S)
        await super()._call(kind, table)

    def _check(self):
        super()._check()
        if self.reach is not Reach.SERVED:
            raise exceptions.PlatformUnavailableError('turned away')


class FleetRows:
    """Ask other gateways of the fleet for their rows."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def read(self, table):
        """Return the rows of the first seed, if there is any left."""
        if not self._fleet.seeds:
            await asyncio.sleep(PEER_TIMEOUT_S)
            return None
        return await self.read_from(self._fleet.seeds[0].address, table)

    async def read_from(self, address, table):
        """Return the rows of one gateway, or None if it is gone."""
        requested_at = clock.now_s()
        target = self._fleet.find(address)
        if target is None or not target.running:
            await asyncio.sleep(PEER_TIMEOUT_S)
            return None
        await asyncio.sleep(PEER_CALL_S)
        target.rows_served += 1
        document = target.export(table)
        if document is None:
            return None
        if not self._fleet.states_versions:
            del document['version'], document['era']
        return peer_rows.decode_rows(document, requested_at)


class FleetGateway:
    """Follow the tables at one gateway."""

    def __init__(self, fleet, number):
        self.name = f'gateway-{number}'
        self.address = f'10.1.{number // 200}.{number % 200 + 1}:7'
        self.fleet = fleet
        self.client = FleetClient(fleet.store)
        self.rows_served = 0
        # When each version came into force here.
        self.adopted_at = {}
        self._sequence = 0
        self._reported_at = 0.0
        self._report_due = False
        self._tasks = []
        self.board = None

    @property
    def running(self):
        """Return whether the gateway has not been stopped."""
        return bool(self._tasks)

    def start(self):
        """Start with nothing known."""
        self.board = boards.GatewayBoard(
            self.name, fixtures.BOUNDS, fixtures.LOCALITY
        )
        rows = FleetRows(self.fleet)
        self.followers = [
            following.ConfigurationFollower(
                self.board,
                sources.ConfigurationSource(self.client, POLL_S),
                rows,
                self._on_change,
                POLL_S,
            ),
            following.RunnerFollower(
                self.board,
                sources.RunnerSource(self.client, 20.0),
                rows,
                self._on_change,
                lambda record: None,
            ),
        ]
        self.followers[0].on_news = self._request_report
        self.board.on_store_restored = self._read_again
        self._tasks = [
            asyncio.create_task(function())
            for function in (*(f.run for f in self.followers), self._tick)
        ]

    async def stop(self):
        """End at once."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for follower in self.followers:
            await follower.close()

    def export(self, table):
        """Return the document that peers get, or None."""
        source = {f.source.name: f.source for f in self.followers}[table]
        snapshot = source.export_rows()
        if snapshot is None or self.board.route_table is None:
            return None
        age_s = self.board.configuration_freshness.age_s(clock.now_s())
        document = peer_rows.encode_rows(snapshot, age_s)
        return json.loads(json.dumps(document))

    def receive(self, report, now):
        """Apply the report of another gateway."""
        board = self.board
        board.peers.update_peer(report.name, 'x:1', now, 'riga-a')
        board.record_reported_version(report.configuration_version, now)
        board.raise_store_era(report.store_era)
        if board.apply_peer_report(report, now):
            if board.is_ahead_of(report, now):
                self._request_report()
            board.registration_changes.record_peer(
                report.store_era, report.registrations_version, now
            )

    def _request_report(self):
        self._report_due = True

    def _on_change(self, now):
        self.adopted_at.setdefault(self.board.version, now)

    def _read_again(self):
        for follower in self.followers:
            follower.read_again()

    async def _tick(self):
        await asyncio.sleep(random.uniform(0.0, TICK_S))
        while True:
            await asyncio.sleep(TICK_S)
            now = clock.now_s()
            for follower in self.followers:
                follower.check_age(now)
            if self.board.missed_configuration(now):
                self._read_again()
            interval_s = self.fleet.report_interval_s
            if self._report_due:
                interval_s = self.fleet.min_report_s
            if now - self._reported_at >= interval_s:
                self._report(now)

    def _report(self, now):
        board = self.board
        self._reported_at, self._report_due = now, False
        self._sequence += 1
        era = board.store_era or 0
        self.fleet.deliver(
            self,
            peers.PeerReport(
                self.name,
                1,
                self._sequence,
                {},
                {},
                {},
                interval_s=self.fleet.report_interval_s,
                configuration_version=board.version,
                registrations_version=board.registration_changes.newest_change(
                    era
                ),
                store_era=era,
                rows_address=(
                    self.address if self.fleet.states_versions else ''
                ),
                store_away=board.store_away,
            ),
        )


class TableFleet:
    """Run the gateways of a fleet on one store."""

    def __init__(self, gateways):
        self.store = rollout_simulation.SimulatedStore()
        self.gateways = [FleetGateway(self, n) for n in range(gateways)]
        self._by_address = {g.address: g for g in self.gateways}
        self.report_interval_s = max(
            IDLE_REPORT_S, IDLE_REPORT_PER_GATEWAY_S * gateways
        )
        self.min_report_s = max(MIN_REPORT_S, REPORT_PER_GATEWAY_S * gateways)
        # Gateways in the settings of all. An earlier release states neither
        # the versions of its rows nor where it gives them.
        self.seeds = []
        self.states_versions = True
        # Pairs of names between which nothing arrives.
        self.cut = set()

    def find(self, address):
        """Return the gateway at an address, or None."""
        return self._by_address.get(address)

    def configure(self, version):
        """Write a configuration."""
        document = gateway_deployment.configuration(version)
        self.put('op', 'config', document)

    def register(self, name, **changes):
        """Write the registration of an endpoint."""
        document = {
            'Service': fixtures.SERVICE,
            'Address': '127.0.0.1:9',
            'Zone': 'riga-a',
            'Version': 'v1',
            'Slots': 1,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': 1,
        }
        self.put('servers', name, {**document, **changes})

    def deliver(self, sender, report):
        """Give a report to all gateways that it reaches."""
        now = clock.now_s()
        for gateway in self.gateways:
            pair = frozenset((sender.name, gateway.name))
            if gateway is sender or not gateway.running or pair in self.cut:
                continue
            gateway.receive(report, now)

    def put(self, table, key, document):
        """Write a row."""
        data = json.dumps(document).encode()
        self.store.tables.commit([], [((table, '', key), data)])
        self.store.wake()

    async def stop(self):
        """End all gateways."""
        for gateway in self.gateways:
            if gateway.running:
                await gateway.stop()
