"""Test the expected times of requests of a size."""

from __future__ import annotations

import random
import unittest

from persimmonroute.gateway import work_model

SERVICE = 'llm'
PREFILL_S = 0.02
OUTPUT_S = 1.0


def _times(size):
    first_byte_s = 0.005 + PREFILL_S * size.uncached / 1000
    return work_model.Times(
        first_byte_s, first_byte_s + OUTPUT_S * size.output / 1000
    )


class WorkModelTests(unittest.TestCase):
    """Fit times to sizes."""

    def setUp(self):
        """Start without observations."""
        self.model = work_model.WorkModel()
        self.random = random.Random(1)

    def _add(self, count, factor=lambda: 1.0):
        for _ in range(count):
            size = work_model.Size(
                self.random.lognormvariate(7.5, 1.2),
                self.random.lognormvariate(3.5, 0.5),
            )
            scale = factor()
            times = [scale * seconds for seconds in _times(size)]
            self.model.record(SERVICE, 'draft', size, work_model.Times(*times))

    def _expect(self, uncached, output=30):
        size = work_model.Size(uncached, output)
        return self.model.expect(SERVICE, 'draft', size), _times(size)

    def test_times_grow_with_the_size(self):
        """Guards against means that are wrong for all but few sizes."""
        self._add(200)
        for tokens in (100, 1000, 3000, 15_000):
            expected, true = self._expect(tokens)
            for seconds, true_s in zip(expected, true, strict=True):
                self.assertAlmostEqual(seconds / true_s, 1.0, delta=0.1)

    def test_route_without_observations(self):
        """Guards against a time that is made up."""
        self.assertIsNone(self._expect(100)[0])

    def test_few_observations_are_near_the_mean(self):
        """Guards against a fit through two observations."""
        self._add(2)
        fit = self.model.find(SERVICE, 'draft')
        expected, _ = self._expect(1_000_000)
        self.assertLess(
            expected.first_byte_s,
            12 * _times(work_model.Size(1_000_000, 30)).first_byte_s,
        )
        self.assertGreaterEqual(
            expected.first_byte_s,
            work_model.MIN_MEAN_SHARE * fit.first_byte.mean_s,
        )

    def test_equal_sizes_give_the_mean(self):
        """Guards against a singular system of equations."""
        size = work_model.Size(1000, 30)
        for _ in range(50):
            self.model.record(SERVICE, 'draft', size, _times(size))
        expected, true = self._expect(1000)
        self.assertAlmostEqual(expected.first_byte_s, true.first_byte_s, 3)

    def test_outliers_change_little(self):
        """Guards against stuck requests that spoil the fit."""

        def factor():
            return 50.0 if self.random.random() < 0.03 else 1.0

        self._add(600, factor)
        expected, true = self._expect(3000)
        self.assertLess(expected.first_byte_s / true.first_byte_s, 1.4)

    def test_change_of_the_engines_is_followed(self):
        """Guards against a fit that never forgets."""
        self._add(600)
        self._add(2000, lambda: 2.0)
        expected, true = self._expect(3000)
        ratio = expected.first_byte_s / true.first_byte_s
        self.assertAlmostEqual(ratio, 2.0, delta=0.2)

    def test_larger_prompts_never_take_less_time(self):
        """Guards against a negative time for each token."""
        for tokens, seconds in ((100, 0.5), (1000, 0.3), (9000, 0.1)) * 20:
            self.model.record(
                SERVICE,
                'draft',
                work_model.Size(tokens, 0),
                work_model.Times(seconds, seconds),
            )
        self.assertGreaterEqual(
            self._expect(9000)[0].first_byte_s,
            self._expect(100)[0].first_byte_s,
        )

    def test_routes_are_bounded(self):
        """Guards against routes that come and go for ever."""
        size = work_model.Size(1000, 30)
        for number in range(work_model.MAX_ROUTES + 1):
            self.model.record(SERVICE, f'r{number}', size, _times(size))
        self.assertIsNone(self.model.find(SERVICE, 'r0'))
