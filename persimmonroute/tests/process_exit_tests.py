"""Test that a stop ends in time, whatever takes long in it."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from persimmonroute import process_exit
from standins import gateway_deployment as deployments
from standins import slow_exit
from tools.soak import gateways

SOURCES = pathlib.Path(__file__).parents[2]
GRACE_S = 2
START_TIMEOUT_S = 30.0
# Less than the slow step takes, and far more than the grace period, so that
# the speed of the machine does not matter.
EXIT_TIMEOUT_S = 0.6 * slow_exit.STEP_S
POLL_S = 0.02
STARTED = '"event": 100,'
STOPPED = '"event": 102,'
AT_LIMIT = '"event": 105,'


class ExitLimitTests(unittest.TestCase):
    """Ask the limit of a stop that began at 100 s, with a grace of 4 s."""

    def setUp(self):
        """Begin the stop."""
        self.limit = process_exit.ExitLimit(100.0, 4.0)

    def _find_exit(self, now, until=110.0):
        """Return when the exit is due, checked often from a time on."""
        while not self.limit.is_due(now):
            self.assertLess(now, until)
            now += 0.01
        return now

    def test_exit_is_due_within_the_grace_period(self):
        """Guards against an exit at the very end, which takes time itself."""
        self.assertAlmostEqual(self._find_exit(100.0), 103.8, delta=0.02)

    def test_stand_still_before_does_not_move_the_exit(self):
        """Guards against a stop that is longer by its stand-still."""
        self.assertAlmostEqual(self._find_exit(103.4), 103.8, delta=0.02)

    def test_stand_still_up_to_the_limit_leaves_time_to_answer(self):
        """Guards against an exit before what has arrived is read."""
        self.assertAlmostEqual(self._find_exit(103.65), 103.85, delta=0.02)

    def test_stand_still_never_moves_the_exit_over_the_grace_period(self):
        """Guards against a process that is killed as it answers."""
        exit_at = self._find_exit(103.85)
        self.assertGreater(exit_at, 103.85)
        self.assertLess(exit_at, 104.0)

    def test_process_that_wakes_up_too_late_answers_once(self):
        """Guards against an end that a slow process never reaches."""
        self.assertFalse(self.limit.is_due(107.0))
        self.assertTrue(self.limit.is_due(107.3))


class SlowStepTests(unittest.TestCase):
    """Stop a gateway with a step that takes much longer than its grace."""

    def setUp(self):
        """Write settings of a gateway without a store."""
        folder = tempfile.TemporaryDirectory(prefix='slow-exit-')
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)

    def _read_log(self):
        return (self._folder / 'log').read_text()

    def _start(self, step):
        settings = gateways.build_initial_settings(0, (), stop_grace_s=GRACE_S)
        settings['platform'] = f'127.0.0.1:{deployments.free_port()}'
        path = self._folder / 'settings.json'
        path.write_text(json.dumps(settings))
        log = open(self._folder / 'log', 'wb')
        self.addCleanup(log.close)
        command = [sys.executable, '-m', 'standins.slow_exit', step]
        process = subprocess.Popen(
            [*command, '--config', str(path)],
            cwd=SOURCES,
            stdout=log,
            stderr=log,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        end = time.monotonic() + START_TIMEOUT_S
        while STARTED not in self._read_log():
            self.assertIsNone(process.poll(), self._read_log())
            self.assertLess(time.monotonic(), end, self._read_log())
            time.sleep(POLL_S)
        return process

    def _check_exits(self, step, at_limit):
        process = self._start(step)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0, self._read_log())
        self.assertEqual(self._read_log().count(STOPPED), 1)
        self.assertEqual(self._read_log().count(AT_LIMIT), at_limit)

    def test_end_of_the_interpreter_does_not_delay_the_exit(self):
        """Guards against an exit that waits until all memory is freed."""
        self._check_exits('interpreter', 0)

    def test_thread_does_not_delay_the_exit(self):
        """Guards against an exit that waits for a thread."""
        self._check_exits('threads', 0)

    def test_task_that_goes_on_does_not_delay_the_exit(self):
        """Guards against an exit that waits for cancelled tasks."""
        self._check_exits('tasks', 0)

    def test_slow_close_does_not_delay_the_exit(self):
        """Guards against a step after the last response without a limit."""
        self._check_exits('close', 1)

    def test_blocked_close_does_not_delay_the_exit(self):
        """Guards against a limit that depends on the event loop."""
        self._check_exits('blocked-close', 1)

    def test_blocked_drain_does_not_delay_the_exit(self):
        """Guards against a limit that depends on the event loop."""
        self._check_exits('blocked-drain', 1)
