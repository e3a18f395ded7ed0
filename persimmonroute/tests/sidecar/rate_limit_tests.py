"""Test sidecars whose endpoints name a limit of requests per second."""

from __future__ import annotations

import unittest

from persimmonroute import pacing
from standins import small_simulation
from standins import windows

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# Requests per second of all callers, far above the limit.
LOAD_PER_S = 20.0
PLAY_S = 12.0
# Beyond the limit: what the bucket saves, and the request that names it.
TOLERATED_REQUESTS = 2


class NamedLimitTests(unittest.TestCase):
    """Send more through two entries than one of two endpoints takes."""

    def setUp(self):
        """Start entries, sidecars and plain endpoints."""
        self.simulation = small_simulation.build_simulation()
        nodes = self.simulation.endpoints
        self.limited = nodes[f'{small_simulation.PLAIN}-1']
        self.other = nodes[f'{small_simulation.PLAIN}-2']
        self.views = []
        self._sent = 0

    def _play(self, duration_s=PLAY_S):
        end = self.simulation.now + duration_s
        while self.simulation.now < end:
            self._sent += 1
            call = small_simulation.order(f'order-{self._sent}')
            self.views.append(
                self.simulation.submit(call, f'entry-{self._sent % 2 + 1}')
            )
            self.simulation.run_until(self.simulation.now + 1 / LOAD_PER_S)

    def _count_in_windows(self, node, since):
        arrivals = [at for at in node.arrivals if at >= since]
        return windows.most_in_window(arrivals, WINDOW_S)

    def test_endpoint_gets_what_it_named_and_the_other_the_rest(self):
        """No window holds more, and no request is refused."""
        self.limited.limit_per_s = LIMIT_PER_S
        begin = self.simulation.now
        self._play()
        self.simulation.run_until(self.simulation.now + 3.0)
        self.assertLessEqual(
            self._count_in_windows(self.limited, begin + 1.0),
            LIMIT_PER_S * WINDOW_S + TOLERATED_REQUESTS,
        )
        outcomes = {view.outcome for view in self.views}
        self.assertEqual(outcomes, {'completed'})

    def test_limited_endpoints_are_used_and_refusals_come_early(self):
        """While all endpoints name a limit, they get what they named."""
        for node in (self.limited, self.other):
            node.limit_per_s = LIMIT_PER_S
        begin = self.simulation.now
        self._play()
        self.simulation.run_until(self.simulation.now + 3.0)
        for node in (self.limited, self.other):
            arrivals = [at for at in node.arrivals if at >= begin + 1.0]
            self.assertGreaterEqual(
                len(arrivals), 0.75 * LIMIT_PER_S * (PLAY_S - 1.0)
            )
            self.assertLessEqual(
                self._count_in_windows(node, begin + 1.0),
                LIMIT_PER_S * WINDOW_S + TOLERATED_REQUESTS,
            )
        shed = [v for v in self.views if v.outcome == 'not-run']
        self.assertTrue(shed)
        for view in shed:
            self.assertGreater(view.ended.retry_after_s, 0)

    def test_limit_ends_when_it_is_not_named_any_more(self):
        """Also after a limit of zero."""
        for node in (self.limited, self.other):
            node.limit_per_s = 0.0
        self._play(4.0)
        before = len(self.limited.arrivals) + len(self.other.arrivals)
        self._play(8.0)
        after = len(self.limited.arrivals) + len(self.other.arrivals)
        self.assertLessEqual(after - before, 2 * (8 * pacing.MIN_PER_S + 1))
        self.assertGreater(after, before)
        for node in (self.limited, self.other):
            node.limit_per_s = pacing.UNLIMITED
        self._play(8.0)
        self.views.clear()
        self._play(2.0)
        self.simulation.run_until(self.simulation.now + 3.0)
        outcomes = {view.outcome for view in self.views}
        self.assertEqual(outcomes, {'completed'})
