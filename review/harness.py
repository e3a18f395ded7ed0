"""Run gateways as processes between a store, endpoints and callers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from persimmonroute import exceptions
from persimmonroute import http_connection
from persimmonroute import http_server
from standins import gateway_deployment
from standins import platform
from standins import platform_runner

ROOT = pathlib.Path(__file__).parents[1]
SETTINGS_PATH = '/etc/persimmonroute/local.toml'
HOST = 'desk.example'
SERVICE = 'trade-desk'
ZONE, REGION = 'riga-a', 'riga'
SIGNATURE = b'upstream-signature'
# Of sites/baltkomp-route.toml.
RECOVER_S = 12.0
READY_TIMEOUT_S = 20.0
CONNECT_S = 1.0
# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Recorder:
    """Write what happened, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line."""
        self._file.write(f'{self.now():8.3f}  {text}\n')

    def conclude(self, text):
        """Write one line, and print it."""
        self.write(text)
        print(text)

    def close(self):
        """Close the file."""
        self._file.close()


class Runner(platform_runner.RunnerStandIn):
    """Record the requests that arrive and run."""

    def __init__(self, runner_id, recorder):
        super().__init__(runner_id)
        self._recorder = recorder

    def record_run(self, attempt, headers):
        """Record a run of an attempt."""
        super().record_run(attempt, headers)
        self._recorder.write(f'{self.id} runs {attempt}')


class Gateway:
    """Manage one process of the deploy file."""

    def __init__(self, name, settings, folder):
        self.name = name
        self.settings = settings
        self._path = pathlib.Path(folder) / f'{name}.json'
        self._path.write_text(json.dumps(settings))
        self._log = open(pathlib.Path(folder) / f'{name}.log', 'ab')
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        command = [
            str(self._path) if word == SETTINGS_PATH else word
            for word in command
        ]
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def close(self):
        """Kill the process and close its log."""
        self.kill()
        self._log.close()

    async def wait_ready(self):
        """Wait until the readiness probe succeeds."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self._probe() != 200:
                await asyncio.sleep(0.05)

    async def _probe(self):
        with contextlib.suppress(
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
            TimeoutError,
        ):
            conn = await http_connection.open_connection(
                self.settings['ready_address'], CONNECT_S
            )
            try:
                conn.send_request('GET', '/readyz', [('host', 'x')], b'')
                answer = await http_connection.read_response(conn, 1.0)
                return answer.status
            finally:
                conn.abort()
        return None


class Deployment:
    """Hold the store, the endpoints and the gateways of a script."""

    def __init__(self, recorder, folder):
        self.recorder = recorder
        self.store = platform.PlatformStandIn([], 0.0)
        self.gateways = []
        self._folder = folder
        self.runners = []
        self._store_address = f'127.0.0.1:{gateway_deployment.free_port()}'
        self._server = http_server.build_server(
            self.store.build_app(), self._store_address, 1
        )
        self._serving = None

    async def start(self, gateways, runners):
        """Start everything and wait until the gateways are ready."""
        self._serving = asyncio.create_task(self._server.serve())
        self.write_configuration(1)
        for runner_id in runners:
            await self.add_runner(runner_id)
        for number in range(gateways):
            self._add_gateway(f'edge-{number + 1}')
        await self.start_gateways()

    async def start_gateways(self):
        """Start all gateways and wait until they are ready."""
        for gateway in self.gateways:
            gateway.start()
            self.recorder.write(f'{gateway.name} is started')
        for gateway in self.gateways:
            await gateway.wait_ready()
            self.recorder.write(f'{gateway.name} says that it is ready')

    def write_configuration(self, version):
        """Write op/config, as the operator does."""
        kinds = {
            'book': 'non_idempotent',
            'find': 'idempotent',
            'draft': 'streaming',
            'resume': 'streaming',
        }
        routes = [
            {
                'Name': name,
                'Host': HOST,
                'Prefix': f'/{name}/',
                'Kind': kind,
                'TimeoutMs': 15000 if kind == 'streaming' else 2000,
                'TargetLatencyMs': 400,
                'Priority': 1,
                'Service': SERVICE,
                'StreamResume': name == 'resume',
                'MaxAttempts': 2 if name in ('find', 'resume') else 1,
                'Public': True,
            }
            for name, kind in kinds.items()
        ]
        document = {
            'Version': version,
            'Routes': routes,
            'Services': [
                {
                    'Name': SERVICE,
                    'HealthPath': '/healthz',
                    'MaxConnections': 96,
                    'Protocol': 'h1',
                    'Tls': False,
                }
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
        self.store.put_row('op', 'config', document)

    async def add_runner(self, runner_id):
        """Start an endpoint that registers itself as ready."""
        runner = Runner(runner_id, self.recorder)
        runner.born = int(time.time() * 1000)
        await runner.start()
        self.runners.append(runner)
        self.register(runner, 'ready')
        return runner

    def register(self, runner, state):
        """Write the registration of an endpoint, as it does itself."""
        self.store.put_row('servers', runner.id, self.describe(runner, state))
        self.recorder.write(f'{runner.id} registers as {state}')

    def describe(self, runner, state):
        """Return the registration of an endpoint."""
        return {
            'Service': SERVICE,
            'Address': runner.address,
            'Zone': ZONE,
            'Version': runner.version or 'v1',
            'Slots': 9,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': runner.born,
        }

    def _add_gateway(self, name):
        def address():
            return f'127.0.0.1:{gateway_deployment.free_port()}'

        settings = {
            'role': 'gateway',
            'instance': name,
            'region': REGION,
            'failure_domain': ZONE,
            'address': address(),
            'ready_address': address(),
            'metrics_address': address(),
            'control_address': address(),
            'seeds': [g.settings['control_address'] for g in self.gateways],
            'peer_address': address(),
            'platform': self._store_address,
            'regions': {ZONE: REGION},
            'cpu_share': 0.817,
            'cores': 1,
            'revocation_s': 5,
            'configuration_s': 2.5,
            'retry_ratio': 0.2,
            'retry_slack': 52,
            'retry_window_s': 10,
            'quota_window_s': 8,
            'quota_overrun': 0.1,
            'quota_slack': 110000,
            'stop_grace_s': 8,
            'log_format': 'json',
        }
        self.gateways.append(Gateway(name, settings, self._folder))

    async def stop(self):
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.close()
        for runner in self.runners:
            await runner.stop()
        self._server.should_exit = True
        if self._serving is not None:
            await self._serving


class Answer:
    """Hold what a caller got for one request."""

    def __init__(self, route, attempt, sent_at):
        self.route = route
        self.attempt = attempt
        self.sent_at = sent_at
        # None if the connection ended without an answer.
        self.status = None
        self.signed = False
        self.body = b''

    @property
    def served(self):
        """Return whether it is a success that an endpoint signed."""
        return self.status == 200 and self.signed


class Caller:
    """Send requests to one gateway, on a connection that is kept."""

    def __init__(self, name, gateway, recorder):
        self._name = name
        self._gateway = gateway
        self._recorder = recorder
        self._conn = None
        self._count = 0
        self.answers = []

    async def run(self, until, pause_s=0.1):
        """Send requests of both routes in turn until a time."""
        while self._recorder.now() < until:
            route = ('find', 'book')[self._count % 2]
            await self.send(route)
            await asyncio.sleep(pause_s)
        if self._conn is not None:
            self._conn.abort()

    async def send(self, route):
        """Send one request and record its answer."""
        self._count += 1
        attempt = f'{self._name}-{self._count}'
        answer = Answer(route, attempt, self._recorder.now())
        self.answers.append(answer)
        self._recorder.write(f'{attempt} ({route}) to {self._gateway.name}')
        try:
            await self._exchange(answer)
        except (
            exceptions.EndpointUnreachableError,
            exceptions.EndpointBrokenError,
            TimeoutError,
            OSError,
        ) as error:
            self._drop_connection()
            self._recorder.write(f'{attempt} gets no answer: {error!r}')
            return answer
        self._recorder.write(
            f'{attempt} gets {answer.status},'
            f' signed: {answer.signed}, {answer.body[:60]!r}'
        )
        return answer

    async def _exchange(self, answer):
        if self._conn is None or not self._conn.reusable:
            self._conn = await http_connection.open_connection(
                self._gateway.settings['address'], CONNECT_S
            )
        method = 'GET' if answer.route == 'find' else 'POST'
        body = b'' if method == 'GET' else b'order'
        headers = [
            ('host', HOST),
            ('attempt-id', answer.attempt),
            ('deadline-remaining-ms', '3000'),
        ]
        if body:
            headers.append(('content-length', str(len(body))))
        conn = self._conn
        conn.send_request(method, f'/{answer.route}/x', headers, body)
        response = await http_connection.read_response(conn, 4.0)
        answer.status = response.status
        answer.signed = SIGNATURE in response.headers
        answer.body = response.body
        closing = response.headers.get(b'connection') == b'close'
        if closing or not conn.finish():
            self._drop_connection()

    def _drop_connection(self):
        if self._conn is not None:
            self._conn.abort()
        self._conn = None


def trouble_wanted():
    """Return whether the disruption is to be injected."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(folder, scenario):
    """Run a scenario in a temporary folder and exit with its status."""
    recorder = Recorder(folder)
    temporary = tempfile.mkdtemp(prefix='review-')
    try:
        status = asyncio.run(_run(recorder, temporary, scenario))
    except Exception as error:
        recorder.conclude(f'the case could not run: {error!r}')
        status = NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
        recorder.close()
    sys.exit(status)


async def _run(recorder, temporary, scenario):
    deployment = Deployment(recorder, temporary)
    try:
        async with asyncio.timeout(110):
            return await scenario(deployment, recorder)
    finally:
        await deployment.stop()
