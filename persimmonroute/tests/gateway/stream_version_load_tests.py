"""Play crashes while endpoints of several versions serve."""

from __future__ import annotations

import unittest

from standins import admission_simulation as simulations

ENGINES = 12
PLAY_S = 10.0
# Long streams, so that a crash breaks many off after their first event.
DRAFT = simulations.Load('draft', 1, 3.5, 543, 282, 0.4, 12.0)
BRIEF = simulations.Load('brief', 0, 4.0, 1800, 60, 0.5, 3.0)


class MixedVersionTests(unittest.TestCase):
    """Crash endpoints one by one under a load that nearly fills them."""

    def _build(self, gateways, versions):
        loads = [
            load._replace(per_s=load.per_s * ENGINES)
            for load in (DRAFT, BRIEF)
        ]
        simulation = simulations.AdmissionSimulation(gateways, ENGINES, loads)
        records = []
        for number, engine in enumerate(simulation.engines.values()):
            engine.record = engine.record._replace(
                version=versions[number % len(versions)]
            )
            records.append(engine.record)
        for gateway in simulation.gateways.values():
            gateway.runner_registry.apply(records, (), False, simulation.now)
        return simulation

    def _play(self, simulation, successors):
        """Replace endpoints one after the other by those of a version."""
        for number, version in enumerate(successors):
            simulation.after(
                1.0 + number * 0.7,
                simulation.replace_engine,
                f'r{number}',
                f's{number}',
                version,
            )
        simulation.play(PLAY_S, drain_s=12.0)
        outcomes = simulation.outcomes
        for outcome in outcomes:
            self.assertLessEqual(len(set(outcome.versions)), 1, outcome)
        return outcomes

    def _check_share_that_goes_on(self, outcomes, least=0.5):
        broken = [o for o in outcomes if o.breaks]
        new = [o for o in outcomes if not o.breaks]
        self.assertGreater(len(broken), 10)
        went_on = sum(o.status in ('on time', 'late') for o in broken)
        begun = sum(o.status in ('on time', 'late') for o in new)
        self.assertGreaterEqual(
            went_on / len(broken), least * begun / len(new)
        )

    def test_half_of_the_endpoints_have_another_version(self):
        """At fleets of every size broken streams go on."""
        for gateways in (4, 68, 300):
            with self.subTest(gateways=gateways):
                simulation = self._build(gateways, ('v1', 'v2'))
                outcomes = self._play(
                    simulation, ('v1', 'v2') * (ENGINES // 4)
                )
                self._check_share_that_goes_on(outcomes, 0.9)

    def test_release_with_crashes(self):
        """Streams go on while endpoints of their version are left."""
        simulation = self._build(8, ('v1',))
        outcomes = self._play(simulation, ('v2',) * (ENGINES - 4))
        self._check_share_that_goes_on(outcomes, 0.9)

    def test_endpoint_that_alternates_versions(self):
        """Each start of an endpoint has its own version."""
        simulation = self._build(8, ('v1', 'v1', 'v2'))
        for name in ('r1', 'r2', 'r4'):
            for number in range(8):
                simulation.after(
                    1.0 + number,
                    simulation.replace_engine,
                    f'{name}-{number}' if number else name,
                    f'{name}-{number + 1}',
                    ('v2', 'v1')[number % 2],
                    0.2,
                )
        outcomes = self._play(simulation, ())
        self._check_share_that_goes_on(outcomes)

    def test_last_endpoint_of_a_version(self):
        """Without another one, its streams end at once."""
        simulation = self._build(8, ('v2',))
        engine = simulation.engines['r0']
        engine.record = engine.record._replace(version='v1')
        for gateway in simulation.gateways.values():
            gateway.runner_registry.apply(
                [engine.record], (), False, simulation.now
            )
        outcomes = self._play(simulation, ('v2',))
        ended = [o for o in outcomes if o.breaks and o.versions == ('v1',)]
        self.assertTrue(ended)
        for outcome in ended:
            self.assertEqual(outcome.status, 'refused')
            self.assertLess(outcome.ended_at - 101.0, 1.0)
