"""Test scenarios that need more than one request or fault."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from persimmonroute.entry import board as entry_boards
from persimmonroute.entry import claims
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import execution
from persimmonroute.sidecar import messages as sidecar_messages
from standins import endpoint_nodes
from standins import shed_order
from standins import simulation as simulations
from standins import small_simulation

LEAVING_LIMIT_S = 3.0
LIST_LAG_S = 2.0


class AbandonedClaimTests(unittest.TestCase):
    """Give a claim up whose insert takes effect later."""

    def _send_twice(self):
        simulation = small_simulation.build_simulation(endpoints=1, entries=2)
        simulation.store.fault = 'late_effect'
        first = simulation.submit(
            small_simulation.order('a', key='k'), 'entry-1'
        )
        simulation.run_until(simulation.now + 3.0)
        simulation.store.fault = 'none'
        node = simulation.sidecars['trade-desk-1']
        node.kill()
        simulation.schedule(1.0, node.start)
        simulation.run_until(simulation.now + 7.0)
        second = simulation.submit(
            small_simulation.order('b', key='k'), 'entry-2'
        )
        simulation.run_until(simulation.now + 10.0)
        return first.outcome, second.outcome

    def test_key_is_not_stuck(self):
        """The released row lets the key run when it is sent again."""
        self.assertEqual(self._send_twice(), ('not-run', 'completed'))

    def test_mutant_without_release_leaves_the_key_stuck(self):
        """Without the release the key can never run."""

        def drop(self, record, outcome):
            self._claims.pop(record.request_id, None)

        with mock.patch.object(claims.ClaimManager, 'on_call_ended', drop):
            self.assertEqual(self._send_twice(), ('not-run', 'unknown'))


class RecordedOutcomeTests(unittest.TestCase):
    """Send an order again after everybody who ran it has gone."""

    def _run(self, size):
        simulation = small_simulation.build_simulation(endpoints=1, entries=3)
        content = 'x' * size
        first = simulation.submit(
            small_simulation.order('a', key='k', content=content), 'entry-1'
        )
        simulation.run_until(simulation.now + 0.015)
        simulation.entries['entry-1'].kill()
        second = simulation.submit(
            small_simulation.order('b', key='k', content=content), 'entry-2'
        )
        simulation.run_until(simulation.now + 2.0)
        simulation.sidecars['trade-desk-1'].kill()
        simulation.schedule(1.0, simulation.sidecars['trade-desk-1'].start)
        simulation.run_until(simulation.now + 5.0)
        third = simulation.submit(
            small_simulation.order('c', key='k', content=content), 'entry-3'
        )
        simulation.run_until(simulation.now + 10.0)
        runs = sum(simulations.runs_by_attempt(simulation).values())
        return [view.outcome for view in (first, second, third)], runs, third

    def test_attached_entry_records_the_outcome(self):
        """The answer outlives the entry and the sidecar that ran it."""
        outcomes, runs, third = self._run(size=10)
        self.assertEqual(outcomes, ['lost', 'completed', 'completed'])
        self.assertEqual(runs, 1)
        wanted = endpoint_nodes.expected_answer(third.call)
        self.assertEqual(bytes(third.data), wanted)

    def test_large_answer_is_unknown_rather_than_cut(self):
        """An answer that no row holds is never given in part."""
        outcomes, runs, third = self._run(size=100_000)
        self.assertEqual(outcomes, ['lost', 'completed', 'unknown'])
        self.assertEqual((runs, bytes(third.data)), (1, b''))


class LeavingTests(unittest.TestCase):
    """Keep work coming while an endpoint leaves."""

    def _run(self, leave):
        simulation = small_simulation.build_simulation(endpoints=3, entries=3)
        views = []

        def send(number):
            call = small_simulation.draft(f'd-{number}', tokens=40)
            entry = f'entry-{1 + number % 3}'
            views.append(simulation.submit(call, entry))

        for number in range(200):
            simulation.schedule(0.05 * number, send, number)
        simulation.run_until(simulation.now + 2.0)
        left_at = simulation.now
        leave(simulation)
        simulation.run_until(simulation.now + 20.0)
        late = [
            at
            for at, effect in simulation.sidecars['llm-pool-1'].log
            if effect.event.name == 'REQUEST_STARTED'
            and at > left_at + LEAVING_LIMIT_S
        ]
        return views, late

    def _stop_sidecar(self, simulation):
        node = simulation.sidecars['llm-pool-1']
        node.handle(sidecar_messages.StopRequested())

    def _list_as_leaving(self, simulation):
        simulation.leaving.add('llm-pool-1')
        for node in simulation.entries.values():
            simulation.schedule(LIST_LAG_S, node.list_instances)

    def _assert_whole(self, views):
        for view in views:
            self.assertEqual(view.outcome, 'completed')
            wanted = endpoint_nodes.expected_answer(view.call)
            self.assertEqual(bytes(view.data), wanted)

    def test_planned_stop(self):
        """A stopping sidecar starts nothing new and cuts nothing off."""
        views, late = self._run(self._stop_sidecar)
        self.assertEqual(late, [])
        self._assert_whole(views)

    def test_listed_as_leaving(self):
        """A listed endpoint gets no new work though the list lags."""
        views, late = self._run(self._list_as_leaving)
        self.assertEqual(late, [])
        self._assert_whole(views)

    def test_mutant_that_ignores_the_stop(self):
        """A sidecar that ignores its stop is found out."""
        with mock.patch.object(execution.Executor, 'on_stop', lambda *_: None):
            _, late = self._run(self._stop_sidecar)
        self.assertTrue(late)

    def test_mutant_that_ignores_the_list(self):
        """An entry that ignores the list is found out."""
        usable = property(lambda view: view.linked)
        with mock.patch.object(entry_boards.SidecarView, 'usable', usable):
            _, late = self._run(self._list_as_leaving)
        self.assertTrue(late)


class OverloadTests(unittest.TestCase):
    """Offer more than the endpoints carry."""

    def _run(self):
        simulation = small_simulation.build_simulation(endpoints=1, entries=2)
        views = []

        def send(number):
            name = ('counter-offer', 'dossier-digest')[number % 2]
            call = small_simulation.draft(
                f'd-{number}',
                tokens=60,
                prompt_tokens=2000,
                class_name=name,
            )
            entry = f'entry-{1 + number % 2}'
            views.append(simulation.submit(call, entry))

        for number in range(400):
            simulation.schedule(0.025 * number, send, number)
        simulation.run_until(simulation.now + 60.0)
        return simulation, views

    def test_lower_tier_is_shed_first(self):
        """While tier 1 is shed, nothing of tier 4 waits or starts."""
        simulation, views = self._run()
        shed = {name: 0 for name in ('counter-offer', 'dossier-digest')}
        for view in views:
            self.assertIsNotNone(view.ended)
            shed[view.call.class_name] += view.outcome == 'not-run'
        self.assertGreater(shed['dossier-digest'], shed['counter-offer'])
        self.assertEqual(shed_order.count_violations(simulation), 0)

    def test_mutant_that_keeps_lower_tiers(self):
        """A sidecar that sheds without evicting is found out."""
        with (
            mock.patch.object(
                execution.Executor, '_evict_below', lambda *_: None
            ),
            mock.patch.object(
                admission.TieredAdmission, 'on_shed', lambda *_: None
            ),
        ):
            simulation, _ = self._run()
        self.assertGreater(shed_order.count_violations(simulation), 0)

    def test_final_answers_come_at_once(self):
        """A shed request gets its answer and when to come back."""
        _, views = self._run()
        for view in views:
            if view.outcome == 'not-run':
                self.assertGreater(view.ended.retry_after_s, 0)


class CrashingRequestTests(unittest.TestCase):
    """Send a request that crashes each endpoint that runs it."""

    def test_two_endpoints_fall_at_most(self):
        """The request is refused after it crashed an endpoint alone."""
        simulation = small_simulation.build_simulation(endpoints=3, entries=2)
        poison = small_simulation.draft('poison')
        for node in simulation.endpoints.values():
            node.poison = frozenset({poison.body})
        others, sends = [], []

        def send_poison(number):
            call = poison._replace(request_id=f'poison-{number}')
            entry = f'entry-{1 + number % 2}'
            sends.append(simulation.submit(call, entry))

        def send_other(number):
            call = small_simulation.draft(f'other-{number}', tokens=30)
            entry = f'entry-{1 + number % 2}'
            others.append(simulation.submit(call, entry))

        for number in range(10):
            simulation.schedule(1.0 + 1.5 * number, send_poison, number)
        for number in range(300):
            simulation.schedule(0.06 * number, send_other, number)
        simulation.run_until(simulation.now + 60.0)
        crashes = sum(node.crashes for node in simulation.endpoints.values())
        self.assertLessEqual(crashes, 2)
        self.assertEqual(sends[-1].ended.status, 422)
        refused = [v for v in others if v.outcome == 'not-run']
        self.assertEqual(refused, [])
        self.assertEqual(
            max(simulations.runs_by_attempt(simulation).values()), 1
        )

    def _run_several(self, seed, count=3):
        chance = random.Random(seed)
        simulation = small_simulation.build_simulation(endpoints=4, entries=3)
        poisons = [small_simulation.draft(f'poison-{n}') for n in range(count)]
        bodies = frozenset(call.body for call in poisons)
        for node in simulation.endpoints.values():
            node.poison = bodies
        others = []

        def send(call, number):
            call = call._replace(request_id=f'{call.request_id}/{number}')
            entry = f'entry-{chance.randint(1, 3)}'
            return simulation.submit(call, entry)

        def send_other(number):
            call = small_simulation.draft(f'other-{number}', tokens=30)
            others.append(send(call, 0))

        for number in range(8):
            for call in poisons:
                at = 1.0 + 2.0 * number + chance.uniform(0, 1.5)
                simulation.schedule(at, send, call, number)
        for number in range(400):
            simulation.schedule(chance.uniform(0, 20), send_other, number)
        simulation.run_until(simulation.now + 60.0)
        crashes = sum(node.crashes for node in simulation.endpoints.values())
        refused = [
            view
            for view in others
            if view.ended is not None and view.ended.status == 422
        ]
        return crashes, refused

    def test_several_crashing_requests_at_once(self):
        """Each of several requests fells two endpoints at most."""
        for seed in range(10):
            with self.subTest(seed=seed):
                crashes, refused = self._run_several(seed)
                self.assertLessEqual(crashes, 2 * 3)
                self.assertEqual(refused, [])
