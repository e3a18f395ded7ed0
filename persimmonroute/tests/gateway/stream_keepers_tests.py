"""Take streams up after the gateways that knew them stopped in turn."""

from __future__ import annotations

import asyncio
import collections
import time
import unittest

from persimmonroute.gateway import peers
from persimmonroute.gateway import stream_origins
from persimmonroute.tests.gateway import stream_origins_tests as origins
from persimmonroute.tests.gateway import stream_version_tests as versions
from standins import gateway_deployment as deployments

BEGUN = origins.BEGUN
STREAMS = 16
SETTLE_S = 0.8
# Of the gateways under test: grace period, and the end of their requests.
GRACE_S = 5
# Longer than a stop: the streams are cut off.
EVENTS = 75
EVENT_PAUSE_S = 0.12
TIMEOUT_MS = 12_000


class RestartingFleet(origins.Fleet):
    """Let gateways stop and start again, and tell the others."""

    def __init__(self, count, **options):
        super().__init__(count, **options)
        self._sequences = collections.Counter()
        self._incarnations = dict.fromkeys(self.gateways, 1)
        self._domains = {
            name: gateway._own.failure_domain
            for name, gateway in self.gateways.items()
        }
        self.stopping = set()
        self.report()

    def report(self):
        """Let each gateway that is not silent report to all others."""
        for sender in self.gateways.keys() - self.silent:
            self._sequences[sender] += 1
            report = peers.PeerReport(
                name=sender,
                incarnation=self._incarnations[sender],
                sequence=self._sequences[sender],
                in_flight={},
                waiting={},
                used={},
                stopping=sender in self.stopping,
            )
            for name in self.gateways.keys() - self.silent - {sender}:
                self.gateways[name]._peers.apply_report(report, self.now)

    def pass_time(self, seconds):
        """Report about every 0.3 s."""
        while seconds > 0:
            super().pass_time(min(seconds, 0.29))
            self.report()
            seconds -= 0.29

    def stop(self, name):
        """Begin the planned stop of a gateway."""
        self.stopping.add(name)
        self.report()

    def restart(self, name):
        """Start a gateway again that knows nothing."""
        members = [
            origins.groups.Member(n, self._domains[n], 1.0)
            for n in self.gateways
        ]
        own = next(m for m in members if m.name == name)
        self.gateways[name] = self._build(own, members)
        self._incarnations[name] += 1
        self.stopping.discard(name)
        self.silent.discard(name)
        self.report()

    def stop_and_restart(self, name, stop_s=1.0):
        """Stop a gateway as planned, and start it again."""
        self.stop(name)
        self.pass_time(stop_s)
        self.silent.add(name)
        self.pass_time(0.5)
        self.restart(name)
        self.pass_time(0.5)


class KeeperTests(unittest.TestCase):
    """Guard against streams that nobody knows after planned stops."""

    def _begin_at_the_first(self, size):
        """Return a fleet whose first gateway has told its open streams."""
        fleet = RestartingFleet(size)
        for number in range(STREAMS):
            fleet.begin('g0', f'a{number}')
        fleet.pass_time(0.1)
        return fleet

    def test_only_other_gateway_stops_as_the_streams_begin(self):
        """It is told of them once it is back, before the first one stops."""
        fleet = RestartingFleet(2)
        fleet.stop('g0')
        for number in range(STREAMS):
            fleet.begin('g1', f'a{number}')
        fleet.pass_time(1.0)
        fleet.silent.add('g0')
        fleet.pass_time(0.5)
        fleet.restart('g0')
        fleet.pass_time(0.5)
        fleet.stop('g1')
        fleet.pass_time(0.5)
        fleet.silent.add('g1')
        found = [fleet.ask('g0', f'a{n}') for n in range(STREAMS)]
        self.assertEqual(found, [BEGUN] * STREAMS)

    def test_all_others_stop_in_turn(self):
        """Keepers that are replaced are told again, in fleets of any size."""
        for size in (2, 4, 12):
            with self.subTest(size=size):
                fleet = self._begin_at_the_first(size)
                for name in list(fleet.gateways)[1:]:
                    fleet.stop_and_restart(name)
                fleet.silent.add('g0')
                found = [fleet.ask('g1', f'a{n}') for n in range(STREAMS)]
                self.assertEqual(found, [BEGUN] * STREAMS)

    def test_keepers_are_killed_and_start_again_at_once(self):
        """A start that knows nothing is told from the one before."""
        for size in (2, 4, 68):
            with self.subTest(size=size):
                fleet = self._begin_at_the_first(size)
                for name in list(fleet.gateways)[1:]:
                    fleet.restart(name)
                fleet.pass_time(0.5)
                fleet.silent.add('g0')
                found = [fleet.ask('g1', f'a{n}') for n in range(STREAMS)]
                self.assertEqual(found, [BEGUN] * STREAMS)

    def test_keepers_are_killed_and_stay_away(self):
        """Streams are told to gateways that respond."""
        for size in (4, 12):
            with self.subTest(size=size):
                fleet = RestartingFleet(size)
                fleet.silent = {f'g{n}' for n in range(1, size - 1)}
                fleet.pass_time(2.0)
                for number in range(STREAMS):
                    fleet.begin('g0', f'a{number}')
                fleet.pass_time(0.1)
                fleet.silent.add('g0')
                asked = f'g{size - 1}'
                found = [fleet.ask(asked, f'a{n}') for n in range(STREAMS)]
                self.assertEqual(found, [BEGUN] * STREAMS)

    def test_any_two_gateways_are_killed_at_once(self):
        """Guards against a gateway that counts as a keeper of its streams."""
        for size in (3, 4, 12):
            for second in range(1, size):
                with self.subTest(size=size, second=second):
                    fleet = self._begin_at_the_first(size)
                    fleet.silent = {'g0', f'g{second}'}
                    asked = 'g2' if second == 1 else 'g1'
                    found = [fleet.ask(asked, f'a{n}') for n in range(STREAMS)]
                    self.assertEqual(found, [BEGUN] * STREAMS)

    def test_stream_that_begins_at_a_gateway_that_stops(self):
        """Its keepers are other gateways, however short it lasts."""
        for size in (2, 4, 68):
            with self.subTest(size=size):
                fleet = RestartingFleet(size)
                fleet.stop('g0')
                for number in range(STREAMS):
                    fleet.begin('g0', f'a{number}')
                fleet.pass_time(0.1)
                fleet.silent.add('g0')
                found = [fleet.ask('g1', f'a{n}') for n in range(STREAMS)]
                self.assertEqual(found, [BEGUN] * STREAMS)

    def test_gateway_that_stops_is_asked(self):
        """It may know streams of which all messages were lost."""
        fleet = RestartingFleet(2)
        fleet.stop('g0')
        fleet.gateways['g0'].record_begun(origins.DESK, 'a1', BEGUN, fleet.now)
        fleet.gateways['g0']._open.remove(
            stream_origins.find_key(origins.DESK, 'a1')
        )
        self.assertEqual(fleet.ask('g1', 'a1'), BEGUN)

    def test_gateway_that_has_stopped_delays_nothing(self):
        """Only one that still responds is asked."""
        fleet = RestartingFleet(2)
        fleet.stop('g0')
        fleet.silent.add('g0')
        fleet.pass_time(origins.LONG_S)
        self.assertEqual(fleet.ask('g1', 'a1'), BEGUN)
        self.assertLess(fleet.took_s, stream_origins.GIVE_UP_AFTER_S / 2)

    def test_stream_that_was_taken_up_is_kept_as_well(self):
        """The gateway that goes on with it tells keepers under its name."""
        fleet = RestartingFleet(3)
        fleet.begin('g0', 'a1')
        fleet.pass_time(0.1)
        fleet.break_off('g0', 'a1')
        fleet.pass_time(0.1)
        self.assertEqual(fleet.ask('g1', 'a1'), BEGUN)
        fleet.begin('g1', 'a1')
        fleet.pass_time(0.1)
        for name in ('g0', 'g2'):
            fleet.stop_and_restart(name)
        fleet.silent.add('g1')
        self.assertEqual(fleet.ask('g2', 'a1'), BEGUN)


class CostTests(unittest.TestCase):
    """Count the messages about open streams."""

    def test_restart_concerns_the_streams_of_one_keeper(self):
        """A fleet that restarts in turn sends few messages."""
        fleet = RestartingFleet(300)
        count = 100
        for number in range(count):
            fleet.begin('g0', f'a{number}')
        fleet.pass_time(0.1)
        self.assertLessEqual(fleet.sent, stream_origins.KEEPERS * count)
        fleet.sent = 0
        for number in range(1, 11):
            fleet.restart(f'g{number}')
            fleet.pass_time(0.3)
        self.assertLess(fleet.sent, count)

    def test_streams_that_have_ended_cost_nothing(self):
        """Nobody is told of them again, and nothing grows."""
        fleet = RestartingFleet(4)
        for number in range(100):
            fleet.begin('g0', f'a{number}')
        fleet.pass_time(0.1)
        gateway = fleet.gateways['g0']
        for number in range(50):
            gateway.record_complete(origins.DESK, f'a{number}')
            fleet.break_off('g0', f'a{number + 50}')
        self.assertEqual(len(gateway._open), 0)
        fleet.pass_time(0.1)
        fleet.sent = 0
        for name in ('g1', 'g2', 'g3'):
            fleet.restart(name)
            fleet.pass_time(0.3)
        self.assertEqual(fleet.sent, 0)
        fleet.break_off('g0', 'a50')
        self.assertEqual(fleet.sent, 0)


class PlannedStopTests(unittest.IsolatedAsyncioTestCase):
    """Stop two gateways in turn while two versions serve."""

    async def asyncSetUp(self):
        """Start two gateways, and endpoints of two versions."""
        self.deployment = deployments.GatewayDeployment(
            4, 2, stop_grace_s=GRACE_S
        )
        self.addAsyncCleanup(self.deployment.stop)
        for number, runner in enumerate(self.deployment.runners):
            runner.version = ('v1', 'v2')[number % 2]
            runner.event_count = EVENTS
            runner.event_pause_s = EVENT_PAUSE_S
        await self.deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            route['TimeoutMs'] = TIMEOUT_MS
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=STREAMS)
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(SETTLE_S)

    async def _call(self, gateway, attempt, *headers):
        return await self.deployment.call(
            '/resume/x',
            gateway=gateway,
            headers=(versions.STREAM, *headers),
            attempt=attempt,
            remaining_ms=TIMEOUT_MS,
        )

    async def test_streams_go_on_after_planned_stops_in_turn(self):
        """Guards against streams that only the stopped gateways knew.

        They begin while the other gateway stops, and are cut off by the stop
        of their own.
        """
        first = asyncio.create_task(self.deployment.stop_gateway(0))
        await asyncio.sleep(0.2)
        streams = [
            asyncio.create_task(self._call(1, f's{n}')) for n in range(STREAMS)
        ]
        await first
        await self.deployment.add_gateway()
        await asyncio.sleep(SETTLE_S)
        stopped_at = time.monotonic()
        second = asyncio.create_task(self.deployment.stop_gateway(1))
        begun = await asyncio.gather(*streams)
        cut_after_s = time.monotonic() - stopped_at
        self.assertFalse(second.done())
        await second
        self.assertGreater(cut_after_s, GRACE_S * 0.7)
        for response in begun:
            self.assertEqual(response.status, 200)
            self.assertFalse(response.complete)
            self.assertTrue(response.body.endswith(b'\n\n'), response.body)
        rests = await asyncio.gather(
            *(
                self._call(
                    2,
                    f't{n}',
                    ('last-event-id', versions.last_event_id(response.body)),
                    ('resumes', f's{n}'),
                )
                for n, response in enumerate(begun)
            )
        )
        self.assertEqual([r.status for r in rests], [200] * STREAMS)
        for response, rest in zip(begun, rests, strict=True):
            bodies = response.body, rest.body
            self.assertTrue(rest.complete)
            self.assertEqual(len(versions.versions_of(*bodies)), 1)
            self.assertEqual(b''.join(bodies).count(b'id: '), EVENTS)
