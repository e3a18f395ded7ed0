"""Test that what still works is not given up beside faults."""

from __future__ import annotations

import json
import unittest

from persimmonroute.entry import messages as entry_messages
from standins import endpoint_nodes
from standins import small_simulation

PLAIN = small_simulation.PLAIN
MODEL = small_simulation.MODEL
# Longer than any time for which entries and sidecars keep a lost link's work.
LONG_S = 32.0
# Tokens of a stream that runs longer than that.
LONG_TOKENS = 4000


class GivenUpTests(unittest.TestCase):
    """Cut off or suspend processes while requests run."""

    def setUp(self):
        """Start two entries and one endpoint of each service."""
        self.simulation = small_simulation.build_simulation(endpoints=1)

    def _run(self, seconds):
        self.simulation.run_until(self.simulation.now + seconds)

    def _draft(self, tokens, entry='entry-1'):
        call = small_simulation.draft('d', tokens=tokens)
        return self.simulation.submit(call, entry)

    def _order(self, name, entry):
        call = small_simulation.order(name, key='k')
        return self.simulation.submit(call, entry)

    def _assert_whole(self, view):
        expected = endpoint_nodes.expected_response(view.call)
        self.assertEqual(view.outcome, 'completed')
        self.assertEqual(bytes(view.data), expected)

    def test_cancelled_stream_does_not_end_as_complete(self):
        """Guards against a stream of a suspended entry that ends early."""
        view = self._draft(LONG_TOKENS)
        self._run(1.0)
        entry = self.simulation.entries['entry-1']
        entry.freeze()
        self.simulation.partition('entry-1', f'{MODEL}-1')
        self._run(LONG_S)
        self.simulation.heal()
        entry.unfreeze()
        self._run(LONG_S)
        expected = endpoint_nodes.expected_response(view.call)
        self.assertTrue(expected.startswith(bytes(view.data)))
        self.assertEqual(view.outcome, 'unknown')

    def test_attached_request_ends_after_its_link_is_lost(self):
        """Guards against a repeated request that never gets an answer."""
        self.simulation.endpoints[f'{PLAIN}-1'].service_time_s = LONG_S
        self._order('a', 'entry-1')
        self._run(1.0)
        view = self._order('b', 'entry-2')
        self._run(7.0)
        self.simulation.partition('entry-2', f'{PLAIN}-1')
        self._run(2 * LONG_S)
        self.assertEqual(view.outcome, 'unknown')

    def test_attached_request_outlives_a_cut(self):
        """An attached request gets its answer after the link is back."""
        self.simulation.endpoints[f'{PLAIN}-1'].service_time_s = 12.0
        first = self._order('a', 'entry-1')
        self._run(1.0)
        view = self._order('b', 'entry-2')
        self._run(3.0)
        self.simulation.partition('entry-2', f'{PLAIN}-1')
        self._run(6.0)
        self.simulation.heal()
        self._run(10.0)
        self._assert_whole(first)
        self._assert_whole(view)

    def test_stream_outlives_a_list_without_its_endpoint(self):
        """Guards against a link that is closed while a stream needs it."""
        view = self._draft(800)
        self._run(1.0)
        self.simulation.partition('entry-1', f'{MODEL}-1')
        self._run(1.0)
        listed = self.simulation.instances()
        entry = self.simulation.entries['entry-1']
        entry.handle(
            entry_messages.InstancesListed(
                tuple(i for i in listed if i.service != MODEL)
            )
        )
        self._run(1.0)
        self.simulation.heal()
        self._run(LONG_S)
        self._assert_whole(view)

    def test_stream_outlives_changes_of_the_configuration(self):
        """Guards against changes that end what runs or waits."""
        views = [self._draft(400)]
        order = self._order('a', 'entry-2')
        for revision in range(2, 12):
            self._run(0.3)
            changed = dict(small_simulation.DECLARATIONS)
            if revision % 2:
                changed.update(classes=[], workspaces=['other'])
            document = json.dumps(changed).encode()
            for entry in self.simulation.entries.values():
                entry.handle(
                    entry_messages.ConfigurationReceived(revision, document)
                )
        self._run(20.0)
        for view in (*views, order):
            self._assert_whole(view)

    def test_offer_to_the_only_sidecar_outlives_its_silence(self):
        """Guards against refusals because the only sidecar is silent."""
        node = self.simulation.sidecars[f'{MODEL}-1']
        for silence_s in (0.3, 0.6, 0.8):
            with self.subTest(silence_s=silence_s):
                node.freeze()
                call = small_simulation.draft(f'd-{silence_s}')
                view = self.simulation.submit(call, 'entry-1')
                self._run(silence_s)
                node.unfreeze()
                self._run(5.0)
                self._assert_whole(view)

    def test_grant_outlives_a_silent_entry(self):
        """Guards against refusals because a grant was late."""
        order = self._order('a', 'entry-1')
        self.simulation.stall('entry-1', f'{PLAIN}-1', 'to_sidecar', 1.5)
        self._run(10.0)
        self._assert_whole(order)


class ReleaseTests(unittest.TestCase):
    """Replace endpoints by another version while an entry is out of step."""

    def setUp(self):
        """Start three entries and two endpoints of each service."""
        self.simulation = small_simulation.build_simulation(entries=3)
        self.views = []

    def _run(self, seconds):
        self.simulation.run_until(self.simulation.now + seconds)

    def _submit(self, count):
        for number in range(count):
            call = small_simulation.draft(f'd-{len(self.views)}', tokens=150)
            entry = f'entry-{number % 3 + 1}'
            self.views.append(self.simulation.submit(call, entry))

    def _replace(self, name, restart_sidecar):
        endpoint = self.simulation.endpoints[name]
        endpoint.version = b'v2-'
        endpoint.crash()
        if restart_sidecar:
            node = self.simulation.sidecars[name]
            node.kill()
            self.simulation.schedule(0.5, node.start)

    def _play(self, out_of_step, restart_sidecar):
        self._submit(12)
        self._run(0.3)
        entry = self.simulation.entries['entry-1']
        if out_of_step == 'suspended':
            entry.freeze()
        else:
            for name in self.simulation.sidecars:
                self.simulation.partition('entry-1', name)
        for number in (1, 2):
            self._replace(f'{MODEL}-{number}', restart_sidecar)
            self._run(1.5)
            self._submit(6)
        entry.unfreeze()
        self.simulation.heal()
        self._run(3.0)
        self._submit(6)
        self._run(60.0)

    def _find_mixed(self):
        """Return the streams that hold words of two versions."""
        mixed = []
        for view in self.views:
            expected = endpoint_nodes.expected_response(view.call)
            words = expected.split()
            replaced = b''.join(b'v2-' + word + b' ' for word in words)
            data = bytes(view.data)
            if not any(v.startswith(data) for v in (expected, replaced)):
                mixed.append(view)
            elif view.outcome == 'completed':
                if data not in (expected, replaced):
                    mixed.append(view)
        return mixed

    def test_no_stream_goes_on_at_another_version(self):
        """Guards against a stream that two versions of an engine write."""
        for out_of_step in ('suspended', 'cut off'):
            for restart_sidecar in (False, True):
                with self.subTest(
                    out_of_step=out_of_step, restart_sidecar=restart_sidecar
                ):
                    self.setUp()
                    self._play(out_of_step, restart_sidecar)
                    self.assertEqual(self._find_mixed(), [])
                    outcomes = {view.outcome for view in self.views}
                    self.assertNotIn('lost', outcomes)
                    self.assertIn('unknown', outcomes)
                    self.assertIn('completed', outcomes)
                    self.assertTrue(
                        any(
                            view.data.startswith(b'v2-') for view in self.views
                        )
                    )
