"""Find the version that began a stream, at fleets of every size."""

from __future__ import annotations

import random
import unittest

from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import groups
from persimmonroute.gateway import locality
from persimmonroute.gateway import peers
from persimmonroute.gateway import runners
from persimmonroute.gateway import stream_origins
from persimmonroute import timeouts
from standins import gateway_fixtures as fixtures

REGIONS = {
    'riga-a': 'riga',
    'riga-b': 'riga',
    'frankfurt-a': 'frankfurt',
    'frankfurt-b': 'frankfurt',
}
DOMAINS = tuple(REGIONS)
SIZES = (4, 68, 300)
DESK = fixtures.workspace()
BEGUN = stream_origins.Origin(fixtures.SERVICE, 'v1')
LONG_S = runners.VERSION_HISTORY_S + 1.0


class Fleet:
    """Exchange the messages of many gateways, in steps of 10 ms."""

    step_s = 0.01

    def __init__(self, count, loss_share=0.0, domains=DOMAINS):
        self.now = 100.0
        self.sent = 0
        self.silent = set()
        self.resolved = {}
        self._random = random.Random(count)
        self._loss_share = loss_share
        self._underway = []
        members = [
            groups.Member(f'g{n}', domains[n % len(domains)], 1.0)
            for n in range(count)
        ]
        self.gateways = {m.name: self._build(m, members) for m in members}
        self.registries = {}

    def _build(self, own, members):
        place = locality.Locality(
            own.failure_domain, REGIONS[own.failure_domain], REGIONS
        )
        known = peers.PeerRegistry(own.name, place)
        for member in members:
            known.update_peer(
                member.name, 'x:1', self.now, member.failure_domain, 1.0
            )
        registry = runners.RunnerRegistry()
        registry.apply([fixtures.runner('r1')], (), False, self.now)
        gateway = stream_origins.StreamOrigins(own, place, known, registry)
        gateway.registry = registry
        return gateway

    def pass_time(self, seconds):
        """Deliver messages and run the periodic work of all gateways."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.step_s
            underway, self._underway = self._underway, []
            for sender, receiver, message in underway:
                if receiver not in self.silent:
                    self.gateways[receiver].receive(sender, message, self.now)
            for name, gateway in self.gateways.items():
                if name not in self.silent:
                    gateway.tick(self.now)
                    self._collect(name, gateway)

    def begin(self, name, attempt, workspace=DESK, origin=BEGUN):
        """Begin a stream at a gateway, which then tells its keepers."""
        self.gateways[name].record_begun(workspace, attempt, origin, self.now)

    def break_off(self, name, attempt, workspace=DESK):
        """Break a stream off at a gateway."""
        self.gateways[name].record_broken_off(workspace, attempt)
        self._collect(name, self.gateways[name])

    def ask(self, name, attempt, workspace=DESK, pause_s=0.0):
        """Return the Origin that a gateway finds, or None.

        pause_s is how long the gateway then stands still.
        """
        gateway = self.gateways[name]
        question = gateway.ask(workspace, attempt, fixtures.SERVICE, self.now)
        self._collect(name, gateway)
        asked_at = self.now
        if pause_s:
            # Timers are due before the data that has arrived is read.
            self.now += pause_s
            gateway.tick(self.now)
            self._collect(name, gateway)
        while question not in self.resolved:
            self.pass_time(self.step_s)
        self.took_s = self.now - asked_at
        return self.resolved.pop(question)

    def _collect(self, name, gateway):
        for effect in gateway.take_effects():
            if isinstance(effect, stream_origins.Resolved):
                self.resolved[effect.question] = effect.origin
                continue
            self.sent += 1
            if self._random.random() >= self._loss_share:
                self._underway.append((name, effect.peer, effect.message))


class KnownStreamTests(unittest.TestCase):
    """Take streams up at gateways that never saw them begin."""

    def test_any_gateway_finds_a_stream(self):
        """It costs few messages, however many gateways there are."""
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.begin('g0', 'a1')
                fleet.pass_time(0.1)
                self.assertLessEqual(fleet.sent, stream_origins.KEEPERS)
                fleet.sent = 0
                for name in list(fleet.gateways)[:20]:
                    self.assertEqual(fleet.ask(name, 'a1'), BEGUN)
                most = 20 * 2 * stream_origins.MAX_ASKED
                self.assertLessEqual(fleet.sent, most)

    def test_stream_outlives_the_gateway_that_began_it(self):
        """Also if its failure domain is gone with it."""
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                for number in range(20):
                    fleet.begin('g0', f'a{number}')
                fleet.pass_time(0.1)
                fleet.silent = {
                    name
                    for number, name in enumerate(fleet.gateways)
                    if number % len(DOMAINS) == 0
                }
                for number in range(20):
                    self.assertEqual(fleet.ask('g1', f'a{number}'), BEGUN)

    def test_stream_outlives_its_gateway_in_one_failure_domain(self):
        """Guards against a gateway that is the only keeper of its stream."""
        for size in (2, 4):
            with self.subTest(size=size):
                fleet = Fleet(size, domains=DOMAINS[:1])
                for number in range(20):
                    fleet.begin('g0', f'a{number}')
                fleet.pass_time(0.1)
                fleet.silent = {'g0'}
                found = [fleet.ask('g1', f'a{n}') for n in range(20)]
                self.assertEqual(found, [BEGUN] * 20)

    def test_broken_stream_outlives_a_gateway_that_is_killed_at_once(self):
        """Guards against keepers that are told only at the next tick."""
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                fleet.begin('g0', 'a1')
                fleet.break_off('g0', 'a1')
                fleet.silent = {'g0'}
                fleet.pass_time(fleet.step_s)
                self.assertEqual(fleet.ask('g1', 'a1'), BEGUN)
                self.assertLess(fleet.took_s, stream_origins.GIVE_UP_AFTER_S)

    def test_lost_messages(self):
        """Questions are repeated; two keepers are seldom both missed."""
        fleet = Fleet(68, loss_share=0.1)
        for number in range(100):
            fleet.begin('g0', f'a{number}')
        fleet.pass_time(0.1)
        fleet.silent = {'g0'}
        found = [fleet.ask('g1', f'a{n}') for n in range(100)]
        self.assertGreaterEqual(found.count(BEGUN), 95)

    def test_gateway_that_stood_still_finds_a_stream(self):
        """Guards against replies that are given up before they are read."""
        for pause_s in (0.15, 0.19, 0.2, 0.25, 0.7, 5.0):
            with self.subTest(pause_s=pause_s):
                fleet = Fleet(4)
                fleet.begin('g0', 'a1')
                fleet.pass_time(0.1)
                found = fleet.ask('g3', 'a1', pause_s=pause_s)
                self.assertEqual(found, BEGUN)

    def test_stream_that_is_complete_at_once_costs_nothing(self):
        """Keepers are told only of streams that last."""
        fleet = Fleet(4)
        fleet.begin('g0', 'a1')
        fleet.gateways['g0'].record_complete(DESK, 'a1')
        fleet.pass_time(0.1)
        self.assertEqual(fleet.sent, 0)
        self.assertEqual(fleet.ask('g0', 'a1'), BEGUN)


class StandingStillTests(unittest.TestCase):
    """Ask for a stream, and stand still until after the limit."""

    def _stand_still(self, seconds):
        fleet = Fleet(4)
        fleet.begin('g0', 'a1')
        fleet.pass_time(0.1)
        gateway = fleet.gateways['g3']
        gateway._origins.clear()
        question = gateway.ask(DESK, 'a1', fixtures.SERVICE, fleet.now)
        fleet.silent = {'g3'}
        asked_at = fleet.now
        gateway.take_effects()
        fleet.pass_time(seconds)
        gateway.tick(fleet.now)
        return fleet, gateway, question, asked_at

    def test_reply_that_waits_is_read(self):
        """Guards against a stream that counts as unknown for a stand-still."""
        for seconds in (0.16, 0.19, 0.2, 0.21, 0.3, 1.8):
            with self.subTest(seconds=seconds):
                fleet, gateway, question, _ = self._stand_still(seconds)
                reply = messages.StreamReply(question.key, *BEGUN, (), False)
                gateway.receive('g0', reply, fleet.now)
                resolved = [
                    effect.origin
                    for effect in gateway.take_effects()
                    if isinstance(effect, stream_origins.Resolved)
                ]
                self.assertEqual(resolved, [BEGUN])

    def test_question_without_replies_ends_after_a_stand_still(self):
        """A stand-still postpones the end of a question once."""
        _, gateway, _, asked_at = self._stand_still(0.5)
        gateway.take_effects()
        gateway.tick(asked_at + 0.55 + timeouts.CATCH_UP_S)
        resolved = [
            effect.origin
            for effect in gateway.take_effects()
            if isinstance(effect, stream_origins.Resolved)
        ]
        self.assertEqual(resolved, [None])


class UnknownStreamTests(unittest.TestCase):
    """Ask for streams that nobody knows."""

    def test_silent_gateways_are_not_waited_for_long(self):
        """A gateway that is cut off refuses within a fifth of a second."""
        fleet = Fleet(4)
        fleet.pass_time(LONG_S)
        fleet.silent = {'g0', 'g1', 'g2'}
        self.assertIsNone(fleet.ask('g3', 'a1'))
        self.assertLessEqual(
            fleet.took_s, stream_origins.GIVE_UP_AFTER_S + 0.05
        )

    def test_gateway_that_is_always_slow_keeps_the_limit(self):
        """It refuses after one extension, however late each tick is."""
        fleet = Fleet(4)
        fleet.silent = {'g0', 'g1', 'g2'}
        fleet.step_s = 1.5 * stream_origins.MAX_TICK_PAUSE_S
        self.assertIsNone(fleet.ask('g3', 'a1'))
        most_s = stream_origins.GIVE_UP_AFTER_S + timeouts.CATCH_UP_S
        self.assertLessEqual(fleet.took_s, most_s + 2 * fleet.step_s)

    def test_only_version_since_before_the_stream_began(self):
        """Without any other version the origin is certain."""
        fleet = Fleet(4)
        self.assertIsNone(fleet.ask('g3', 'a1'))
        fleet.pass_time(LONG_S)
        self.assertEqual(fleet.ask('g3', 'a1'), BEGUN)
        self.assertEqual(fleet.ask('g3', None), BEGUN)

    def test_version_that_one_gateway_saw_come_and_go(self):
        """Nothing is certain until it is long gone."""
        fleet = Fleet(4)
        fleet.pass_time(LONG_S)
        registry = fleet.gateways['g1'].registry
        late = fixtures.runner('r2', version='v2')
        registry.apply([late], (), False, fleet.now)
        registry.apply((), ['r2'], False, fleet.now)
        self.assertIsNone(fleet.ask('g3', 'a1'))
        fleet.pass_time(LONG_S)
        self.assertEqual(fleet.ask('g3', 'a1'), BEGUN)

    def test_gateway_of_which_nothing_is_heard(self):
        """It may have begun the stream at a version that others missed."""
        fleet = Fleet(4)
        fleet.pass_time(LONG_S)
        fleet.silent = {'g1'}
        self.assertIsNone(fleet.ask('g3', 'a1'))

    def test_stream_of_another_workspace(self):
        """A name that a caller guesses leads to nothing."""
        fleet = Fleet(4)
        fleet.begin('g0', 'a1')
        other = fixtures.workspace('other', 'key-2')
        self.assertIsNone(fleet.ask('g0', 'a1', other))
        self.assertIsNone(fleet.ask('g1', 'a1', other))

    def test_invented_names_grow_nothing(self):
        """Streams and questions are bounded."""
        fleet = Fleet(4)
        gateway = fleet.gateways['g0']
        for number in range(stream_origins.MAX_QUESTIONS + 10):
            gateway.ask(DESK, f'x{number}', fixtures.SERVICE, fleet.now)
        refused = [
            effect
            for effect in gateway.take_effects()
            if isinstance(effect, stream_origins.Resolved)
        ]
        self.assertEqual(len(refused), 10)
        for number in range(stream_origins.MAX_STREAMS + 10):
            begun = messages.StreamBegun(number + 1, *BEGUN)
            gateway.receive('g1', begun, fleet.now)
        self.assertEqual(len(gateway._origins), stream_origins.MAX_STREAMS)
        later = fleet.now + stream_origins.STREAM_LIFE_S + 1.0
        gateway.record_begun(DESK, 'last', BEGUN, later)
        self.assertEqual(len(gateway._origins), 1)
