"""Test which peers are asked for rows, and how often."""

from __future__ import annotations

import random
import unittest

from persimmonroute.gateway import peer_choice

INTERVAL_S = 0.1
STEP_S = 0.05


class PeerChoiceTests(unittest.TestCase):
    """Let gateways that miss a change take their turns."""

    def _build(self, seed):
        rng = random.Random(seed)
        return peer_choice.PeerChoice(INTERVAL_S, rng.random, rng.choice)

    def _find_turn_s(self, choice, holders, gateways):
        waited_s = 0.0
        while choice.find_holder(holders, gateways, STEP_S) is None:
            waited_s += STEP_S
        return waited_s

    def test_one_holder_is_asked_by_few_at_a_time(self):
        """Guards against a herd at the only gateway that has a change."""
        holders = [peer_choice.Holder('a', 2)]
        for gateways in (3, 30, 300):
            turns_s = [
                self._find_turn_s(self._build(n), holders, gateways)
                for n in range(gateways - 1)
            ]
            longest_s = min(gateways * INTERVAL_S, peer_choice.LONGEST_WAIT_S)
            self.assertLessEqual(max(turns_s), longest_s + STEP_S)
            # Of those in the first interval, twice the fair part at most.
            first = sum(turn_s < INTERVAL_S for turn_s in turns_s)
            fair = gateways * INTERVAL_S / longest_s
            self.assertLessEqual(first, 2 * fair + 3)

    def test_many_holders_are_asked_at_once(self):
        """Guards against waits when those that have a change are many."""
        holders = [peer_choice.Holder(str(n), 2) for n in range(200)]
        for seed in range(50):
            turn_s = self._find_turn_s(self._build(seed), holders, 300)
            self.assertLessEqual(turn_s, INTERVAL_S)

    def test_holder_that_fails_is_not_asked_again_before_others(self):
        """Guards against a gateway that keeps asking one that is gone."""
        holders = [peer_choice.Holder(a, 2) for a in 'abc']
        choice = self._build(1)
        self._find_turn_s(choice, holders, 4)
        asked = []
        for _ in range(3):
            asked.append(choice.find_holder(holders, 4, STEP_S))
            choice.record_failure(asked[-1])
        self.assertEqual(sorted(asked), ['a', 'b', 'c'])
        self.assertIsNone(choice.find_holder(holders, 4, STEP_S))
        pause_s = self._find_turn_s(choice, holders, 4)
        self.assertLess(abs(pause_s - peer_choice.RETRY_S), 2 * STEP_S)

    def test_newest_rows_are_preferred(self):
        """Guards against rows that are older than what others have."""
        holders = [peer_choice.Holder('a', 2), peer_choice.Holder('b', 3)]
        choice = self._build(1)
        for _ in range(20):
            self._find_turn_s(choice, holders, 3)
            self.assertEqual(choice.find_holder(holders, 3, 1.0), 'b')
            choice.record_success()


if __name__ == '__main__':
    unittest.main()
