"""Test that every cell of the fault matrix holds the promises."""

from __future__ import annotations

import unittest

from standins import fault_matrix
from tools import faults


class FaultMatrixTests(unittest.TestCase):
    """Run the matrix over its seeds."""

    def _assert_held(self, results):
        broken = [result for result in results if result.problems]
        self.assertEqual(broken, [])

    def test_single_faults(self):
        """Every fault at every step holds every promise."""
        results = faults.run_cells(faults.list_cells(fault_matrix.SEEDS))
        self._assert_held(results)

    def test_pairs_of_faults(self):
        """Two faults around claim and start hold every promise."""
        results = faults.run_cells(faults.list_pairs((0,)))
        self._assert_held(results)

    def test_every_step_is_reached(self):
        """Each step that a kind of request has is reached."""
        cells = [
            cell for cell in faults.list_cells((1,)) if cell.faults == (0,)
        ]
        for result in faults.run_cells(cells):
            midway = result.step == 'midway in the stream'
            with self.subTest(step=result.step, kind=result.kind):
                wanted = not (midway and result.kind == 'order')
                self.assertEqual(result.reached, wanted)
