"""Test signals to a process that has only just started."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from standins import gateway_deployment as deployments
from tools.soak import gateways

SOURCES = pathlib.Path(__file__).parent.parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_S = 0.002
STARTED = '"event": 100'
RELOADED = '"event": 103'


class StartupSignalTests(unittest.TestCase):
    """Send signals to a gateway before it serves."""

    def setUp(self):
        """Write settings of a gateway without a store."""
        folder = tempfile.TemporaryDirectory(prefix='startup-signals-')
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self._settings = gateways.build_initial_settings(0, ())
        self._settings['platform'] = f'127.0.0.1:{deployments.free_port()}'
        self._path = self._folder / 'settings.json'
        self._path.write_text(json.dumps(self._settings))

    def _start(self):
        """Start a gateway that handles a stop, but does not serve yet."""
        log = open(self._folder / 'log', 'wb')
        self.addCleanup(log.close)
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'persimmonroute.daemon',
                '--config',
                str(self._path),
            ],
            cwd=SOURCES,
            stdout=log,
            stderr=log,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self._wait(lambda: _handles(process, signal.SIGTERM))
        self.assertNotIn(STARTED, self._read_log())
        return process

    def _wait(self, condition):
        end = time.monotonic() + START_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, self._read_log())
            time.sleep(POLL_S)

    def _read_log(self):
        return (self._folder / 'log').read_text()

    def _stop(self, process):
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0, self._read_log())

    def test_hangup_before_the_process_serves_does_not_end_it(self):
        """Guards against a process that ends as it reads its settings."""
        process = self._start()
        process.send_signal(signal.SIGHUP)
        self._wait(lambda: STARTED in self._read_log() or process.poll())
        self.assertIsNone(process.poll(), self._read_log())
        self._wait(lambda: RELOADED in self._read_log())
        self._stop(process)

    def test_stop_before_the_process_serves_ends_it_in_order(self):
        """A process that serves nothing yet has nothing to wait for."""
        process = self._start()
        started_at = time.monotonic()
        self._stop(process)
        self.assertNotIn(STARTED, self._read_log())
        self.assertLess(time.monotonic() - started_at, 2.0)

    def test_hangup_and_stop_before_the_process_serves(self):
        """Neither signal hides the other."""
        process = self._start()
        process.send_signal(signal.SIGHUP)
        self._stop(process)

    def test_signals_are_handled_before_the_modules_are_imported(self):
        """The imports of a role take most of the start."""
        code = (
            'import sys; import persimmonroute.daemon;'
            'sys.exit("asyncio" in sys.modules)'
        )
        status = subprocess.run([sys.executable, '-c', code], cwd=SOURCES)
        self.assertEqual(status.returncode, 0)


def _handles(process, signal_number):
    """Return whether a process has a handler for a signal."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    for line in status.splitlines():
        name, _, value = line.partition(':')
        if name == 'SigCgt':
            return bool(int(value, 16) >> (signal_number - 1) & 1)
    return False
