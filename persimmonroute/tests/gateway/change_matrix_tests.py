"""Test all kinds of requests beside changes of the configuration."""

from __future__ import annotations

import unittest

from standins import change_matrix

SEED = 36


class ChangeMatrixTests(unittest.IsolatedAsyncioTestCase):
    """Play one seed; tools.changes plays more by hand."""

    async def test_each_request_ends_beside_changes(self):
        """Guards against requests with neither an answer nor a refusal."""
        matrix = change_matrix.ChangeMatrix(SEED, slots=1, gateways=2)
        await matrix.run()
        self.assertEqual(matrix.find_problems(), [])
