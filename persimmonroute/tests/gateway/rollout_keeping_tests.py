"""Test rollouts at several gateways, and each failure midway."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute import events
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.generated import peers_pb2 as pb
from persimmonroute import logs
from standins import report_fuzzer
from standins import rollout_simulation as simulations
from standins import virtual_time

COMPLETED = simulations.COMPLETED
ROLLED_BACK = simulations.ROLLED_BACK
BOUNDS = simulations.BOUNDS
DURATION_S = simulations.DURATION_S


class SimulationTestCase(unittest.TestCase):
    """Run tests in simulated time."""

    def play(self, test, **options):
        """Run a test with a started fleet."""

        async def run():
            fleet = simulations.RolloutFleet(**options)
            await fleet.start()
            try:
                await test(fleet)
            finally:
                await fleet.stop()

        with virtual_time.loop() as loop:
            loop.run_until_complete(run())

    def check_exposure(self, fleet, began_at):
        """Check that a bad version got no more requests than allowed."""
        exposed, requests = fleet.count_exposed(began_at)
        most = BOUNDS.exposure_share * requests + BOUNDS.exposure_slack
        self.assertLessEqual(exposed, most)


class RolloutTests(SimulationTestCase):
    """Carry out orders without failures."""

    def test_good_version_completes_before_its_deadline(self):
        """Guards against a good version that is late or rolled back."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertLess(clock.now_s(), began_at + DURATION_S)
            self.assertEqual(fleet.store.status['To'], 'v2')
            self.assertEqual(fleet.store.states, ['in_progress', 'completed'])
            self.assertEqual(fleet.store.row['phase'], 'completed')
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.all_follow(COMPLETED))
            # Most requests are sent to the new version now.
            last = [s for s in fleet.sent if s.at > clock.now_s() - 0.5]
            self.assertEqual({s.version for s in last}, {'v2'})

        self.play(test)

    def test_bad_version_is_rolled_back(self):
        """Guards against a bad version that stays, or is used for long."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'rolled_back')
            self.assertIn('failed', fleet.store.status['Reason'])
            await asyncio.sleep(3.0)
            self.check_exposure(fleet, began_at)
            bad = [s.at for s in fleet.sent if s.bad]
            if len(bad) >= 50:
                last = max(s.at for s in fleet.sent if s.version == 'v2')
                self.assertLessEqual(last, bad[49] + BOUNDS.rollback_s)
            self.assertTrue(fleet.all_follow(ROLLED_BACK))

        self.play(test, failures=0.5)

    def test_version_that_turns_bad_late(self):
        """Guards against a decision before the load of the ramp."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await asyncio.sleep(0.6 * DURATION_S)
            fleet.failures = 0.7
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'rolled_back')
            self.check_exposure(fleet, began_at)

        self.play(test)

    def test_version_that_fails_only_in_the_cutover(self):
        """Guards against an end before the full load shows anything."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order(duration_s=3 * DURATION_S)
            await fleet.wait_for(
                lambda: (
                    fleet.find_phases() == {Phase.CUTOVER}
                    or fleet.store.row
                    and fleet.store.row['phase'] == 'cutover'
                ),
                3 * DURATION_S,
            )
            fleet.failures = 0.5
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'rolled_back')
            self.check_exposure(fleet, began_at)

        self.play(test)

    def test_fleet_of_one_gateway(self):
        """The only gateway is host and controller."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')

        self.play(test, gateways=1)

    def test_no_requests(self):
        """Guards against a rollout that waits for requests in vain."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')
            self.assertLess(clock.now_s(), began_at + DURATION_S)

        self.play(test, per_s=0.0)

    def test_gateway_without_a_host_uses_the_safe_version(self):
        """Nobody counts what a gateway sends without a host."""

        async def test(fleet):
            gateway = fleet.gateways[0]
            views = gateway.board.runner_registry.of_service('llm')
            pending = simulations.fixtures.pending_request()

            def versions():
                allowed = gateway.own_policy.filter(
                    pending, views, clock.now_s()
                )
                return {view.record.version for view in allowed}

            self.assertEqual(versions(), {'v1', 'v2'})
            fleet.store.order()
            await asyncio.sleep(0.1)
            while not fleet.has_ended():
                if gateway.rollout.phase is not COMPLETED:
                    self.assertEqual(versions(), {'v1'})
                await asyncio.sleep(0.05)
            self.assertEqual(versions(), {'v2'})

        self.play(test)

    def test_messages_are_small(self):
        """Guards against reports that fill the link of an instance."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            per_s = sum(fleet.message_bytes) / (clock.now_s() - began_at)
            self.assertLess(per_s, 1500)

        self.play(test)

    def test_nothing_is_done_without_an_order(self):
        """Guards against calls and messages of an idle part."""

        async def test(fleet):
            await asyncio.sleep(20.0)
            tables = {table for _, table in fleet.store.calls}
            self.assertEqual(tables, {'op'})
            self.assertEqual(fleet.message_bytes, [])

        self.play(test)

    def test_ended_rollout_needs_no_calls(self):
        """Guards against polls that go on after an order."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(6.0)
            fleet.store.calls.clear()
            fleet.message_bytes.clear()
            await asyncio.sleep(20.0)
            tables = {table for _, table in fleet.store.calls}
            self.assertEqual(tables, {'op'})
            self.assertEqual(fleet.message_bytes, [])

        self.play(test)


class MessageTests(SimulationTestCase):
    """Receive messages with any values."""

    def test_any_readable_message_does_no_harm(self):
        """Guards against values that stop the controller or a host."""

        async def test(fleet):
            fleet.store.order()
            await asyncio.sleep(1.0)
            rng = random.Random(1)
            revision = fleet.host.rollout.order.revision
            received = 0
            for _ in range(300):
                admission = pb.Admission()
                for part in (
                    admission.rollout_evidence.add(),
                    admission.rollout_decisions.add(),
                ):
                    report_fuzzer.fill(part, rng)
                    part.service = simulations.fixtures.SERVICE
                    part.revision = revision
                    part.phase = rng.choice(('canary', 'ramp', 'cutover'))
                for message in admission_codec.decode(admission):
                    received += 1
                    for gateway in fleet.gateways:
                        gateway.keeper.receive('odd', message, clock.now_s())
                await asyncio.sleep(0.01)
            self.assertGreater(received, 50)
            for gateway in fleet.gateways:
                for at in range(10):
                    gateway.keeper.tick(clock.now_s() + at)

        with mock.patch.object(logs.EventLog, 'emit') as emit:
            self.play(test)
        faults = [
            call.kwargs
            for call in emit.call_args_list
            if call.args[0] is events.Event.GATEWAY_FAULT
        ]
        self.assertEqual(faults, [])


class OrderTests(SimulationTestCase):
    """Read orders that are special."""

    def _check_rolled_back(self, reason, prepare=None, **order):
        async def test(fleet):
            if prepare is not None:
                prepare(fleet)
            fleet.store.order(**order)
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'rolled_back')
            self.assertIn(reason, fleet.store.status['Reason'])

        self.play(test)

    def test_version_without_endpoints(self):
        """An order that cannot be carried out gets a state and a reason."""
        self._check_rolled_back('no endpoint', target='v3')

    def test_time_that_has_passed(self):
        """An order without time left is not begun."""
        self._check_rolled_back('time', duration_s=0)

    def test_service_that_is_not_configured(self):
        """An order for a service without configuration has no effect."""

        def prepare(fleet):
            for gateway in fleet.gateways:
                changed = simulations.fixtures.configuration(version=2)
                gateway.board.adopt_configuration(
                    changed._replace(services=()), clock.now_s()
                )

        self._check_rolled_back('not configured', prepare)

    def test_unreadable_order_is_passed_over(self):
        """Guards against an order that stops the feed of the others."""

        async def test(fleet):
            for value in (b'', b'{}', b'[1]', b'{"Service": "llm"}'):
                fleet.store.order(value=value)
            fleet.store.order(Service='other')
            fleet.store.order(duration_s='12')
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.find_phases(), set())
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')

        self.play(test)

    def test_newer_order_replaces_an_unfinished_one(self):
        """Guards against use of a version that was never accepted."""

        async def test(fleet):
            for gateway in fleet.gateways:
                fleet.register(gateway, ('v1', 'v2', 'v3'))
            fleet.store.order()
            await asyncio.sleep(0.4 * DURATION_S)
            fleet.store.order(target='v3')
            await asyncio.sleep(0.5)
            replaced_at = clock.now_s()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')
            self.assertEqual(fleet.store.status['To'], 'v3')
            since = {s.version for s in fleet.sent if s.at > replaced_at}
            self.assertNotIn('v2', since)

        self.play(test)

    def test_order_that_ended_before_the_start(self):
        """Guards against an order that is carried out once more."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(1.0)
            late = simulations.SimulatedGateway(fleet, 'gateway-late')
            fleet.register(late, ('v1', 'v2'))
            fleet.gateways.append(late)
            late.start()
            before = fleet.store.tables.writes
            await asyncio.sleep(3.0)
            self.assertIs(late.rollout.phase, COMPLETED)
            self.assertEqual(fleet.store.tables.writes, before)

        self.play(test)

    def test_order_whose_status_alone_tells_the_end(self):
        """The row of the rollout may be missing."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            for gateway in fleet.gateways:
                await gateway.stop()
            fleet.store.tables.commit([], [], [('rollouts', '', 'llm')])
            late = simulations.SimulatedGateway(fleet, 'gateway-late')
            fleet.register(late, ('v1', 'v2'))
            fleet.gateways.append(late)
            late.start()
            await asyncio.sleep(3.0)
            self.assertIs(late.rollout.phase, COMPLETED)
            self.assertIsNone(fleet.store.row)

        self.play(test)


class FailureTests(SimulationTestCase):
    """Let one thing fail at a time."""

    def _play_to_end(self, disturb, state, failures=0.0, gateways=3):
        """Carry out an order, disturb it and check how it ends."""

        async def test(fleet):
            began_at = clock.now_s()
            fleet.store.order()
            await disturb(fleet)
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], state)
            await asyncio.sleep(2.0)
            if state == 'rolled_back':
                self.check_exposure(fleet, began_at)

        self.play(test, failures=failures, gateways=gateways)

    def test_lost_controller_of_a_good_version(self):
        """The next gateway goes on from the row."""

        async def disturb(fleet):
            await asyncio.sleep(0.6 * DURATION_S)
            self.assertEqual(fleet.store.row['phase'], 'ramp')
            await fleet.controller.stop()

        self._play_to_end(disturb, 'completed')

    def test_lost_controller_of_a_bad_version(self):
        """The next gateway gets all evidence from the hosts."""

        async def disturb(fleet):
            await asyncio.sleep(0.3)
            await fleet.controller.stop()

        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_lost_controller_that_reports_rarely(self):
        """Hosts ask another gateway before its reports are missed."""

        async def disturb(fleet):
            fleet.peer_report_s = 10.0
            fleet._exchange_reports()
            await asyncio.sleep(0.3)
            await fleet.controller.stop()

        self._play_to_end(disturb, 'completed')
        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_controller_that_the_store_rejects(self):
        """Guards against a rollout that waits for one gateway in vain."""

        async def disturb(fleet):
            await asyncio.sleep(0.3)
            fleet.controller.client.rejected = True

        self._play_to_end(disturb, 'completed')
        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_controller_lost_between_outcome_and_status(self):
        """The next gateway tells the operators."""

        async def disturb(fleet):
            await fleet.wait_for(
                lambda: (
                    fleet.store.row and fleet.store.row['phase'] == 'completed'
                )
            )
            await fleet.controller.stop()
            self.assertFalse(fleet.has_ended())

        self._play_to_end(disturb, 'completed')

    def test_two_controllers(self):
        """Of two gateways that decide, the store lets one win."""

        async def disturb(fleet):
            # Each takes itself for responsible; both reach the store.
            await asyncio.sleep(0.2)
            others = [g for g in fleet.gateways if not g.dispatcher.hosts]
            for gateway in others:
                if gateway is not fleet.controller:
                    fleet.isolate(gateway)

        self._play_to_end(disturb, 'completed')
        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_host_that_is_cut_off(self):
        """Its plan expires, and its group sends no more to the target."""

        async def test(fleet):
            fleet.store.order()
            await asyncio.sleep(0.6 * DURATION_S)
            fleet.isolate(fleet.host)
            fleet.host.client.rejected = True
            cut_at = clock.now_s()
            await asyncio.sleep(2 * DURATION_S)
            late = [s for s in fleet.sent if s.at > cut_at + 1.05]
            self.assertNotIn('v2', {s.version for s in late})

        self.play(test)

    def test_lack_of_reports_is_no_good_sign(self):
        """Guards against completing a version that nobody could judge."""

        async def disturb(fleet):
            await asyncio.sleep(0.2)
            fleet.cut.add(frozenset((fleet.host.name, fleet.controller.name)))

        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_host_that_starts_again(self):
        """Its counts start again; what it reported before is kept."""

        async def disturb(fleet):
            began_at = clock.now_s()
            await asyncio.sleep(0.4 * DURATION_S)
            host = fleet.host
            # The last report is up to a quarter of a second old.
            await asyncio.sleep(0.5)
            sent = [s for s in fleet.sent if s.at < clock.now_s() - 0.3]
            exposed = sum(
                s.version == 'v2' for s in sent if s.at > began_at + 0.1
            )
            self.assertGreater(exposed, 5)
            await host.stop()
            host.dispatcher.hosts = False
            again = simulations.SimulatedGateway(fleet, host.name)
            fleet.register(again, ('v1', 'v2'))
            fleet.gateways[fleet.gateways.index(host)] = again
            again.dispatcher.hosts = True
            again.start()
            await asyncio.sleep(1.0)
            controller = fleet.controller.keeper._controllers['llm']
            self.assertGreaterEqual(controller.collector.exposed, exposed)

        self._play_to_end(disturb, 'completed')

    def test_store_down_for_a_while(self):
        """Nothing is completed, and the share does not grow."""

        async def disturb(fleet):
            await asyncio.sleep(0.3 * DURATION_S)
            fleet.store.down = True
            await asyncio.sleep(0.3 * DURATION_S)
            self.assertIs(fleet.host.rollout.plan.phase, Phase.CANARY)
            fleet.store.down = False

        self._play_to_end(disturb, 'completed')

    def test_rollback_while_the_store_is_down(self):
        """The hosts follow at once; the store is told later."""

        async def disturb(fleet):
            # The controller has its claim, and the hosts have a plan.
            await asyncio.sleep(1.0)
            self.assertIs(fleet.host.rollout.plan.phase, Phase.CANARY)
            down_at = clock.now_s()
            fleet.store.down = True
            fleet.failures = 0.6
            await fleet.wait_for(
                lambda: fleet.host.rollout.plan.phase is ROLLED_BACK
            )
            self.assertLess(clock.now_s(), down_at + 3.0)
            self.assertFalse(fleet.has_ended())
            await asyncio.sleep(1.0)
            fleet.failures = 0.0
            await asyncio.sleep(1.0)
            last = max(s.at for s in fleet.sent if s.version == 'v2')
            self.assertLess(last, clock.now_s() - 1.5)
            fleet.store.down = False

        self._play_to_end(disturb, 'rolled_back')

    def test_controller_lost_after_a_rollback_that_is_not_stored(self):
        """Hosts tell the next controller what they follow."""

        async def disturb(fleet):
            # The controller has its claim, and the hosts have a plan.
            await asyncio.sleep(1.0)
            self.assertIs(fleet.host.rollout.plan.phase, Phase.CANARY)
            down_at = clock.now_s()
            fleet.store.down = True
            fleet.failures = 0.6
            await fleet.wait_for(
                lambda: fleet.host.rollout.plan.phase is ROLLED_BACK
            )
            self.assertLess(clock.now_s(), down_at + 3.0)
            fleet.failures = 0.0
            await fleet.controller.stop()
            fleet.store.down = False

        self._play_to_end(disturb, 'rolled_back')

    def test_store_that_loses_answers(self):
        """A lost answer is followed by a read."""

        async def disturb(fleet):
            fleet.store.lose_answers = True

        self._play_to_end(disturb, 'completed')
        self._play_to_end(disturb, 'rolled_back', failures=0.5)

    def test_feed_history_that_is_lost(self):
        """The tables are read in full."""

        async def disturb(fleet):
            for _ in range(5):
                await asyncio.sleep(0.1 * DURATION_S)
                fleet.store.tables.forget_history()
                fleet.store.tables.commit([], [])
                fleet.store.wake()

        self._play_to_end(disturb, 'completed')

    def test_outcome_is_written_again_after_a_restore(self):
        """An older copy lacks the outcome, which was reached."""
        for failures, state in ((0.0, 'completed'), (0.5, 'rolled_back')):
            for copied_s in (0.0, 0.3):
                with self.subTest(state=state, copied_s=copied_s):
                    self._restore_after_end(failures, state, copied_s)

    def _restore_after_end(self, failures, state, copied_s):
        async def test(fleet):
            fleet.store.order()
            await asyncio.sleep(copied_s)
            copied = fleet.store.tables.copy()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(6.0)
            fleet.failures = 0.9
            fleet.store.restore(copied)
            restored_at = clock.now_s()
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], state)
            self.assertEqual(fleet.store.row['phase'], state)
            await asyncio.sleep(1.0)
            since = {s.version for s in fleet.sent if s.at > restored_at}
            kept = 'v2' if state == 'completed' else 'v1'
            self.assertEqual(since, {kept})

        self.play(test, failures=failures)

    def test_restore_while_an_order_is_open(self):
        """The phase goes on from what the gateways know."""

        async def disturb(fleet):
            await asyncio.sleep(0.2)
            copied = fleet.store.tables.copy()
            await asyncio.sleep(0.6 * DURATION_S)
            fleet.store.restore(copied)

        self._play_to_end(disturb, 'completed')

    def test_gateway_cut_off_after_the_outcome(self):
        """It keeps what it was last told."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(1.0)
            gateway = fleet.host
            fleet.isolate(gateway)
            gateway.client.rejected = True
            await asyncio.sleep(10.0)
            self.assertIs(gateway.rollout.plan.phase, ROLLED_BACK)
            last = [s for s in fleet.sent if s.at > clock.now_s() - 5.0]
            self.assertEqual({s.version for s in last}, {'v1'})

        self.play(test, failures=0.5)

    def test_controller_that_comes_back_after_the_end(self):
        """Guards against a gateway that excludes the only version left."""

        async def test(fleet):
            former = fleet.controller
            fleet.store.order()
            await asyncio.sleep(0.6 * DURATION_S)
            fleet.isolate(former)
            former.client.rejected = True
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')
            await asyncio.sleep(DURATION_S)
            self.assertFalse(former.rollout.plan.phase.final)
            former.client.rejected = False
            await asyncio.sleep(3.0)
            self.assertIs(former.rollout.plan.phase, COMPLETED)
            self.assertEqual(fleet.store.states, ['in_progress', 'completed'])

        self.play(test)

    def test_host_without_the_store_learns_the_outcome_from_messages(self):
        """Guards against a host that uses endpoints that have stopped."""

        async def disturb(fleet):
            await asyncio.sleep(0.2)
            fleet.host.client.rejected = True
            await fleet.wait_for(
                lambda: fleet.host.rollout.plan.phase is COMPLETED
            )

        self._play_to_end(disturb, 'completed')
