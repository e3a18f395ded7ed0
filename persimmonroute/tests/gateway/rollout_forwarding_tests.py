"""Test orders of rollouts that gateways forward to one another."""

from __future__ import annotations

import asyncio
import math
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import groups
from persimmonroute.gateway import metrics
from persimmonroute.gateway import peer_link
from persimmonroute.gateway.rollout_control import Order
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway import rollout_forwarding
from persimmonroute.gateway import rollout_keeping
from persimmonroute.gateway import rollouts
from persimmonroute.gateway import runners
from persimmonroute import logs
from persimmonroute.tests.gateway import rollout_keeping_tests
from standins import gateway_fixtures as fixtures
from standins import rollout_simulation as simulations

ORDER = Order(fixtures.SERVICE, 'v2', 12.0, 7)
NEXT_ORDER = ORDER._replace(target='v3', revision=9)
GROUP = groups.Group(fixtures.SERVICE, 'riga')
COMPLETED = simulations.COMPLETED
ROLLED_BACK = simulations.ROLLED_BACK
DURATION_S = simulations.DURATION_S


def forward(order=ORDER, era=1, age_s=2.0, **fields):
    """Return what a gateway forwards of an order."""
    return rollout_forwarding.ForwardedOrder(order, era, age_s, **fields)


class AdoptionTests(unittest.TestCase):
    """Follow orders of the store and of other gateways."""

    def setUp(self):
        """Prepare a gateway without any order."""
        self.rollouts = rollouts.Rollouts(runners.RunnerRegistry())

    @property
    def _rollout(self):
        return self.rollouts.find(fixtures.SERVICE)

    def _forward(self, order=ORDER, now=100.0, **fields):
        return self.rollouts.adopt_forwarded(
            forward(order, **fields), 'peer', now
        )

    def test_order_counts_from_its_issue(self):
        """Guards against a cutover that is late by the time on the way."""
        self.assertTrue(self._forward(age_s=2.0))
        self.assertEqual(self._rollout.given_at, 98.0)
        self.assertFalse(self._forward(now=101.0))

    def test_old_order_is_ignored(self):
        """Guards against the version that an earlier order named."""
        self.rollouts.adopt(NEXT_ORDER, 90.0, 1)
        self.assertFalse(self._forward())
        self.assertEqual(self._rollout.order, NEXT_ORDER)

    def test_order_of_an_earlier_era_is_ignored(self):
        """Row versions of a restored store start again below old ones."""
        self.rollouts.adopt(ORDER, 90.0, 2)
        old = NEXT_ORDER._replace(revision=1000)
        self.assertFalse(self._forward(old, era=1))
        self.assertEqual(self._rollout.order, ORDER)

    def test_order_of_a_new_era(self):
        """Guards against an order that is taken for an old one."""
        self.rollouts.adopt(NEXT_ORDER, 90.0, 1)
        again = ORDER._replace(target='v4', revision=3)
        self.assertTrue(self._forward(again, era=2))
        self.assertEqual(self._rollout.order, again)
        # The order of the era before does not come back.
        self.assertFalse(self._forward(NEXT_ORDER, era=1))

    def test_two_orders(self):
        """Guards against use of a version whose order was replaced."""
        self.assertTrue(self._forward())
        self.assertTrue(self._forward(NEXT_ORDER))
        self.assertEqual(self._rollout.rejected, ('v2',))
        self.assertFalse(self._forward())

    def test_store_tells_of_the_forwarded_order(self):
        """It is the same order, with the time that is known already."""
        self._forward(age_s=2.0)
        self.assertFalse(self.rollouts.adopt(ORDER, 101.0, 1))
        self.assertEqual(self._rollout.forwarded_by, '')
        self.assertEqual(self._rollout.given_at, 98.0)

    def test_store_takes_precedence(self):
        """Guards against an order that the store does not have."""
        self.rollouts.adopt(ORDER, 90.0, 1)
        known = self._rollout
        self._forward(NEXT_ORDER._replace(revision=2**53 - 1))
        # The response may be older than what was forwarded.
        self.assertFalse(self.rollouts.adopt(ORDER, 99.0, 1))
        self.assertIsNot(self._rollout, known)
        self.assertFalse(self.rollouts.adopt(ORDER, 101.0, 1))
        self.assertIs(self._rollout, known)
        self.assertTrue(self.rollouts.adopt(NEXT_ORDER, 102.0, 1))

    def test_store_has_an_older_order_than_the_only_one_known(self):
        """Guards against an order that blocks all of the store."""
        self._forward(NEXT_ORDER._replace(revision=2**53 - 1))
        self.assertTrue(self.rollouts.adopt(ORDER, 101.0, 1))
        self.assertEqual(self._rollout.order, ORDER)
        self.assertEqual(self._rollout.rejected, ())

    def test_order_whose_outcome_was_missed(self):
        """Guards against a gateway that excludes the only version left."""
        self._forward(age_s=2.0)
        views = [
            runners.RunnerView(fixtures.runner('r', version='v2'), 0.0),
        ]
        pending = fixtures.pending_request()
        policy = rollouts.GroupPolicy(self.rollouts, GROUP)
        self.assertEqual(policy.filter(pending, views, 111.0), [])
        later = 110.0 + rollouts.FORWARDED_HOLD_S + 1.0
        self.assertEqual(policy.filter(pending, views, later), views)

    def test_order_that_has_long_ended_is_not_begun(self):
        """Its sender may have been cut off since."""
        age_s = ORDER.duration_s + rollouts.FORWARDED_HOLD_S + 1.0
        self.assertFalse(self._forward(age_s=age_s))
        self.assertTrue(self._forward(age_s=age_s, outcome=COMPLETED))


class SelectionTests(unittest.TestCase):
    """Choose what is forwarded."""

    def setUp(self):
        """Prepare a gateway with one order of the store."""
        self.rollouts = rollouts.Rollouts(runners.RunnerRegistry())
        self.rollouts.adopt(ORDER, 98.0, 1)
        self.rollout = self.rollouts.find(fixtures.SERVICE)

    def _list(self, now=100.0):
        return rollout_forwarding.list_forwarded(self.rollouts, now)

    def test_open_order(self):
        """Peers learn when it was issued."""
        self.assertEqual(self._list(), (forward(),))

    def test_outcome_is_forwarded_for_a_while(self):
        """Guards against bytes that are sent for ever."""
        self.rollout.record_stored(COMPLETED, 'good', 101.0)
        (sent,) = self._list(102.0)
        self.assertEqual((sent.outcome, sent.reason), (COMPLETED, 'good'))
        later = 101.0 + rollout_forwarding.OUTCOME_FORWARD_S + 0.1
        self.assertEqual(self._list(later), ())

    def test_only_what_the_store_told(self):
        """Guards against an order that circulates among gateways."""
        self.rollouts.adopt_forwarded(forward(NEXT_ORDER), 'peer', 100.0)
        self.assertEqual(self._list(), ())

    def test_order_that_may_have_ended_long_ago(self):
        """Guards against an old order that a gateway reads at its start."""
        self.rollout.unconfirmed = True
        self.assertEqual(self._list(), ())
        self.rollout.unconfirmed = False
        self.rollout.ended_before = True
        self.assertEqual(self._list(), ())

    def test_many_orders(self):
        """Guards against a report that fits into no datagram."""
        for number in range(100):
            order = ORDER._replace(service=f's{number}')
            self.rollouts.adopt(order, 90.0, 1)
        self.assertEqual(len(self._list()), rollout_forwarding.MAX_FORWARDED)
        # The newest goes first.
        self.assertEqual(self._list()[0].order, ORDER)
        for rollout in self.rollouts:
            rollout.reject([f'{n}{"x" * 900}' for n in range(16)])
        self.assertEqual(self._list(), ())


class MessageTests(unittest.TestCase):
    """Send orders in the reports of gateways."""

    def _build(self, name):
        board = fixtures.board(name=name)
        board.store_era = 3
        return peer_link.PeerLink(
            board,
            fixtures.scheduler(board),
            '127.0.0.1:1',
            fixtures.LOCALITY,
            mock.Mock(),
            1.0,
        )

    def _pass(self, **fields):
        """Return the orders of a report with changed fields."""
        message = admission_codec.encode_order(forward(era=3))
        for field, value in fields.items():
            if isinstance(value, list):
                getattr(message, field).extend(value)
            else:
                setattr(message, field, value)
        link = self._build('own')
        report = link.encode(1.0)
        report.orders.append(message)
        report.waiting.add(service='llm', rank=1.0, work_ms=5, requests=2)
        decoded = peer_link.decode(report.SerializeToString())
        # A part that cannot be read leaves the others.
        self.assertEqual(len(decoded.waiting), 1)
        return decoded.orders

    def test_orders_arrive_as_sent(self):
        """All fields are kept."""
        sent = forward(
            era=3, outcome=ROLLED_BACK, reason='slow', rejected=('v0',)
        )
        link = self._build('own')
        link.list_forwarded = lambda now: (sent,)
        data = link.encode(1.0).SerializeToString()
        self.assertEqual(peer_link.decode(data).orders, (sent,))
        received = mock.Mock()
        receiver = self._build('peer')
        receiver.receive_forwarded = received
        receiver.datagram_received(data, None)
        # The sender is not known before its first report.
        receiver.datagram_received(data, None)
        ((name, orders, _),) = {call.args for call in received.mock_calls}
        self.assertEqual((name, orders), ('own', (sent,)))

    def test_malformed_order_is_ignored(self):
        """Guards against an order that nobody gave, or that never ends."""
        self.assertEqual(len(self._pass()), 1)
        for fields in (
            {'service': ''},
            {'target': ''},
            {'target': 'x' * 2000},
            {'duration_s': math.nan},
            {'duration_s': -1.0},
            {'duration_s': 1e9},
            {'revision': 2**60},
            # What is absent is not known.
            {'era_plus_one': 0},
            {'age_ms_plus_one': 0},
            # Later than the era of the report.
            {'era_plus_one': 5},
            {'age_ms_plus_one': 2**60},
            {'outcome': 'canary'},
            {'outcome': 'won'},
            {'reason': 'x' * 2000},
            {'rejected': ['']},
            {'rejected': ['v'] * 100},
        ):
            with self.subTest(fields=fields):
                self.assertEqual(self._pass(**fields), ())

    def test_report_of_an_older_gateway(self):
        """It says nothing of orders."""
        data = self._build('own').encode(1.0).SerializeToString()
        self.assertEqual(peer_link.decode(data).orders, ())

    def test_nothing_is_sent_without_an_order(self):
        """Guards against bytes of an idle part."""
        link = self._build('own')
        before = link.encode(1.0)
        known = rollouts.Rollouts(runners.RunnerRegistry())
        link.list_forwarded = lambda now: rollout_forwarding.list_forwarded(
            known, now
        )
        self.assertEqual(link.encode(1.0).ByteSize(), before.ByteSize())

    def test_orders_are_ignored_where_no_rollouts_are_served(self):
        """Guards against a part that is active without its settings."""
        link = self._build('own')
        link.list_forwarded = lambda now: (forward(era=3),)
        data = link.encode(1.0).SerializeToString()
        receiver = self._build('peer')
        receiver.datagram_received(data, None)
        self.assertIsNone(receiver._board.rollouts.find(fixtures.SERVICE))


class CutOffTests(rollout_keeping_tests.SimulationTestCase):
    """Cut a gateway off from the store before the order."""

    def _cut_off(self, gateway):
        gateway.client.rejected = True

    def test_good_version_completes(self):
        """Guards against a host whose group keeps an order from its end."""

        async def test(fleet):
            host = fleet.host
            self._cut_off(host)
            began_at = clock.now_s()
            fleet.store.order()
            await asyncio.sleep(1.0)
            self.assertNotEqual(host.rollout.forwarded_by, '')
            # A read of the order takes 5 ms, and reports are 0.2 s apart.
            self.assertAlmostEqual(host.rollout.given_at, began_at, delta=0.05)
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'completed')
            self.assertLess(clock.now_s(), began_at + DURATION_S)
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.all_follow(COMPLETED))

        self.play(test)

    def test_bad_version_is_rolled_back(self):
        """Guards against evidence that does not reach the controller."""

        async def test(fleet):
            self._cut_off(fleet.host)
            began_at = clock.now_s()
            fleet.store.order()
            await asyncio.sleep(0.5 * DURATION_S)
            fleet.failures = 0.7
            await fleet.wait_for(fleet.has_ended)
            self.assertEqual(fleet.store.status['State'], 'rolled_back')
            await asyncio.sleep(2.0)
            self.check_exposure(fleet, began_at)
            self.assertTrue(fleet.all_follow(ROLLED_BACK))

        self.play(test)

    def test_gateway_without_a_host_learns_the_outcome(self):
        """Guards against endpoints that have stopped being used."""

        async def test(fleet):
            other = next(
                g
                for g in fleet.gateways
                if g not in (fleet.host, fleet.controller)
            )
            self._cut_off(other)
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(0.5)
            self.assertIs(other.rollout.phase, COMPLETED)

        self.play(test)

    def test_responsible_gateway_does_not_control(self):
        """Guards against an order that nobody carries out."""

        async def test(fleet):
            cut = fleet.controller
            self._cut_off(cut)
            began_at = clock.now_s()
            fleet.store.order()
            controllers = set()
            while not fleet.has_ended():
                await asyncio.sleep(0.05)
                if fleet.store.row is not None:
                    controllers.add(fleet.store.row['controller'])
                self.assertEqual(cut.keeper._controllers, {})
            self.assertNotIn(cut.name, controllers)
            self.assertEqual(fleet.store.status['State'], 'completed')
            self.assertLess(clock.now_s(), began_at + DURATION_S)

        self.play(test)

    def test_host_stays_with_the_gateway_that_answers(self):
        """Guards against pauses in which no gateway controls an order."""

        async def test(fleet):
            self._cut_off(fleet.controller)
            fleet.store.order(duration_s=3 * DURATION_S)
            await asyncio.sleep(2.0)
            sender = fleet.host.keeper._senders[fixtures.SERVICE]
            asked = set()
            while not fleet.has_ended():
                asked.add(sender.controller)
                self.assertLess(
                    clock.now_s() - sender.heard_at,
                    rollout_keeping.ANSWER_TIMEOUT_S,
                )
                await asyncio.sleep(0.05)
            self.assertEqual(len(asked), 1)
            self.assertNotIn(fleet.controller.name, asked)

        self.play(test)

    def test_newer_order_replaces_the_first(self):
        """Guards against two orders at gateways that read neither."""

        async def test(fleet):
            for gateway in fleet.gateways:
                fleet.register(gateway, ('v1', 'v2', 'v3'))
            self._cut_off(fleet.host)
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

    def test_store_comes_back(self):
        """The order is the same; what was forwarded is confirmed."""

        async def test(fleet):
            host = fleet.host
            self._cut_off(host)
            fleet.store.order()
            await asyncio.sleep(0.3 * DURATION_S)
            rollout = host.rollout
            host.client.rejected = False
            await fleet.wait_for(lambda: not rollout.forwarded_by)
            self.assertFalse(rollout.unconfirmed)
            await fleet.wait_for(fleet.has_ended)
            self.assertIs(host.rollout, rollout)
            self.assertEqual(fleet.store.status['State'], 'completed')

        self.play(test)

    def test_known_outcome_is_not_undone(self):
        """Guards against a rolled back version that is used again."""

        async def test(fleet):
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            await asyncio.sleep(1.0)
            host = fleet.host
            order, era = host.rollout.order, host.rollout.era
            for outcome in (None, COMPLETED):
                host.keeper.receive_forwarded(
                    'odd',
                    [forward(order, era, outcome=outcome)],
                    clock.now_s(),
                )
            await asyncio.sleep(0.5)
            self.assertIs(host.rollout.phase, ROLLED_BACK)
            self.assertIs(host.rollout.plan.phase, ROLLED_BACK)

        self.play(test, failures=0.6)

    def test_outcome_of_an_earlier_era_is_ignored(self):
        """Row versions of a restored store may be those of old orders."""

        async def test(fleet):
            fleet.store.order()
            await asyncio.sleep(1.0)
            host = fleet.host
            order, era = host.rollout.order, host.rollout.era
            for old in (
                forward(order, era - 1, outcome=COMPLETED),
                forward(order._replace(target='v3'), era, outcome=COMPLETED),
            ):
                host.keeper.receive_forwarded('odd', [old], clock.now_s())
            self.assertIs(host.rollout.phase, Phase.CANARY)
            self.assertEqual(host.rollout.order, order)

        self.play(test)

    def test_gateway_without_store_and_peers(self):
        """Guards against a target that appears at a gateway cut off."""

        async def test(fleet):
            for gateway in fleet.gateways:
                fleet.register(gateway, ('v1',))
            await asyncio.sleep(3.0)
            host = fleet.host
            fleet.isolate(host)
            self._cut_off(host)
            await asyncio.sleep(1.0)
            fleet.store.order(target='v3')
            for gateway in fleet.gateways:
                fleet.register(gateway, ('v1', 'v3'))
            began_at = clock.now_s()
            await asyncio.sleep(DURATION_S)
            sent = {s.version for s in fleet.sent if s.at > began_at}
            self.assertEqual(sent, {'v1'})

        self.play(test)

    def test_nothing_is_sent_long_after_the_end(self):
        """Guards against reports that grow with each order ever given."""

        async def test(fleet):
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.forwarded_bytes, [])
            fleet.store.order()
            await fleet.wait_for(fleet.has_ended)
            self.assertLess(max(fleet.forwarded_bytes), 120)
            await asyncio.sleep(rollout_forwarding.OUTCOME_FORWARD_S + 1.0)
            fleet.forwarded_bytes.clear()
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.forwarded_bytes, [])

        self.play(test)

    def test_order_that_the_store_does_not_tell_is_logged(self):
        """Operators see which gateway lost the store, and only then."""

        def warned(emit):
            return [
                call.kwargs['gateway']
                for call in emit.call_args_list
                if call.args[0] is Event.ROLLOUT_FORWARDED
            ]

        async def test(fleet):
            with mock.patch.object(logs.EventLog, 'emit') as emit:
                fleet.store.order()
                await fleet.wait_for(fleet.has_ended)
                self.assertEqual(warned(emit), [])
                self._cut_off(fleet.host)
                fleet.store.order(target='v1')
                await asyncio.sleep(3.0)
                self.assertEqual(len(warned(emit)), 1)

        self.play(test)


class ContactTests(unittest.TestCase):
    """Use versions while neither the store nor a peer confirms anything."""

    def setUp(self):
        """Prepare a gateway with endpoints of one version."""
        self.board = fixtures.board(now=0.0, runners=['v1-0'])
        self.board.rollouts.contact = self.board.configuration_freshness

    def _start(self, version, now):
        self.board.runner_registry.apply(
            [fixtures.runner(f'{version}-0', version=version)], (), False, now
        )

    def _list_used(self, now):
        """Return the versions that each of the policies uses."""
        views = list(self.board.runner_registry.of_service(fixtures.SERVICE))
        pending = fixtures.pending_request(now)
        used = []
        for policy in (
            rollouts.GroupPolicy(self.board.rollouts, GROUP),
            rollouts.OwnPolicy(self.board.rollouts),
        ):
            for found in (
                policy.filter(pending, views, now),
                policy.list_main(fixtures.SERVICE, views, now),
            ):
                used.append({view.record.version for view in found})
        self.assertTrue(all(versions == used[0] for versions in used))
        return used[0]

    def test_version_that_is_seen_without_contact(self):
        """Guards against the target of an order that nobody could tell."""
        self._start('v2', 5.0)
        self.assertEqual(self._list_used(6.0), {'v1'})
        self.assertEqual(self._list_used(60.0), {'v1'})
        self.assertEqual(
            self.board.rollouts.list_held(), [(fixtures.SERVICE, 'v2')]
        )
        # A response from before does not tell of a later order.
        self.board.configuration_freshness.confirm(4.9, 61.0)
        self.assertEqual(self._list_used(61.0), {'v1'})
        self.board.configuration_freshness.confirm(61.5, 62.0)
        self.assertEqual(self._list_used(62.0), {'v1', 'v2'})
        self.assertEqual(self.board.rollouts.list_held(), [])

    def test_known_version_is_used_on(self):
        """Guards against a gateway that refuses all after an outage."""
        self._start('v2', 5.0)
        self.board.configuration_freshness.confirm(6.0, 6.0)
        self.board.runner_registry.apply((), ['v2-0'], False, 50.0)
        self._start('v2', 60.0)
        self.assertEqual(self._list_used(60.0), {'v1', 'v2'})

    def test_versions_that_a_service_begins_with(self):
        """The first endpoints of a service need no order."""
        records = [
            fixtures.runner(f'other-{version}', version=version)
            for version in ('v7', 'v8')
        ]
        self.board.runner_registry.apply(
            [record._replace(service='other') for record in records],
            (),
            False,
            5.0,
        )
        self.assertEqual(self.board.rollouts.list_held(), [])

    def test_target_of_a_known_order(self):
        """The order itself limits its target, and completes it."""
        self.board.rollouts.adopt(ORDER, 1.0, 1)
        self._start('v2', 5.0)
        self.assertEqual(self._list_used(6.0), {'v1'})
        rollout = self.board.rollouts.find(fixtures.SERVICE)
        rollout.record_stored(COMPLETED, '', 7.0)
        self.assertEqual(self._list_used(7.0), {'v2'})

    def test_gateway_without_the_settings(self):
        """Guards against a part that is active without its settings."""
        self.board.rollouts.contact = None
        self._start('v2', 5.0)
        self.assertEqual(self._list_used(6.0), {'v1', 'v2'})
        self.assertEqual(self.board.rollouts.list_held(), [])

    def test_operators_see_what_is_held_and_forwarded(self):
        """Guards against a gateway that is cut off unnoticed."""
        gateway_metrics = metrics.GatewayMetrics(
            self.board, fixtures.scheduler(self.board), None
        )

        def collect():
            return {
                (sample.name, sample.labels['version']): sample.value
                for family in gateway_metrics._collect_rollouts()
                for sample in family.samples
                if sample.name.endswith(('_held', '_forwarded'))
            }

        self.assertEqual(collect(), {})
        self._start('v2', 5.0)
        self.assertEqual(collect(), {('persimmonroute_rollout_held', 'v2'): 1})
        self.board.rollouts.adopt_forwarded(forward(), 'peer', 6.0)
        name = 'persimmonroute_rollout_forwarded'
        self.assertEqual(collect(), {(name, 'v2'): 1})
        self.board.rollouts.adopt(ORDER, 6.0, 1)
        self.assertEqual(collect(), {(name, 'v2'): 0})
