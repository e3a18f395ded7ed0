"""Test scenarios with several requests or faults."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from persimmonroute.entry import board as entry_boards
from persimmonroute.entry import claims
from persimmonroute.entry import intake
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
    """Abandon a claim whose insert takes effect later.

    Unless the row is released, it claims the key for an attempt that never
    ran and that the restarted sidecar cannot deny, so no retry can run.
    """

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
        """Run a retry with the same key after the row was released."""
        self.assertEqual(self._send_twice(), ('not-run', 'completed'))

    def test_mutant_without_release_leaves_the_key_stuck(self):
        """Detect that the key stays stuck without the release."""

        def drop(self, record, outcome):
            self._claims.pop(record.request_id, None)

        with mock.patch.object(claims.ClaimManager, 'on_call_ended', drop):
            self.assertEqual(self._send_twice(), ('not-run', 'unknown'))


class RecordedOutcomeTests(unittest.TestCase):
    """Resend an order after the entry and sidecar that ran it crashed."""

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
        """Keep the response after its entry and sidecar crashed."""
        outcomes, runs, third = self._run(size=10)
        self.assertEqual(outcomes, ['lost', 'completed', 'completed'])
        self.assertEqual(runs, 1)
        expected = endpoint_nodes.expected_response(third.call)
        self.assertEqual(bytes(third.data), expected)

    def test_large_response_is_unknown_rather_than_truncated(self):
        """Return unknown, not a partial response, if the row is too small."""
        outcomes, runs, third = self._run(size=100_000)
        self.assertEqual(outcomes, ['lost', 'completed', 'unknown'])
        self.assertEqual((runs, bytes(third.data)), (1, b''))


class LeavingTests(unittest.TestCase):
    """Send requests at a steady rate while an endpoint leaves."""

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
        started_late = [
            at
            for at, effect in simulation.sidecars['llm-pool-1'].log
            if effect.event.name == 'REQUEST_STARTED'
            and at > left_at + LEAVING_LIMIT_S
        ]
        return views, started_late

    def _stop_sidecar(self, simulation):
        node = simulation.sidecars['llm-pool-1']
        node.handle(sidecar_messages.StopRequested())

    def _list_as_leaving(self, simulation):
        simulation.leaving.add('llm-pool-1')
        for node in simulation.entries.values():
            simulation.schedule(LIST_LAG_S, node.list_instances)

    def _assert_complete(self, views):
        for view in views:
            self.assertEqual(view.outcome, 'completed')
            expected = endpoint_nodes.expected_response(view.call)
            self.assertEqual(bytes(view.data), expected)

    def test_planned_stop(self):
        """Start nothing new and truncate no response while a sidecar stops."""
        views, started_late = self._run(self._stop_sidecar)
        self.assertEqual(started_late, [])
        self._assert_complete(views)

    def test_listed_as_leaving(self):
        """Start no request at a leaving endpoint although the list lags."""
        views, started_late = self._run(self._list_as_leaving)
        self.assertEqual(started_late, [])
        self._assert_complete(views)

    def test_mutant_that_ignores_the_stop(self):
        """Detect a sidecar that ignores its stop."""
        with mock.patch.object(execution.Executor, 'on_stop', lambda *_: None):
            _, started_late = self._run(self._stop_sidecar)
        self.assertTrue(started_late)

    def test_mutant_that_ignores_the_list(self):
        """Detect an entry that ignores the leaving state in the list."""
        usable = property(lambda view: view.linked)
        with mock.patch.object(entry_boards.SidecarView, 'usable', usable):
            _, started_late = self._run(self._list_as_leaving)
        self.assertTrue(started_late)


class OverloadTests(unittest.TestCase):
    """Send more requests than the endpoints can serve."""

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
        """Queue and start no tier 4 request while tier 1 is shed."""
        simulation, views = self._run()
        shed = {name: 0 for name in ('counter-offer', 'dossier-digest')}
        for view in views:
            self.assertIsNotNone(view.ended)
            shed[view.call.class_name] += view.outcome == 'not-run'
        self.assertGreater(shed['dossier-digest'], shed['counter-offer'])
        self.assertEqual(shed_order.count_violations(simulation), 0)

    def test_mutant_that_keeps_lower_tiers(self):
        """Detect a sidecar that sheds without evicting lower tiers."""
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

    def test_shed_requests_get_a_retry_delay(self):
        """Respond to every shed request with a retry delay."""
        _, views = self._run()
        for view in views:
            if view.outcome == 'not-run':
                self.assertGreater(view.ended.retry_after_s, 0)


class CrashingRequestTests(unittest.TestCase):
    """Send requests that crash each endpoint that runs them."""

    def test_at_most_two_endpoints_crash(self):
        """Refuse the request after it crashed an endpoint on its own."""
        simulation = small_simulation.build_simulation(endpoints=3, entries=2)
        poison = small_simulation.draft('poison')
        for node in simulation.endpoints.values():
            node.poison = frozenset({poison.body})
        others, poison_views = [], []

        def send_poison(number):
            call = poison._replace(request_id=f'poison-{number}')
            entry = f'entry-{1 + number % 2}'
            poison_views.append(simulation.submit(call, entry))

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
        self.assertEqual(poison_views[-1].ended.status, 422)
        refused = [v for v in others if v.outcome == 'not-run']
        self.assertEqual(refused, [])
        self.assertEqual(
            max(simulations.runs_by_attempt(simulation).values()), 1
        )

    def _run_several(self, seed, count=3):
        rng = random.Random(seed)
        simulation = small_simulation.build_simulation(endpoints=4, entries=3)
        poisons = [small_simulation.draft(f'poison-{n}') for n in range(count)]
        bodies = frozenset(call.body for call in poisons)
        for node in simulation.endpoints.values():
            node.poison = bodies
        others = []

        def send(call, number):
            call = call._replace(request_id=f'{call.request_id}/{number}')
            entry = f'entry-{rng.randint(1, 3)}'
            return simulation.submit(call, entry)

        def send_other(number):
            call = small_simulation.draft(f'other-{number}', tokens=30)
            others.append(send(call, 0))

        for number in range(8):
            for call in poisons:
                at = 1.0 + 2.0 * number + rng.uniform(0, 1.5)
                simulation.schedule(at, send, call, number)
        for number in range(400):
            simulation.schedule(rng.uniform(0, 20), send_other, number)
        simulation.run_until(simulation.now + 60.0)
        crashes = sum(node.crashes for node in simulation.endpoints.values())
        refused = [
            view
            for view in others
            if view.ended is not None and view.ended.status == 422
        ]
        return crashes, refused

    def _run_shared_part(self, seed):
        """Send unlike requests of which some share a part that crashes."""
        rng = random.Random(seed)
        simulation = small_simulation.build_simulation(endpoints=4, entries=2)
        block = intake.BLOCK_CHARACTERS
        system, bad = 's' * block, 'bad' * block
        groups = [f'group{n}' * block for n in range(4)]
        for node in simulation.endpoints.values():
            node.poison_text = bad.encode()
        crashing, others = [], []

        def send(views, number, middle):
            prompt = f'{system}{middle}{number}'
            call = small_simulation.draft(
                f'{middle[:3]}-{number}', tokens=30, prompt=prompt
            )
            views.append(simulation.submit(call, f'entry-{rng.randint(1, 2)}'))

        for number in range(16):
            at = 3.0 + 1.5 * number + rng.uniform(0, 1.0)
            simulation.schedule(at, send, crashing, number, bad)
        for number in range(500):
            at = rng.uniform(0, 30)
            simulation.schedule(at, send, others, number, groups[number % 4])
        simulation.run_until(simulation.now + 60.0)
        crashes = sum(node.crashes for node in simulation.endpoints.values())
        return crashes, crashing, others

    def test_part_that_crashes_endpoints_is_refused(self):
        """Unlike requests that share a part crash three endpoints or four."""
        for seed in range(5):
            with self.subTest(seed=seed):
                crashes, crashing, others = self._run_shared_part(seed)
                self.assertLessEqual(crashes, 4)
                self.assertEqual(crashing[-1].ended.status, 422)
                refused = [v for v in others if v.ended.status == 422]
                self.assertEqual(refused, [])

    def test_several_crashing_requests_at_once(self):
        """Let each of several requests crash at most two endpoints."""
        for seed in range(10):
            with self.subTest(seed=seed):
                crashes, refused = self._run_several(seed)
                self.assertLessEqual(crashes, 2 * 3)
                self.assertEqual(refused, [])
