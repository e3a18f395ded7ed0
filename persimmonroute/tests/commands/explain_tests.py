"""Test that explain names the cause of a request's end."""

from __future__ import annotations

import asyncio
import io
import json
import random
import tempfile
import threading
import unittest

from persimmonroute.commands import explain
from persimmonroute import exceptions
from persimmonroute import log_writer
from persimmonroute import logs
from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
SEED = 11
REQUESTS = 40
# Time after which an endpoint that broke off is tried again.
RECOVERY_S = 0.27
# Faults, the routes they are played on, and the causes that are right.
FAULTS = (
    ('full', '/book/x', {'endpoint refused'}),
    ('fail', '/book/x', {'endpoint failed'}),
    ('reset', '/book/x', {'endpoint broken'}),
    ('truncate', '/book/x', {'endpoint broken'}),
    ('unframed_reset', '/book/x', {'endpoint broken'}),
    ('break_stream', '/draft/x', {'endpoint broken'}),
    ('hang', '/book/x', {'endpoint silent'}),
    ('key', '/book/x', {'denied'}),
    ('route', '/none/x', {'denied'}),
)


class ExplainFaultsTests(unittest.IsolatedAsyncioTestCase):
    """Play faults and ask for their causes."""

    async def asyncSetUp(self):
        """Start a gateway whose log is kept."""
        self.output = io.StringIO()
        logs.setup_logs('gateway-0', 'INFO', 'json', self.output)
        self.addCleanup(logs.setup_logs, 'tests', 'WARNING')
        self.made = deployments.GatewayDeployment(endpoints=4)
        self.addAsyncCleanup(self.made.stop)
        await self.made.start()

    async def test_cause_is_the_fault_that_was_played(self):
        """At least 95 in 100 causes are right and none is wrongly sure."""
        rng = random.Random(SEED)
        script = self.made.runners[0].script
        for runner in self.made.runners:
            runner.script = script
        played = {}
        for number in range(REQUESTS):
            fault, path, right = rng.choice(FAULTS)
            attempt = f'request-{number}'
            played[attempt] = right
            script.clear()
            await self._recover(number)
            script.extend([fault] * 3)
            headers = STREAM if path.startswith('/draft') else ()
            key = 'nobody' if fault == 'key' else deployments.KEY
            await self.made.call(
                path,
                body=attempt.encode(),
                attempt=attempt,
                headers=headers,
                key=key,
            )
        logs.close_logs()
        files = explain.LogFiles()
        for line in self.output.getvalue().splitlines():
            files.add(line)
        wrong = []
        for attempt, right in played.items():
            cause = files.explain(attempt).cause
            if cause.kind not in right:
                wrong.append((attempt, right, cause))
        self.assertEqual([w for w in wrong if w[2].certain], [])
        self.assertLessEqual(len(wrong), 0.05 * len(played))

    async def _recover(self, number):
        """Let endpoints answer, so that faults do not add up."""
        await asyncio.sleep(RECOVERY_S)
        for turn in range(len(self.made.runners)):
            attempt = f'between-{number}-{turn}'
            await self.made.call('/book/x', attempt=attempt)


class LogFilesTests(unittest.TestCase):
    """Read logs that are not as they should be."""

    def _line(self, second, name, **fields):
        return json.dumps(
            {
                'time': f'2026-01-01T00:00:{second:02}+00:00',
                'instance': 'g',
                'name': name,
                **fields,
            }
        )

    def test_torn_lines_are_counted(self):
        """A torn line hides nothing else."""
        files = explain.LogFiles()
        files.add(self._line(1, 'CALLER_GONE', request='a'))
        files.add(self._line(2, 'CALLER_GONE', request='a')[:40])
        account = files.explain('a')
        self.assertEqual(account.torn_lines, 1)
        self.assertEqual(account.cause.kind, 'caller gone')

    def test_missing_request_is_not_guessed(self):
        """A request that no line names has no certain cause."""
        account = explain.LogFiles().explain('a')
        self.assertFalse(account.cause.certain)

    def test_restart_explains_a_request_without_an_end(self):
        """A process that starts again has lost what it had."""
        files = explain.LogFiles()
        files.add(
            self._line(1, 'GATEWAY_SENT', request='a', runner='r', send=1)
        )
        self.assertFalse(files.explain('a').cause.certain)
        files.add(self._line(3, 'PROCESS_STARTED'))
        cause = files.explain('a').cause
        self.assertEqual(cause.kind, 'gateway restarted')

    def test_old_configuration_names_the_lost_store(self):
        """A key that cannot be confirmed is traced to the outage."""
        files = explain.LogFiles()
        files.add(self._line(1, 'PLATFORM_UNAVAILABLE', problem='x'))
        files.add(
            self._line(
                6,
                'GATEWAY_REJECTED',
                request='a',
                status=503,
                reason='keys cannot be confirmed',
                age_s=4.6,
            )
        )
        cause = files.explain('a').cause
        self.assertEqual(cause.kind, 'store unreachable')
        self.assertIn('00:00:01', cause.sentence)

    def test_since_and_bad_input(self):
        """Lines before a time are left out; bad input is a clear error."""
        with tempfile.NamedTemporaryFile('w', suffix='.log') as file:
            file.write(self._line(1, 'CALLER_GONE', request='a') + '\n')
            file.flush()
            files = explain.LogFiles()
            files.read(file.name, 4e9)
            self.assertEqual(files.explain('a').lines, ())
        with self.assertRaises(exceptions.LogFileError):
            explain.LogFiles().read('/no/such/file')
        with self.assertRaises(exceptions.LogFileError):
            asyncio.run(explain.explain('a', [], since='yesterday'))


class BoundedWriterTests(unittest.TestCase):
    """Write lines to readers of all kinds."""

    def _writer(self, stream):
        return log_writer.BoundedWriter(stream, lambda n: f'dropped {n}\n')

    def test_failures_have_room_when_others_have_not(self):
        """Lines of failures are kept before those of normal course."""
        stream = io.StringIO()
        writer = self._writer(stream)
        for number in range(log_writer.NORMAL_LINES_PER_S * 2):
            writer.put(f'normal {number}\n', False)
        writer.put('failure\n', True)
        writer.close()
        text = stream.getvalue()
        self.assertIn('failure', text)
        self.assertIn('dropped', text)
        self.assertGreater(writer.dropped, 0)

    def test_reader_that_stops_blocks_nothing(self):
        """A full pipe loses lines, not time."""
        stream = StoppedStream()
        writer = self._writer(stream)
        for number in range(10_000):
            writer.put(f'{number}\n', number % 2 == 0)
        self.assertGreater(writer.dropped, 0)
        stream.release()
        writer.close()


class StoppedStream(io.StringIO):
    """Block every write until it is released."""

    def __init__(self):
        super().__init__()
        self._released = threading.Event()

    def release(self):
        """Let writes pass."""
        self._released.set()

    def write(self, text):
        """Wait, then write."""
        self._released.wait(5.0)
        return super().write(text)
