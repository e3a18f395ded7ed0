"""Test that every cell of the fault matrix keeps the promises."""

from __future__ import annotations

import unittest

from standins import fault_matrix
from tools import faults


class FaultMatrixTests(unittest.TestCase):
    """Run the fault matrix with each of its seeds."""

    def _assert_promises_kept(self, results):
        violations = [result for result in results if result.problems]
        self.assertEqual(violations, [])

    def test_single_faults(self):
        """Keep every promise under each fault at each step."""
        results = faults.run_cells(faults.list_cells(fault_matrix.SEEDS))
        self._assert_promises_kept(results)

    def test_pairs_of_faults(self):
        """Keep every promise under two faults around claim and start."""
        results = faults.run_cells(faults.list_pairs((0,)))
        self._assert_promises_kept(results)

    def test_every_step_is_reached(self):
        """Reach each step that a kind of request has."""
        cells = [
            cell for cell in faults.list_cells((1,)) if cell.faults == (0,)
        ]
        for result in faults.run_cells(cells):
            mid_stream = result.step == 'midway in the stream'
            with self.subTest(step=result.step, kind=result.kind):
                expected = not (mid_stream and result.kind == 'order')
                self.assertEqual(result.reached, expected)
