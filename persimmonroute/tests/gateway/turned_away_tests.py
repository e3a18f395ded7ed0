"""Test gateways that the store turns away while others are served."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute import clock
from persimmonroute.gateway import peer_rows
from standins import table_fleet
from standins import virtual_time

# Bound of a change in the smallest deployment, in seconds.
CONFIGURATION_S = 2.5
# Reports of so many gateways are rarer; the bound of the larger deployments.
LARGE_CONFIGURATION_S = 4.0
SETTLE_S = 4.0


class TurnedAwayTests(unittest.TestCase):
    """Play fleets without a network, in simulated time."""

    def _run(self, gateways, play):
        async def run():
            fleet = table_fleet.TableFleet(gateways)
            fleet.configure(1)
            fleet.register('r0')
            for gateway in fleet.gateways:
                gateway.start()
            await asyncio.sleep(SETTLE_S)
            try:
                await play(fleet)
            finally:
                await fleet.stop()

        with virtual_time.loop() as loop:
            loop.run_until_complete(run())

    async def _change(self, fleet, version, bound_s, gateways=None):
        """Write a version; check that gateways have it within a bound."""
        written_at = clock.now_s()
        fleet.configure(version)
        await asyncio.sleep(bound_s)
        late = [
            g.name
            for g in gateways or fleet.gateways
            if g.running
            and g.adopted_at.get(version, float('inf')) - written_at > bound_s
        ]
        self.assertEqual(late, [])

    def _check_turned_away(
        self, gateways, reach, bound_s=CONFIGURATION_S, last_version=5
    ):
        async def play(fleet):
            for gateway in fleet.gateways[1:]:
                gateway.client.reach = reach
            for version in range(2, last_version + 1):
                await self._change(fleet, version, bound_s)

        self._run(gateways, play)

    def test_refused_gateways_take_changes_from_the_one_that_is_served(self):
        """Guards against gateways that ask seeds which are gone."""
        for gateways in (3, 30):
            with self.subTest(gateways=gateways):
                self._check_turned_away(gateways, table_fleet.Reach.REFUSED)

    def test_large_fleet_takes_changes_from_the_one_that_is_served(self):
        """Guards against waits that grow with the fleet."""
        self._check_turned_away(
            300, table_fleet.Reach.REFUSED, LARGE_CONFIGURATION_S, 2
        )

    def test_silent_store_does_not_delay_what_peers_have(self):
        """Guards against timeouts of the store before a peer is asked."""
        for gateways in (3, 30):
            with self.subTest(gateways=gateways):
                self._check_turned_away(gateways, table_fleet.Reach.SILENT)

    def test_change_passes_on_through_gateways_that_are_turned_away(self):
        """Guards against changes that only the served gateway passes on."""

        async def play(fleet):
            first, second, *others = fleet.gateways
            for gateway in (second, *others):
                gateway.client.reach = table_fleet.Reach.REFUSED
            for gateway in others:
                fleet.cut.add(frozenset((first.name, gateway.name)))
            for version in range(2, 5):
                await self._change(fleet, version, CONFIGURATION_S)

        self._run(6, play)

    def test_gateways_that_are_turned_away_learn_of_endpoints(self):
        """Guards against endpoints' rows as old as the disruption."""

        async def play(fleet):
            for gateway in fleet.gateways[1:]:
                gateway.client.reach = table_fleet.Reach.REFUSED
            fleet.register('r1')
            fleet.register('r0', State='draining', Sequence=2)
            await asyncio.sleep(CONFIGURATION_S)
            for gateway in fleet.gateways:
                registry = gateway.board.runner_registry
                self.assertIsNotNone(registry.find('r1'), gateway.name)
                self.assertTrue(registry.find('r0').record.leaving)

        self._run(10, play)

    def test_started_gateway_that_is_turned_away_serves_the_newest(self):
        """Guards against a start that waits for the store or dead seeds."""

        async def play(fleet):
            started = fleet.gateways[-1]
            await started.stop()
            started.client.reach = table_fleet.Reach.REFUSED
            await self._change(fleet, 2, CONFIGURATION_S, fleet.gateways[:-1])
            started.adopted_at.clear()
            started.start()
            await asyncio.sleep(CONFIGURATION_S)
            self.assertEqual(started.board.version, 2)
            self.assertTrue(started.board.registrations_read)

        self._run(10, play)

    def test_gateway_that_holds_the_newest_is_not_asked_by_all_at_once(self):
        """Guards against a herd at the one gateway that has a change."""

        async def play(fleet):
            for gateway in fleet.gateways[1:]:
                gateway.client.reach = table_fleet.Reach.REFUSED
            await asyncio.sleep(SETTLE_S)
            before = fleet.gateways[0].rows_served
            await self._change(fleet, 2, CONFIGURATION_S)
            served = fleet.gateways[0].rows_served - before
            self.assertLess(served, len(fleet.gateways) / 2)

        self._run(60, play)

    def test_calm_changes_cost_no_calls_beside_the_watches(self):
        """Guards against gateways that ask peers for what the store tells."""

        async def play(fleet):
            before = sum(g.client.calls for g in fleet.gateways)
            for version in range(2, 12):
                await self._change(fleet, version, 0.5)
            calls = sum(g.client.calls for g in fleet.gateways) - before
            # Each change ends the watch of its table, and polls end.
            self.assertLess(calls, len(fleet.gateways) * (10 + 6))
            self.assertEqual(sum(g.rows_served for g in fleet.gateways), 0)

        self._run(30, play)

    def test_unreadable_newest_does_not_confirm_the_one_before(self):
        """Guards against keys that count as current for ever."""

        async def play(fleet):
            fleet.put('op', 'config', {'Version': 2, 'Routes': 7})
            await asyncio.sleep(SETTLE_S)
            now = clock.now_s()
            for gateway in fleet.gateways:
                self.assertEqual(gateway.board.version, 1)
                freshness = gateway.board.configuration_freshness
                self.assertGreater(freshness.age_s(now), SETTLE_S - 0.5)
            await self._change(fleet, 3, CONFIGURATION_S)
            freshness = fleet.gateways[0].board.configuration_freshness
            self.assertLess(freshness.age_s(clock.now_s()), SETTLE_S)

        self._run(5, play)

    def test_peer_that_states_no_version_of_its_rows_is_believed(self):
        """Guards against seeds that run an earlier release."""

        async def play(fleet):
            first, second = fleet.gateways
            fleet.seeds = [second]
            fleet.states_versions = False
            first.client.reach = table_fleet.Reach.REFUSED
            await self._change(fleet, 2, CONFIGURATION_S)

        self._run(2, play)

    def test_peer_that_states_a_version_of_the_future_is_not_believed(self):
        """Guards against a faulty peer that keeps the store's rows away."""

        async def play(fleet):
            first = fleet.gateways[0]
            source = first.followers[1].source
            snapshot = source.export_rows()
            source.import_rows(
                peer_rows.PeerRows(
                    snapshot.values, clock.now_s(), 10**9, snapshot.era
                )
            )
            fleet.register('r7')
            await asyncio.sleep(CONFIGURATION_S)
            registry = first.board.runner_registry
            self.assertIsNotNone(registry.find('r7'))

        self._run(2, play)

    def test_restored_store_takes_nothing_back(self):
        """Guards against older rows of a peer or of the store."""

        async def play(fleet):
            copied = fleet.store.tables.copy()
            await self._change(fleet, 2, CONFIGURATION_S)
            for gateway in fleet.gateways[1:]:
                gateway.client.reach = table_fleet.Reach.REFUSED
            fleet.store.restore(copied)
            await asyncio.sleep(SETTLE_S)
            versions = {g.board.version for g in fleet.gateways}
            self.assertEqual(versions, {2})
            await self._change(fleet, 3, CONFIGURATION_S)

        self._run(5, play)


if __name__ == '__main__':
    unittest.main()
