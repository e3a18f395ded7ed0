"""Play unequal, shared machines without a network.

Each load is played with the decisions for services whose endpoints report the
cost of work, and with those for services that do not.
"""

from __future__ import annotations

import typing
import unittest

from standins import shared_machines as machines

GATEWAYS = 4
ENDPOINTS = 14
PLAY_S = 12.0
# Time in which the sizes and the speeds are learned.
LEARNING_S = 3.0
SEEDS = (1, 2, 3)
# The plays of one load differ by this much in the share on time.
NOISE = 0.02
# Share of the largest tenth that may be refused beyond that of all.
LARGE_SLACK = 0.05


class Case(typing.NamedTuple):
    """Describe a load, and what it gains at least in the share on time."""

    load_share: float
    gain: float


CASES = (Case(0.85, 0.03), Case(1.1, 0.06))
# Growth of times with each other request; at 1 the requests share a speed.
GROWTHS = (0.05, 0.3)


class Result(typing.NamedTuple):
    """Store what callers got in all plays of a load."""

    every: machines.Shares
    large: machines.Shares
    top: machines.Shares


def _play(load_share, reports_cost, seed=1, growth=1.0, prepare=None):
    simulation = machines.SharedMachineSimulation(
        GATEWAYS, ENDPOINTS, load_share, reports_cost, seed, growth
    )
    if prepare is not None:
        prepare(simulation)
    begin = simulation.now
    simulation.play(PLAY_S)
    return simulation, begin + LEARNING_S


def _mean(shares):
    values = zip(*shares, strict=True)
    return machines.Shares(*(sum(v) / len(v) for v in values))


def _play_all(load_share, reports_cost):
    results = []
    for seed in SEEDS:
        simulation, since = _play(load_share, reports_cost, seed)
        large = simulation.find_large()
        results.append(
            Result(
                simulation.find_shares(since),
                simulation.find_shares(since, least_tokens=large),
                simulation.find_shares(since, tier=0),
            )
        )
    return Result(*(_mean(shares) for shares in zip(*results, strict=True)))


class SharedMachineLoadTests(unittest.TestCase):
    """Compare what callers get with and without reported cost."""

    @classmethod
    def setUpClass(cls):
        """Play each load both ways, once for all tests."""
        cls.results = {
            case: (
                _play_all(case.load_share, False),
                _play_all(case.load_share, True),
            )
            for case in CASES
        }

    def test_more_callers_are_served_on_time(self):
        """Guards against decisions that the load is better off without."""
        for case, (before, after) in self.results.items():
            with self.subTest(load_share=case.load_share):
                self.assertGreaterEqual(
                    after.every.on_time, before.every.on_time + case.gain
                )
                self.assertGreater(after.top.on_time, before.top.on_time)

    def test_fewer_are_late_and_few_refused(self):
        """Guards against a gain that consists of refusals."""
        for case, (before, after) in self.results.items():
            with self.subTest(load_share=case.load_share):
                self.assertLess(after.every.late, before.every.late)
                # What the endpoints cannot serve has to be refused.
                excess = max(1 - 1 / case.load_share, 0.0)
                self.assertLessEqual(after.every.refused, excess + NOISE)
                self.assertEqual(after.every.lost, 0.0)

    def test_largest_tenth_keeps_its_share(self):
        """Guards against large requests that pay for the small ones."""
        for case, (before, after) in self.results.items():
            with self.subTest(load_share=case.load_share):
                self.assertGreaterEqual(
                    after.large.on_time, before.large.on_time
                )
                self.assertLessEqual(
                    after.large.refused, after.every.refused + LARGE_SLACK
                )


class OtherEngineLoadTests(unittest.TestCase):
    """Play engines that run requests side by side."""

    def test_engines_whose_slots_are_nearly_independent(self):
        """Guards against slots that idle for a wrong belief in sharing."""
        for growth in GROWTHS:
            with self.subTest(growth=growth):
                shares = []
                for reports_cost in (False, True):
                    simulation, since = _play(
                        0.85, reports_cost, growth=growth
                    )
                    shares.append(simulation.find_shares(since))
                before, after = shares
                self.assertGreaterEqual(after.on_time, before.on_time - NOISE)
                self.assertLessEqual(after.refused, before.refused + NOISE)


class FailureLoadTests(unittest.TestCase):
    """Lose hosts, and give false figures, while the load lasts."""

    def _compare(self, prepare):
        """Return the shares on time without and with reported cost."""
        shares = []
        for reports_cost in (False, True):
            simulation, since = _play(0.85, reports_cost, prepare=prepare)
            shares.append(simulation.find_shares(since).on_time)
        return shares

    def test_lost_host(self):
        """Guards against a new host that knows nothing of the endpoints."""

        def kill_hosts(simulation):
            def kill():
                for gateway in simulation.gateways.values():
                    if gateway.host.groups:
                        gateway.alive = False
                        return

            simulation.after(5.0, kill)

        before, after = self._compare(kill_hosts)
        self.assertGreaterEqual(after, before - NOISE)

    def test_endpoints_that_report_falsely(self):
        """Guards against figures that are believed against the evidence."""

        def report_falsely(simulation):
            for engine in list(simulation.engines.values())[::4]:
                engine.false_cost_percent = 250

        before, after = self._compare(report_falsely)
        self.assertGreaterEqual(after, before)

    def test_slow_endpoints_are_not_starved(self):
        """Guards against endpoints that idle because they were slow."""
        simulation, _ = _play(1.1, True)
        for engine in simulation.engines.values():
            self.assertGreater(engine.busy_s, 0.6 * PLAY_S)
