"""Play loads on endpoints that name limits, without a network."""

from __future__ import annotations

import typing
import unittest

from persimmonroute.gateway import endpoint_limits
from persimmonroute import pacing
from standins import admission_simulation as simulations
from standins import gateway_fixtures as fixtures
from standins import windows

WINDOW_S = 4.0
# What the operators tolerate in a window beyond the limit.
TOLERATED_SHARE = 1.5
TOLERATED_REQUESTS = 5
# What is not planned to be used up: requests in a window beyond the limit.
PLANNED_REQUESTS = 2
# Time in which all gateways hear of a limit.
NOTICE_S = 1.0
PLAY_S = 12.0
# Share of what an endpoint named that it gets at least under a high load.
LEAST_SHARE = 0.75


class Case(typing.NamedTuple):
    """Describe a fleet, and how many of its endpoints name which limit."""

    gateways: int
    endpoints: int
    limited: int
    limit_per_s: float


CASES = (
    Case(1, 6, 2, 3.2),
    Case(4, 6, 1, 1.1),
    Case(4, 6, 6, 0.3),
    Case(4, 6, 6, 0.0),
    Case(68, 18, 6, 1.1),
    Case(68, 18, 18, 30.0),
    Case(300, 18, 6, 3.2),
    Case(300, 18, 18, 0.3),
)


def _loads(endpoints, factor=2.0):
    """Return three tiers of work that are more than the endpoints serve."""
    scale = endpoints * factor
    return [
        simulations.Load('digest', 0, 4.6 * scale, 2890, 54, 0.5, 4.0),
        simulations.Load('brief', 1, 5.6 * scale, 1800, 24, 0.5, 3.0),
        simulations.Load('draft', 2, 1.4 * scale, 543, 282, 0.4, 12),
    ]


def _build(case, factor=2.0):
    simulation = simulations.AdmissionSimulation(
        case.gateways, case.endpoints, _loads(case.endpoints, factor)
    )
    for engine in limited_engines(simulation, case):
        engine.limit_per_s = case.limit_per_s
    return simulation


def limited_engines(simulation, case):
    """Return the endpoints that name a limit."""
    return list(simulation.engines.values())[: case.limited]


def arrivals_since(engine, since, until=float('inf')):
    """Return when requests arrived in an interval."""
    return [at for at, _ in engine.arrivals if since <= at < until]


class NamedLimitLoadTests(unittest.TestCase):
    """Play more than the endpoints serve, while some name limits."""

    def test_limit_holds_in_every_window_and_is_used(self):
        """Arrivals stay at the limit for fleets of every size."""
        for case in CASES:
            with self.subTest(case=case):
                self._check(case)

    def _check(self, case):
        simulation = _build(case)
        begin = simulation.now
        simulation.play(PLAY_S, drain_s=0.0)
        rate = max(case.limit_per_s, pacing.MIN_PER_S)
        burst = max(1.0, rate / 4)
        for engine in limited_engines(simulation, case):
            arrivals = arrivals_since(engine, begin + NOTICE_S)
            self.assertLessEqual(
                windows.most_in_window(arrivals, WINDOW_S),
                rate * WINDOW_S + burst + PLANNED_REQUESTS,
            )
            # At 30 a second the slots are the limit.
            if case.limit_per_s < 10:
                expected = rate * (PLAY_S - NOTICE_S)
                self.assertGreaterEqual(
                    len(arrivals), int(LEAST_SHARE * expected)
                )

    def test_other_endpoints_serve_the_rest(self):
        """Nothing is refused while the other endpoints have free slots."""
        case = Case(68, 18, 6, 1.1)
        simulation = _build(case, factor=0.8)
        simulation.play(PLAY_S)
        for route in ('digest', 'brief', 'draft'):
            self.assertNotIn('refused', simulation.shares(route))
            self.assertNotIn('lost', simulation.shares(route))

    def test_scarce_requests_go_to_the_highest_tier(self):
        """While all endpoints name a limit, the lowest tier yields."""
        case = Case(4, 6, 6, 3.2)
        simulation = _build(case)
        begin = simulation.now
        simulation.play(PLAY_S, drain_s=12.0)
        served = {}
        for outcome in simulation.outcomes:
            if outcome.arrived_at < begin + NOTICE_S:
                continue
            counts = served.setdefault(outcome.load.tier, [0, 0])
            counts[0] += outcome.status in ('on time', 'late')
            counts[1] += 1
        shares = {tier: s / n for tier, (s, n) in served.items()}
        self.assertGreater(shares[0], shares[2])
        self.assertGreaterEqual(shares[0], 0.25)

    def test_refusal_is_early_and_says_when_to_come_back(self):
        """Callers do not wait for what the limits do not allow."""
        case = Case(4, 6, 6, 1.1)
        simulation = _build(case)
        begin = simulation.now
        simulation.play(PLAY_S)
        refused = [
            outcome
            for outcome in simulation.outcomes
            if outcome.status == 'refused'
            and outcome.arrived_at > begin + NOTICE_S
        ]
        self.assertTrue(refused)
        for outcome in refused:
            self.assertGreater(outcome.retry_after_s, 0)
        waits = sorted(o.ended_at - o.arrived_at for o in refused)
        self.assertLess(waits[len(waits) // 2], 0.25)
        self.assertLess(waits[-1], 2.5)


class ChangingLimitTests(unittest.TestCase):
    """Change limits, and lose the host that keeps to them."""

    def setUp(self):
        """Prepare a fleet in which one endpoint is limited."""
        self.case = Case(8, 6, 1, 3.2)
        self.simulation = _build(self.case)
        self.engine = limited_engines(self.simulation, self.case)[0]
        self.begin = self.simulation.now

    def _check_tolerance(self, limit_per_s, since, until=float('inf')):
        arrivals = arrivals_since(self.engine, since, until)
        self.assertLessEqual(
            windows.most_in_window(arrivals, WINDOW_S),
            TOLERATED_SHARE * limit_per_s * WINDOW_S + TOLERATED_REQUESTS,
        )
        return arrivals

    def _set_limit(self, limit_per_s):
        self.engine.limit_per_s = limit_per_s

    def test_limit_that_falls_and_rises(self):
        """Each limit is in force within a second of its naming."""
        self.simulation.after(6.0, self._set_limit, 1.1)
        self.simulation.after(14.0, self._set_limit, 8.0)
        self.simulation.after(20.0, self._set_limit, endpoint_limits.UNLIMITED)
        self.simulation.play(26.0)
        start = self.begin
        self._check_tolerance(3.2, start + 1, start + 6)
        # The first response that names 1.1 may take a while at that rate.
        self._check_tolerance(1.1, start + 7.5, start + 14)
        risen = self._check_tolerance(8.0, start + 15.5, start + 20)
        self.assertGreaterEqual(len(risen), LEAST_SHARE * 8.0 * 4.5 * 0.75)
        lifted = arrivals_since(self.engine, start + 21, start + 26)
        self.assertGreaterEqual(len(lifted), 50)

    def test_host_that_is_lost(self):
        """The next host keeps to the limit from its first grant."""

        def kill_host():
            for gateway in self.simulation.gateways.values():
                if gateway.host.groups and gateway.alive:
                    gateway.alive = False

        self.simulation.after(5.0, kill_host)
        self.simulation.play(14.0)
        arrivals = self._check_tolerance(3.2, self.begin + NOTICE_S)
        self.assertGreaterEqual(len(arrivals), LEAST_SHARE * 3.2 * 13.0)

    def test_host_that_is_paused_and_wakes_up(self):
        """A host that wakes up grants nothing on top of its successor."""
        hosts = []

        def pause_hosts():
            for gateway in self.simulation.gateways.values():
                if gateway.host.groups:
                    gateway.paused = True
                    hosts.append(gateway)

        def resume_hosts():
            for gateway in hosts:
                gateway.resume()

        self.simulation.after(5.0, pause_hosts)
        self.simulation.after(8.0, resume_hosts)
        self.simulation.play(16.0)
        self._check_tolerance(3.2, self.begin + NOTICE_S)

    def test_host_that_is_cut_off_in_one_direction(self):
        """A host that hears offers but is not heard grants little."""

        def cut():
            names = list(self.simulation.gateways)
            for gateway in self.simulation.gateways.values():
                if gateway.host.groups:
                    self.simulation.cuts |= {
                        (gateway.name, other) for other in names
                    }

        self.simulation.after(5.0, cut)
        self.simulation.after(10.0, self.simulation.cuts.clear)
        self.simulation.play(16.0)
        self._check_tolerance(3.2, self.begin + NOTICE_S)

    def test_sides_of_a_partition_share_the_limit(self):
        """Two halves of the gateways together stay at the limit."""

        def split():
            gateways = list(self.simulation.gateways.values())
            halves = gateways[::2], gateways[1::2]
            for one, other in (halves, halves[::-1]):
                self.simulation.cuts |= {
                    (a.name, b.name) for a in one for b in other
                }
            for gateway in gateways:
                gateway.runner_registry.limits.reporting_share = 0.5

        self.simulation.after(4.0, split)
        self.simulation.play(16.0)
        self._check_tolerance(3.2, self.begin + NOTICE_S)


class EndpointLimitsTests(unittest.TestCase):
    """Record and exchange what endpoints name."""

    def setUp(self):
        """Start without a limit."""
        self.limits = endpoint_limits.EndpointLimits()
        self.runner = fixtures.runner('r1')

    def test_response_that_was_overtaken_lifts_nothing(self):
        """Only a request sent after the last naming can lift a limit."""
        self.limits.record(self.runner, 3.2, 0.0, 1.0)
        self.limits.record(self.runner, endpoint_limits.UNLIMITED, 0.9, 1.1)
        self.assertEqual(self.limits.find_rate(self.runner), 3.2)
        self.limits.record(self.runner, endpoint_limits.UNLIMITED, 1.1, 1.2)
        self.assertEqual(
            self.limits.find_rate(self.runner), endpoint_limits.UNLIMITED
        )

    def test_limit_is_of_one_incarnation(self):
        """An endpoint that starts again has no limit yet."""
        self.limits.record(self.runner, 3.2, 0.0, 1.0)
        again = fixtures.runner('r1', started_at_ms=2)
        self.assertEqual(
            self.limits.find_rate(again), endpoint_limits.UNLIMITED
        )

    def test_newest_news_wins(self):
        """A late report does not bring back a limit that was lifted."""
        other = endpoint_limits.EndpointLimits()
        other.record(self.runner, 3.2, 0.0, 1.0)
        late = other.report(1.0)
        self.limits.learn(late, 1.0)
        self.assertEqual(self.limits.find_rate(self.runner), 3.2)
        self.limits.record(self.runner, endpoint_limits.UNLIMITED, 1.5, 2.0)
        self.limits.learn([r._replace(age_s=2.0) for r in late], 3.0)
        self.assertEqual(
            self.limits.find_rate(self.runner), endpoint_limits.UNLIMITED
        )
        other.learn(self.limits.report(2.5), 2.5)
        self.assertEqual(
            other.find_rate(self.runner), endpoint_limits.UNLIMITED
        )

    def test_state_is_bounded(self):
        """Endpoints that come and go leave nothing behind for ever."""
        for number in range(endpoint_limits.MAX_ENDPOINTS + 10):
            runner = fixtures.runner(f'r{number}')
            self.limits.record(runner, 1.0, 0.0, 1.0)
        reports = self.limits.report(1.0)
        self.assertEqual(len(reports), endpoint_limits.MAX_REPORTED)
        first = fixtures.runner('r0')
        self.assertEqual(
            self.limits.find_rate(first), endpoint_limits.UNLIMITED
        )
