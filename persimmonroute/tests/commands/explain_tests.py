"""Test the causes that explain finds, and the bounded log writer."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import pathlib
import random
import tempfile
import threading
import unittest
from unittest import mock

from persimmonroute.commands import explain
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import admission
from persimmonroute.gateway import model
from persimmonroute import log_writer
from persimmonroute import logs
from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
SEED = 11
REQUESTS = 40
# Time after which a failed endpoint receives requests again.
RECOVERY_S = 0.27
# Injected faults, the paths that trigger them, and the expected causes.
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
    """Inject faults and check the causes that explain finds."""

    async def asyncSetUp(self):
        """Start a gateway and capture its log."""
        self.output = io.StringIO()
        logs.setup_logs('gateway-0', 'INFO', 'json', self.output)
        self.addCleanup(logs.setup_logs, 'tests', 'WARNING')
        self.deployment = deployments.GatewayDeployment(endpoints=4)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_cause_matches_the_injected_fault(self):
        """At least 95 % of causes are right, and no certain cause is wrong."""
        rng = random.Random(SEED)
        script = self.deployment.runners[0].script
        for runner in self.deployment.runners:
            runner.script = script
        expected_by_attempt = {}
        for number in range(REQUESTS):
            fault, path, expected = rng.choice(FAULTS)
            attempt = f'request-{number}'
            expected_by_attempt[attempt] = expected
            script.clear()
            await self._recover(number)
            script.extend([fault] * 3)
            headers = STREAM if path.startswith('/draft') else ()
            key = 'nobody' if fault == 'key' else deployments.KEY
            await self.deployment.call(
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
        for attempt, expected in expected_by_attempt.items():
            cause = files.explain(attempt).cause
            if cause.kind not in expected:
                wrong.append((attempt, expected, cause))
        self.assertEqual([w for w in wrong if w[2].certain], [])
        self.assertLessEqual(len(wrong), 0.05 * len(expected_by_attempt))

    async def _recover(self, number):
        """Let every endpoint succeed, so that faults do not accumulate."""
        await asyncio.sleep(RECOVERY_S)
        for index in range(len(self.deployment.runners)):
            attempt = f'between-{number}-{index}'
            await self.deployment.call('/book/x', attempt=attempt)


class LogFilesTests(unittest.TestCase):
    """Read incomplete logs and invalid arguments."""

    def _line(self, second, name, **fields):
        return json.dumps(
            {
                'time': f'2026-01-01T00:00:{second:02}+00:00',
                'instance': 'g',
                'name': name,
                **fields,
            }
        )

    def test_requests_during_a_rollout(self):
        """A refused or failed request names the rollout, others do not."""
        for phase, version, status, mentioned in (
            ('canary', 'v2', 500, True),
            ('canary', 'v1', 500, False),
            ('canary', 'v2', 200, False),
            ('completed', 'v2', 500, False),
        ):
            with self.subTest(phase=phase, version=version, status=status):
                files = explain.LogFiles()
                rollout = {'service': 'llm', 'target': 'v2'}
                files.add(self._line(1, 'ROLLOUT_ORDERED', **rollout))
                files.add(
                    self._line(2, 'ROLLOUT_STORED', phase=phase, **rollout)
                )
                request = {'request': 'a', 'runner': 'r1'}
                files.add(
                    self._line(
                        3, 'GATEWAY_SENT', runner_version=version, **request
                    )
                )
                files.add(
                    self._line(4, 'GATEWAY_ANSWERED', status=status, **request)
                )
                sentence = files.explain('a').cause.sentence
                self.assertEqual('rollout' in sentence, mentioned, sentence)

    def test_refusal_without_an_endpoint_during_a_rollout(self):
        """A version that is limited is no substitute; explain says so."""
        files = explain.LogFiles()
        rollout = {'service': 'llm', 'target': 'v2'}
        files.add(self._line(1, 'ROLLOUT_ORDERED', **rollout))
        files.add(
            self._line(
                2,
                'GATEWAY_REJECTED',
                request='a',
                status=503,
                reason='no usable endpoint',
                route='draft',
            )
        )
        sentence = files.explain('a').cause.sentence
        self.assertIn('version v2 of llm was in a rollout', sentence)

    def test_torn_lines_are_counted(self):
        """A truncated line is counted and does not affect other lines."""
        files = explain.LogFiles()
        files.add(self._line(1, 'CALLER_GONE', request='a'))
        files.add(self._line(2, 'CALLER_GONE', request='a')[:40])
        explanation = files.explain('a')
        self.assertEqual(explanation.torn_lines, 1)
        self.assertEqual(explanation.cause.kind, 'caller gone')

    def test_caller_that_left_is_told_from_one_that_was_served(self):
        """The explanation says whether the request had been sent."""
        files = explain.LogFiles()
        files.add(
            self._line(1, 'ADMISSION_HOST_SILENT', request='a', host='h')
        )
        files.add(self._line(3, 'CALLER_GONE', request='a'))
        sentence = files.explain('a').cause.sentence
        self.assertIn('did not run', sentence)
        self.assertIn('gateway h', sentence)
        files.add(
            self._line(1, 'GATEWAY_SENT', request='b', runner='r', send=1)
        )
        files.add(self._line(3, 'CALLER_GONE', request='b'))
        sentence = files.explain('b').cause.sentence
        self.assertIn('2.000 s after the request was sent', sentence)

    def test_directory_is_read_whole(self):
        """The logs of many gateways are read from one directory."""
        with tempfile.TemporaryDirectory() as directory:
            for number in range(3):
                path = pathlib.Path(directory, f'gateway-{number}.log')
                line = self._line(number, 'CALLER_GONE', request='a')
                path.write_text(line + '\n', encoding='utf-8')
            files = explain.LogFiles()
            for path in explain.list_files([directory]):
                files.read(path)
        self.assertEqual(len(files.explain('a').lines), 3)

    def test_missing_request_is_not_guessed(self):
        """A request that no line mentions has no certain cause."""
        explanation = explain.LogFiles().explain('a')
        self.assertFalse(explanation.cause.certain)

    def test_restart_explains_an_interrupted_request(self):
        """A restart explains a request that was still in progress."""
        files = explain.LogFiles()
        files.add(
            self._line(1, 'GATEWAY_SENT', request='a', runner='r', send=1)
        )
        self.assertFalse(files.explain('a').cause.certain)
        files.add(self._line(3, 'PROCESS_STARTED'))
        cause = files.explain('a').cause
        self.assertEqual(cause.kind, 'gateway restarted')

    def test_lines_that_a_killed_process_had_not_written_are_kept_in_mind(
        self,
    ):
        """Guards against an unwritten answer that is called a restart."""
        files = explain.LogFiles()
        files.add(
            self._line(1, 'GATEWAY_SENT', request='a', runner='r', send=1)
        )
        files.add(self._line(3, 'PROCESS_STARTED'))
        self.assertFalse(files.explain('a').cause.certain)

    def test_old_configuration_names_the_lost_store(self):
        """An unconfirmed key is attributed to the store outage."""
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

    def _explain_old(self, reason, *context):
        files = explain.LogFiles()
        for second, name in context:
            files.add(self._line(second, name, table='op'))
        files.add(
            self._line(
                20,
                'GATEWAY_REJECTED',
                request='a',
                status=503,
                reason=reason,
                age_s=4.6,
            )
        )
        return files.explain('a').cause

    def test_outage_that_had_ended_is_not_named_as_the_cause(self):
        """Guards against an outage of long ago as the certain cause."""
        cause = self._explain_old(
            admission.UNCONFIRMED_KEYS,
            (1, 'PLATFORM_UNAVAILABLE'),
            (2, 'PLATFORM_AVAILABLE'),
        )
        self.assertFalse(cause.certain)
        self.assertNotIn('since', cause.sentence)

    def test_outage_that_has_just_ended_is_named_with_its_end(self):
        """Guards against a store that is said to be away and is back."""
        cause = self._explain_old(
            admission.UNCONFIRMED_KEYS,
            (14, 'PLATFORM_UNAVAILABLE'),
            (19, 'PLATFORM_AVAILABLE'),
        )
        self.assertEqual(cause.kind, 'store unreachable')
        self.assertIn('from 00:00:14.000 to 00:00:19.000', cause.sentence)

    def test_refusal_is_told_by_its_kind(self):
        """Guards against refusals of any kind that look alike."""
        for reason, kind in (
            (admission.CRASHES_ENDPOINTS.reason, 'quarantine'),
            (model.VERSION_GONE.reason, 'version gone'),
            (model.STREAM_UNKNOWN.reason, 'version unknown'),
            (model.TIMEOUT_WHILE_QUEUED.reason, 'queue timeout'),
            ('anything else', 'refused'),
        ):
            with self.subTest(kind=kind):
                cause = self._explain_old(reason)
                self.assertEqual(cause.kind, kind)
                self.assertIn(reason, cause.sentence)

    def test_unknown_key_in_an_outage_names_the_lost_store(self):
        """Guards against a refusal of an outage that is called an overload."""
        cause = self._explain_old(
            f'the key is not known, but {admission.TOO_OLD}',
            (16, 'PLATFORM_UNAVAILABLE'),
        )
        self.assertEqual(cause.kind, 'store unreachable')
        self.assertIn('the key is not known, but', cause.sentence)

    def test_restored_store_is_named(self):
        """Guards against an era change that is called an outage."""
        cause = self._explain_old(
            admission.UNCONFIRMED_KEYS, (18, 'STORE_RESTORED')
        )
        self.assertEqual(cause.kind, 'store restored')

    def test_since_and_bad_input(self):
        """Lines before --since are ignored; bad input raises LogFileError."""
        with tempfile.NamedTemporaryFile('w', suffix='.log') as file:
            file.write(self._line(1, 'CALLER_GONE', request='a') + '\n')
            file.flush()
            files = explain.LogFiles(since=4e9)
            files.read(file.name)
            self.assertEqual(files.explain('a').lines, ())
            files = explain.LogFiles(until=1e9)
            files.read(file.name)
            self.assertEqual(files.explain('a').lines, ())
            files = explain.LogFiles(since=1e9, until=4e9)
            files.read(file.name)
            self.assertEqual(len(files.explain('a').lines), 1)
        with self.assertRaises(exceptions.LogFileError):
            explain.LogFiles().read('/no/such/file')
        with self.assertRaises(exceptions.LogFileError):
            asyncio.run(explain.explain('a', [], since='yesterday'))
        with self.assertRaisesRegex(exceptions.LogFileError, 'tomorrow'):
            asyncio.run(explain.explain('a', [], until='tomorrow'))

    def test_earlier_try_of_the_same_request_is_left_out(self):
        """Guards against an endpoint of an earlier try as the cause."""
        files = explain.LogFiles()
        rejected = {'request': 'a', 'status': 503, 'age_s': 0.1}
        sent = {'request': 'a', 'runner': 'r'}
        refused = {**sent, 'ending': 'refused', 'problem': 'full'}
        for second, name, fields in (
            (1, 'GATEWAY_SENT', sent),
            (1, 'GATEWAY_ATTEMPT_FAILED', refused),
            (1, 'GATEWAY_REJECTED', {**rejected, 'reason': 'full'}),
            (2, 'GATEWAY_REJECTED', {**rejected, 'reason': 'overloaded'}),
        ):
            files.add(self._line(second, name, **fields))
        self.assertEqual(files.explain('a').cause.kind, 'overload')

    def test_restart_after_dropped_lines_is_no_certain_cause(self):
        """Guards against a dropped answer that is called a restart."""
        output = io.StringIO()
        logs.setup_logs('g', 'INFO', 'json', output)
        self.addCleanup(logs.setup_logs, 'tests', 'WARNING')
        log = logs.EventLog('tests')
        log.emit(Event.GATEWAY_SENT, request='a', runner='r', waited_s=0.0)
        while not logs.count_dropped():
            log.emit(Event.GATEWAY_ANSWERED, request='b', status=200)
        logs.close_logs()
        files = explain.LogFiles()
        for text in output.getvalue().splitlines():
            files.add(text)
        restart = self._line(1, 'PROCESS_STARTED').replace('2026', '2999')
        files.add(restart)
        self.assertEqual(files.torn_lines, 0)
        cause = files.explain('a').cause
        self.assertFalse(cause.certain, cause)
        self.assertIn('dropped', cause.sentence)

    def test_unexpected_error_of_the_gateway_is_named(self):
        """Guards against an error that is called a crash of the process."""
        files = explain.LogFiles()
        files.add(self._line(1, 'GATEWAY_SENT', request='a', runner='r'))
        fault = {'request': 'a', 'problem': 'KeyError()'}
        files.add(self._line(2, 'GATEWAY_FAULT', **fault))
        cause = files.explain('a').cause
        self.assertEqual(cause.kind, 'gateway fault')
        self.assertIn('may have run', cause.sentence)

    def test_line_that_lacks_a_field_does_not_end_the_command(self):
        """Guards against a traceback at the line of another release."""
        files = explain.LogFiles()
        files.add(self._line(1, 'GATEWAY_REJECTED', request='a'))
        cause = files.explain('a').cause
        self.assertFalse(cause.certain)
        self.assertIn('status', cause.sentence)

    def test_only_lines_that_can_matter_are_kept(self):
        """Guards against memory that grows with the logs of other requests."""
        files = explain.LogFiles('a"ä')
        for number in range(1000):
            files.add(self._line(1, 'GATEWAY_SENT', request=f'b{number}'))
            files.add(self._line(1, 'PEERS_LISTED', gateways=number))
        files.add(self._line(1, 'PROCESS_STARTED'))
        files.add(self._line(2, 'CALLER_GONE', request='a"ä'))
        files.add(self._line(3, 'CALLER_GONE', request='b')[:-2])
        self.assertEqual(list(files.by_request), ['a"ä'])
        self.assertEqual(len(files.context), 1)
        self.assertEqual(files.explain('a"ä').cause.kind, 'caller gone')
        self.assertEqual(files.torn_lines, 1)

    def test_progress_is_shown_on_a_terminal_alone(self):
        """Guards against a command that is silent over many files."""
        with tempfile.TemporaryDirectory() as directory:
            for number in range(3):
                pathlib.Path(directory, f'{number}.log').touch()
            for terminal in (True, False):
                stream = io.StringIO()
                stream.isatty = lambda shown=terminal: shown
                with (
                    mock.patch('sys.stderr', stream),
                    contextlib.redirect_stdout(io.StringIO()),
                ):
                    asyncio.run(explain.explain('a', [directory]))
                shown = 'file 3 of 3' in stream.getvalue()
                self.assertEqual(shown, terminal)


class BoundedWriterTests(unittest.TestCase):
    """Write lines faster than the limit or the reader allows."""

    def _writer(self, stream):
        return log_writer.BoundedWriter(stream, lambda n: f'dropped {n}\n')

    def test_failures_are_kept_when_normal_lines_are_dropped(self):
        """Failure lines are written when normal lines exceed the limit."""
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

    def test_blocked_reader_does_not_block_the_writer(self):
        """Writing to a blocked stream drops lines instead of blocking."""
        stream = BlockedStream()
        writer = self._writer(stream)
        for number in range(10_000):
            writer.put(f'{number}\n', number % 2 == 0)
        self.assertGreater(writer.dropped, 0)
        stream.release()
        writer.close()


class BlockedStream(io.StringIO):
    """Block every write until the stream is released."""

    def __init__(self):
        super().__init__()
        self._released = threading.Event()

    def release(self):
        """Unblock all writes."""
        self._released.set()

    def write(self, text):
        """Wait for the release, at most 5 seconds, and write."""
        self._released.wait(5.0)
        return super().write(text)
