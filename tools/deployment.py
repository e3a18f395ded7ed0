"""Start and stop the processes of a deployment on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import aiosonic

from persimmonroute.config import declarations
from persimmonroute.platform import client
from standins import callers

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


class ProcessUsage(typing.NamedTuple):
    """Record the CPU time and resident memory of a process."""

    cpu_s: float
    resident_mb: float


class Deployment:
    """Manage the processes of one deployment."""

    def __init__(self, folder, log_folder):
        self._folder = pathlib.Path(folder)
        self._log_folder = pathlib.Path(log_folder)
        self._standins = self._load('standins.json')
        self._inventory = self._load('inventory.json')['instances']
        self._processes: dict[str, subprocess.Popen] = {}
        self._http = aiosonic.HTTPClient()

    @property
    def entries(self):
        """Return the addresses of the entries."""
        return [
            item['address']
            for item in self._inventory
            if item['kind'] == 'entry'
        ]

    @property
    def endpoints(self):
        """Return the inventory records of the endpoints by name."""
        return {
            item['name']: item
            for item in self._inventory
            if item['kind'] == 'endpoint'
        }

    @property
    def platform(self):
        """Return the address of the platform."""
        return self._standins['platform']

    @property
    def declarations_path(self):
        """Return the path of the declarations file."""
        return self._folder / 'declarations.json'

    @property
    def names(self):
        """Return the names of the started processes."""
        return list(self._processes)

    def load_declarations(self):
        """Return the declarations of the deployment."""
        return declarations.parse_declarations(
            self.declarations_path.read_text()
        )

    def start_all(self):
        """Start every process."""
        self.start_platform()
        for standin in self._standins['endpoints']:
            self.start_endpoint(standin['instance'])
            self.start_daemon(f'sidecar-{standin["instance"]}')
        for item in self._inventory:
            if item['kind'] == 'entry':
                self.start_daemon(item['name'])

    def start_platform(self):
        """Start the platform stand-in."""
        self._spawn(
            'platform',
            'standins.platform',
            '--address',
            self.platform,
            '--inventory',
            str(self._folder / 'inventory.json'),
        )

    def start_endpoint(self, name, *extra_arguments):
        """Start the stand-in of one endpoint."""
        for standin in self._standins['endpoints']:
            if standin['instance'] == name:
                address = self.endpoints[name]['address']
                self._spawn(
                    name,
                    standin['program'],
                    '--address',
                    address,
                    *standin['arguments'],
                    *extra_arguments,
                )

    def start_daemon(self, name):
        """Start one entry or sidecar from its settings file."""
        settings = str(self._folder / f'{name}.json')
        self._spawn(name, 'persimmonroute.daemon', '--config', settings)

    def find_pid(self, name):
        """Return the process id of a started process."""
        return self._processes[name].pid

    def send_signal(self, name, signal_number):
        """Send a signal to one process."""
        self._processes[name].send_signal(signal_number)

    async def wait_exit(self, name, timeout_s=STOP_TIMEOUT_S):
        """Wait until a process has exited and return its exit status."""
        process = self._processes[name]

        async def has_exited():
            return process.poll() is not None

        await callers.wait_until(has_exited, timeout_s)
        return process.returncode

    async def wait_serving(self):
        """Wait until every entry has a revision and reaches all sidecars."""
        for entry in self.entries:
            await callers.wait_until(
                lambda entry=entry: self.is_serving(entry), START_TIMEOUT_S
            )

    async def is_serving(self, entry):
        """Return whether an entry has a revision and reaches all sidecars."""
        report = await self.get_json(f'http://{entry}/admin/v1/status')
        if report is None or not report['revision']:
            return False
        usable = [s['usable'] for s in report['sidecars'].values()]
        return len(usable) == len(self.endpoints) and all(usable)

    async def get_json(self, url):
        """Return the JSON body of a URL, or None if the request fails."""
        text = await self.get_text(url)
        return None if text is None else json.loads(text)

    async def get_text(self, url):
        """Return the text body of a URL, or None if the request fails."""
        try:
            response = await self._http.get(url)
            return (await response.content()).decode()
        except client.HTTP_ERRORS:
            return None

    async def post_json(self, url, document):
        """Post a JSON document to a URL."""
        response = await self._http.post(url, json=document)
        await response.content()

    async def count_runs(self):
        """Return runs by request id, and prefilled and wasted token counts."""
        runs, prefilled, wasted = {}, 0, 0
        for item in self.endpoints.values():
            url = f'http://{item["address"]}/control/counts'
            counts = await self.get_json(url)
            for request_id, count in counts['runs'].items():
                runs[request_id] = runs.get(request_id, 0) + count
            prefilled += counts.get('prefilled_tokens', 0)
            wasted += counts.get('wasted_tokens', 0)
        return runs, prefilled, wasted

    def read_usage(self):
        """Return the ProcessUsage of each running process by name."""
        return {
            name: _read_process_usage(process.pid)
            for name, process in self._processes.items()
            if process.poll() is None
        }

    async def stop(self):
        """Stop every process that still runs.

        SIGCONT comes first, as a suspended process does not act on SIGTERM.
        """
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._processes.values():
            try:
                await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        await self._http.aclose()

    def _load(self, name):
        return json.loads((self._folder / name).read_text())

    def _spawn(self, name, module, *arguments):
        self._log_folder.mkdir(parents=True, exist_ok=True)
        with open(self._log_folder / f'{name}.log', 'ab') as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )


def _read_process_usage(pid):
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(') ')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return ProcessUsage(
        ticks / os.sysconf('SC_CLK_TCK'),
        pages * os.sysconf('SC_PAGE_SIZE') / 1e6,
    )


@contextlib.asynccontextmanager
async def run_deployment(folder, log_folder):
    """Run a deployment within the context and stop it on exit."""
    deployment = Deployment(folder, log_folder)
    try:
        deployment.start_all()
        yield deployment
    finally:
        await deployment.stop()
