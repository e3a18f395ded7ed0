"""Test stops of gateway processes beside other signals and stand-stills."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import random
import signal
import tempfile
import time
import typing
import unittest

from persimmonroute import exceptions
from persimmonroute import http_connection
from standins import gateway_deployment as deployments
from standins import platform_runner
from tools.soak import gateways

SOURCES = pathlib.Path(__file__).parents[3]
GRACE_S = 4.0
# Longer than the grace period.
TIMEOUT_MS = 15_000
OBJECTIVE_MS = 12_000
SHORT_RUN_S = 0.1
# Requests from which a gateway learns how long those of a route take.
LEARNED = 12
SLOTS = 16
SETTLE_S = 0.4
POLL_S = 0.01
EXIT_TIMEOUT_S = 30.0
# A request that crosses the close of its connection learns of it by then.
CROSSING_S = 0.5
SENT_EVENT = 700
CALLERS = 12
# Runs of the endpoints under a steady load, in seconds.
VARYING_RUN_S = (0.1, 1.0)
# Of the load before and after the signals, in seconds.
LOAD_BEFORE_S = 1.5
LOAD_AFTER_S = 4.5
STARTED = '"event": 100,'
STOPPING = '"event": 101,'
STOPPED = '"event": 102,'
RELOADED = '"event": 103,'
HEAD = (
    f'POST /book/x HTTP/1.1\r\nHost: {deployments.HOST}\r\n'
    f'Authorization: Bearer {deployments.KEY}\r\n'
    'Deadline-Remaining-Ms: 15000\r\n'
    'Attempt-Id: {attempt}\r\nContent-Length: 4\r\n\r\n'
)


class Ended(typing.NamedTuple):
    """Store a response, and when it was sent for and complete."""

    attempt: str
    # Incomplete without a status if the connection was closed or refused.
    response: deployments.Response
    sent_s: float
    ended_s: float


class VaryingRunner(platform_runner.RunnerStandIn):
    """Answer after a pause that differs for each request."""

    _rng = random.Random(42)

    @property
    def answer_pause_s(self):
        """Return the pause before the next answer."""
        return self._rng.uniform(*VARYING_RUN_S)


class ProcessStopCase(unittest.IsolatedAsyncioTestCase):
    """Stop gateway processes; the store and the endpoints do not stop."""

    endpoints = 1
    gateways = 1
    grace_s = GRACE_S
    runner_class = platform_runner.RunnerStandIn

    async def asyncSetUp(self):
        """Start the store, the endpoints and the gateways."""
        folder = tempfile.TemporaryDirectory(prefix='process-stop-')
        self.addCleanup(folder.cleanup)
        self._folder = folder.name
        self.deployment = deployments.GatewayDeployment(self.endpoints, 0)
        self.deployment.runners = [
            self.runner_class(f'r{n}') for n in range(self.endpoints)
        ]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            route['TimeoutMs'] = TIMEOUT_MS
            route['TargetLatencyMs'] = OBJECTIVE_MS
        self.deployment.platform.put_row('op', 'config', document)
        self._set_slots(SLOTS)
        self.processes = []
        for _ in range(self.gateways):
            self._add_gateway()
        self.stopped_at = time.monotonic()
        for gateway in self.processes:
            gateway.start()
        await self._wait_ready()

    async def _wait_ready(self):
        for gateway in self.processes:
            await deployments.wait_ready(gateway.settings['ready_address'])

    def _add_gateway(self):
        seeds = [g.settings['control_address'] for g in self.processes]
        settings = gateways.build_initial_settings(len(self.processes), seeds)
        settings['stop_grace_s'] = self.grace_s
        settings['platform'] = self.deployment.store
        gateway = gateways.Gateway(
            settings['instance'], settings, self._folder, SOURCES
        )
        gateway.write_settings()
        self.processes.append(gateway)
        self.addCleanup(gateway.log.close)
        self.addAsyncCleanup(self._kill, gateway)

    async def _kill(self, gateway):
        gateway.send_signal(signal.SIGCONT)
        await gateway.terminate(signal.SIGKILL)

    def _read_log(self, number=0):
        return pathlib.Path(self.processes[number].log.name).read_text()

    def _count_events(self, event):
        return self._read_log().count(event)

    def _set_slots(self, slots):
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=slots)

    def _set_runs(self, seconds, behaviour='pause'):
        """Let all endpoints answer after some seconds."""
        for runner in self.deployment.runners:
            runner.answer_pause_s = seconds
            runner.default_behaviour = behaviour

    async def _learn(self, seconds):
        """Let the gateways learn how long orders take."""
        self._set_runs(seconds)
        learned = await asyncio.gather(
            *(
                self._call('book', f'learned-{gateway}-{number}', gateway)
                for gateway in range(self.gateways)
                for number in range(LEARNED)
            )
        )
        statuses = {ended.response.status for ended in learned}
        self.assertEqual(statuses, {200}, learned)

    def _send(self, route, attempt, gateway=0):
        """Start a request and return its task."""
        return asyncio.create_task(self._call(route, attempt, gateway))

    async def _call(self, route, attempt, gateway=0, conn=None):
        address = self.processes[gateway].settings['address']
        options = {'attempt': attempt, 'remaining_ms': TIMEOUT_MS}
        if route == 'draft':
            options['headers'] = (('accept', 'text/event-stream'),)
        path, sent_at = f'/{route}/x', time.monotonic()
        try:
            if conn is None:
                response = await self.deployment.call(
                    path, address=address, **options
                )
            else:
                response = await self.deployment.call_on(conn, path, **options)
        except (
            OSError,
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
        ):
            response = deployments.Response()
        return Ended(
            attempt,
            response,
            sent_at - self.stopped_at,
            time.monotonic() - self.stopped_at,
        )

    async def _connect(self, gateway=0):
        conn = await http_connection.open_connection(
            self.processes[gateway].settings['address'], 1.0
        )
        self.addCleanup(conn.abort)
        return conn

    def _stop(self):
        self.stopped_at = time.monotonic()
        self.processes[0].send_signal(signal.SIGTERM)

    async def _sleep_until(self, due_s):
        """Wait until a time after the signal."""
        left_s = self.stopped_at + due_s - time.monotonic()
        await asyncio.sleep(max(left_s, 0.0))

    async def _stand_still(self, begin_s, end_s):
        """Suspend the gateway for a part of its stop."""
        await self._sleep_until(begin_s)
        self.processes[0].send_signal(signal.SIGSTOP)
        await self._sleep_until(end_s)
        self.processes[0].send_signal(signal.SIGCONT)

    async def _check_ends_in_order(self, number=0, grace_s=None):
        """Check that a gateway ends by itself within its grace period."""
        gateway = self.processes[number]
        while gateway.running:
            took_s = time.monotonic() - self.stopped_at
            self.assertLess(took_s, EXIT_TIMEOUT_S)
            await asyncio.sleep(POLL_S)
        took_s = time.monotonic() - self.stopped_at
        self.assertEqual(gateway.exit_status, 0)
        self.assertLess(took_s, grace_s or self.grace_s)

    def _count_runs(self, attempt):
        return sum(r.runs[attempt] for r in self.deployment.runners)

    def _check_refused(self, ended):
        self.assertTrue(ended.response.complete, ended)
        self.assertEqual(ended.response.status, 503, ended.response.body)
        self.assertIn(b'retry-after', ended.response.headers)
        self.assertEqual(self._count_runs(ended.attempt), 0, ended)

    def _check_ended(self, ended):
        """Check that a request was served, refused, or never read."""
        response = ended.response
        if response.status is None:
            self.assertEqual(self._count_runs(ended.attempt), 0, ended)
            self.assertLess(ended.ended_s - ended.sent_s, CROSSING_S, ended)
        elif response.status == 200:
            self.assertTrue(response.complete, ended)
            self.assertEqual(self._count_runs(ended.attempt), 1, ended)
        else:
            self._check_refused(ended)


class SignalTests(ProcessStopCase):
    """Send several signals to a gateway."""

    async def _check_served(self, ended):
        self.assertEqual((await ended).response.status, 200)

    async def test_second_stop_signal_cuts_off_nothing(self):
        """Guards against a stop that a second signal shortens."""
        await self._learn(SHORT_RUN_S)
        self._set_runs(1.5)
        running = self._send('book', 'running')
        await asyncio.sleep(SETTLE_S)
        self._stop()
        for due_s, number in (
            (0.0, signal.SIGTERM),
            (0.3, signal.SIGTERM),
            (0.5, signal.SIGINT),
        ):
            await self._sleep_until(due_s)
            self.processes[0].send_signal(number)
        self._set_runs(SHORT_RUN_S)
        await self._check_served(self._send('book', 'later'))
        await self._check_served(running)
        self.processes[0].send_signal(signal.SIGTERM)
        await self._check_ends_in_order()
        self.assertEqual(self._count_events(STOPPING), 1)
        self.assertEqual(self._count_events(STOPPED), 1)

    async def _check_beside_hangup(self, send_signals):
        await self._learn(SHORT_RUN_S)
        self._set_runs(2.0)
        running = self._send('book', 'running')
        await asyncio.sleep(SETTLE_S)
        await send_signals()
        self._set_runs(SHORT_RUN_S)
        await self._check_served(self._send('book', 'later'))
        await self._check_served(running)
        await self._check_ends_in_order()

    async def test_hangup_before_a_stop_changes_no_grace_period(self):
        """Guards against a stop by settings that need a restart."""

        async def send_signals():
            self.processes[0].write_settings(stop_grace_s=1, retry_slack=77)
            self.processes[0].send_signal(signal.SIGHUP)
            self._stop()

        await self._check_beside_hangup(send_signals)

    async def test_hangups_during_a_stop_change_no_grace_period(self):
        """Guards against a stop that new settings shorten or prolong."""

        async def send_signals():
            self._stop()
            gateway = self.processes[0]
            gateway.send_signal(signal.SIGHUP)
            for number, grace_s in enumerate((1, 60, 0.5)):
                await self._sleep_until(0.2 + 0.3 * number)
                gateway.write_settings(stop_grace_s=grace_s)
                gateway.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            self.assertGreaterEqual(self._count_events(RELOADED), 3)
            (pathlib.Path(self._folder) / f'{gateway.name}.json').write_text(
                '{'
            )
            gateway.send_signal(signal.SIGHUP)

        await self._check_beside_hangup(send_signals)


class YoungProcessTests(ProcessStopCase):
    """Stop gateways that have just begun to serve."""

    async def _start_again(self):
        gateway = self.processes[0]
        self.assertTrue(await gateway.terminate(signal.SIGKILL))
        gateway.start()

    async def _wait_listening(self):
        while True:
            try:
                return await self._connect()
            except (OSError, exceptions.EndpointUnreachableError):
                await asyncio.sleep(POLL_S / 2)

    async def test_stop_as_the_first_connection_is_accepted(self):
        """Guards against a stop that a process forgets as it begins."""
        self._set_runs(SHORT_RUN_S)
        for number, delay_s in enumerate((0.0, 0.05)):
            await self._start_again()
            conn = await self._wait_listening()
            await asyncio.sleep(delay_s)
            self._stop()
            calls = [
                asyncio.create_task(
                    self._call('book', f'first-{number}', conn=conn)
                )
            ]
            for late in range(5):
                await asyncio.sleep(0.2)
                calls.append(self._send('book', f'late-{number}-{late}'))
            for call in calls:
                self._check_ended(await call)
            await self._check_ends_in_order()

    async def test_stop_as_a_process_begins_to_serve(self):
        """Guards against a process that a stop leaves half started."""
        started = self._count_events(STARTED)
        for delay_s in (0.0, 0.03):
            await self._start_again()
            while self._count_events(STARTED) == started:
                await asyncio.sleep(POLL_S / 5)
            started += 1
            await asyncio.sleep(delay_s)
            self._stop()
            await self._check_ends_in_order()


class StandStillTests(ProcessStopCase):
    """Suspend a gateway during its stop, and let it go on."""

    async def _check_waiting(self, begin_s, end_s):
        """Suspend it while requests of 1 s wait for an endpoint.

        From 2.0 s on such a request would be cut off.
        """
        await self._learn(1.0)
        self._set_slots(1)
        await asyncio.sleep(SETTLE_S)
        # The slots become free while the gateway stands still.
        self._set_runs((begin_s + end_s) / 2)
        blocking = [self._send('book', f'blocking-{n}') for n in range(2)]
        await asyncio.sleep(0.1)
        self._set_runs(1.0)
        waiting = [self._send('book', f'waiting-{n}') for n in range(4)]
        await asyncio.sleep(0.1)
        self._stop()
        standing = asyncio.create_task(self._stand_still(begin_s, end_s))
        await self._sleep_until(0.2)
        waiting += [self._send('book', f'late-{n}') for n in range(2)]
        for call in blocking:
            self.assertEqual((await call).response.status, 200)
        for call in waiting:
            self._check_ended(await call)
        await standing
        await self._check_ends_in_order()

    async def test_stand_still_before_waiting_requests_are_refused(self):
        """Guards against requests that are passed on after a stand-still."""
        await self._check_waiting(0.4, 1.5)

    async def test_stand_still_as_waiting_requests_are_refused(self):
        """Guards against requests that are passed on after a stand-still."""
        await self._check_waiting(0.8, 2.6)

    async def test_stand_still_after_waiting_requests_are_refused(self):
        """Guards against requests that are passed on after a stand-still."""
        await self._check_waiting(2.2, 3.2)

    async def _check_open(self, begin_s, end_s):
        """Suspend it while requests are open that do not end."""
        await self._learn(SHORT_RUN_S)
        self._set_runs(SHORT_RUN_S, 'hang')
        running = self._send('book', 'running')
        await asyncio.sleep(SETTLE_S)
        self._stop()
        await self._stand_still(begin_s, end_s)
        ended = await running
        await self._check_ends_in_order()
        self.assertEqual(ended.response.status, 502, ended.response.body)
        self.assertIn(b'stop', ended.response.body)

    async def test_stand_still_up_to_the_end_of_open_requests(self):
        """Guards against an end that tells nothing after a stand-still."""
        await self._check_open(1.5, 3.15)

    async def test_stand_still_over_the_end_of_open_requests(self):
        """Guards against an end that tells nothing after a stand-still."""
        await self._check_open(2.8, 3.45)

    async def test_stand_still_over_the_close_of_connections(self):
        """Guards against a stop that is longer by its stand-still."""
        await self._check_open(1.0, 3.2)


class KeptConnectionTests(ProcessStopCase):
    """Send requests on connections that callers have kept."""

    async def test_next_request_after_an_answer_that_began_before(self):
        """Guards against a connection that is closed over a request."""
        await self._learn(SHORT_RUN_S)
        for runner in self.deployment.runners:
            runner.event_count = 20
            runner.event_pause_s = 0.05
        conns = [await self._connect() for _ in range(3)]
        streams = [
            asyncio.create_task(self._call('draft', f'stream-{n}', conn=conn))
            for n, conn in enumerate(conns)
        ]
        await asyncio.sleep(SETTLE_S)
        self._stop()
        for stream in streams:
            ended = await stream
            self.assertTrue(ended.response.complete)
            self.assertNotIn(b'connection', ended.response.headers)
        for number, conn in enumerate(conns):
            await self._sleep_until(1.2 + 0.5 * number)
            self.assertTrue(conn.finish())
            ended = await self._call('book', f'next-{number}', conn=conn)
            self.assertEqual(ended.response.status, 200, ended)
            self.assertEqual(ended.response.headers[b'connection'], b'close')
        await self._check_ends_in_order()

    async def test_requests_as_connections_are_closed(self):
        """Guards against requests that are read and not answered."""
        await self._learn(SHORT_RUN_S)
        conns = [await self._connect() for _ in range(60)]
        for conn in conns:
            ended = await self._call('book', f'kept-{id(conn)}', conn=conn)
            self.assertEqual(ended.response.status, 200)
            self.assertTrue(conn.finish())
            self._set_runs(0.0)
        self._set_runs(SHORT_RUN_S)
        self._stop()
        calls = []
        for number, conn in enumerate(conns):
            # Connections are closed 2.6 to 3.3 s after the signal.
            await self._sleep_until(2.55 + 0.012 * number)
            calls.append(
                asyncio.create_task(
                    self._call('book', f'late-{number}', conn=conn)
                )
            )
        for call in calls:
            self._check_ended(await call)
        await self._check_ends_in_order()

    async def _send_in_two_parts(self, attempt, body_at_s):
        """Send a head before the signal and its body later."""
        address = self.processes[0].settings['address']
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(HEAD.replace('{attempt}', attempt).encode())
        return asyncio.create_task(
            self._send_body(reader, writer, attempt, body_at_s)
        )

    async def _send_body(self, reader, writer, attempt, body_at_s):
        await asyncio.sleep(SETTLE_S)
        await self._sleep_until(body_at_s)
        answer = b''
        try:
            writer.write(b'body')
            answer = await reader.read()
        except ConnectionError:
            pass
        return attempt, body_at_s, answer

    async def test_bodies_that_come_during_a_stop(self):
        """Guards against requests whose late bodies are passed on and cut."""
        await self._learn(0.5)
        self._set_runs(0.5)
        parts = [
            await self._send_in_two_parts(f'part-{n}', due_s)
            for n, due_s in enumerate((0.3, 1.5, 2.2, 2.6, 2.8, 2.95, 3.05))
        ]
        await asyncio.sleep(SETTLE_S / 2)
        self._stop()
        statuses = []
        for part in parts:
            attempt, due_s, answer = await part
            status, _, rest = answer.partition(b'\r\n')
            runs = self._count_runs(attempt)
            statuses.append((due_s, status, runs))
            if status.startswith(b'HTTP/1.1 200'):
                self.assertTrue(rest.endswith(attempt.encode()), answer)
                self.assertEqual(runs, 1)
            else:
                self.assertTrue(status.startswith(b'HTTP/1.1 503'), answer)
                self.assertIn(b'retry-after', rest.lower())
                self.assertEqual(runs, 0)
        for _, status, _ in statuses[:2]:
            self.assertTrue(status.startswith(b'HTTP/1.1 200'), statuses)
        await self._check_ends_in_order()


class TwoOfThreeTests(ProcessStopCase):
    """Stop two gateways at the same time under a steady load."""

    endpoints = 2
    gateways = 3
    grace_s = 6.0
    runner_class = VaryingRunner

    def _find_host(self):
        """Return the number of the gateway that grants the endpoints."""
        hosts = collections.Counter()
        for number in range(self.gateways):
            for line in self._read_log(number).splitlines():
                fields = json.loads(line)
                if fields['event'] == SENT_EVENT:
                    hosts[fields['host']] += 1
        names = [gateway.name for gateway in self.processes]
        return names.index(hosts.most_common(1)[0][0])

    async def _run_caller(self, name, ends_at):
        """Send requests on kept connections; return what became of them."""
        rng, conns, ended = random.Random(name), {}, []
        gateway = rng.randrange(self.gateways)
        while time.monotonic() < ends_at:
            route = rng.choice(('book', 'find', 'draft'))
            try:
                conn = conns.pop(gateway, None) or await self._connect(gateway)
            except (OSError, exceptions.EndpointUnreachableError):
                gateway = (gateway + 1) % self.gateways
                continue
            last = await self._call(
                route, f'{name}-{len(ended)}', gateway, conn
            )
            ended.append(last)
            closing = last.response.headers.get(b'connection') == b'close'
            if last.response.complete and not closing and conn.finish():
                conns[gateway] = conn
            else:
                conn.abort()
            if last.response.status != 200:
                await asyncio.sleep(0.1)
                gateway = (gateway + 1) % self.gateways
        return ended

    async def test_two_gateways_with_the_host_under_load(self):
        """Guards against requests that are lost between stopping gateways."""
        for runner in self.deployment.runners:
            runner.default_behaviour = 'pause'
        ends_at = time.monotonic() + LOAD_BEFORE_S + LOAD_AFTER_S
        calls = [
            asyncio.create_task(self._run_caller(f'c{n}', ends_at))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(LOAD_BEFORE_S)
        host = self._find_host()
        stopping = (host, (host + 1) % self.gateways)
        self.stopped_at = time.monotonic()
        for number in stopping:
            self.processes[number].send_signal(signal.SIGTERM)
        counts = collections.Counter()
        for call in calls:
            for ended in await call:
                counts[ended.response.status] += 1
                self._check_ended(ended)
        for number in stopping:
            await self._check_ends_in_order(number)
        self.assertGreater(counts[200], counts[503] + counts[None], counts)
