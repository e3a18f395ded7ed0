"""Manage the gateway processes of a soak run."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys

from persimmonroute import http_connection
from standins import gateway_deployment as deployments
from tools.soak import proxy

# The time that the platform leaves between SIGTERM and SIGKILL.
STOP_GRACE_S = 6.0
POLL_S = 0.02
VERSION_METRIC = 'persimmonroute_configuration_version'


class Gateway:
    """Manage one gateway process and its links to callers and the store."""

    def __init__(self, name, settings, folder, tree):
        self.name = name
        self.settings = settings
        self.store_link = proxy.Proxy()
        self.caller_link = proxy.Proxy()
        # Receives stdout and stderr of the process.
        self.log = open(pathlib.Path(folder) / f'{name}.log', 'ab')
        self.start_number = 0
        # Set while the process is being replaced.
        self.restarting = False
        # Set on close if the process had already exited.
        self.exited_early = False
        self._tree = tree
        self._path = pathlib.Path(folder) / f'{name}.json'
        self._process = None

    @property
    def running(self):
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        """Return the id of the last process, or None before the first."""
        return self._process and self._process.pid

    @property
    def exit_status(self):
        """Return the exit status of the last process."""
        return self._process.returncode

    async def open_links(self, store):
        """Start the proxies to the store and from callers."""
        self.store_link.target = store
        await self.store_link.start()
        self.caller_link.target = self.settings['address']
        await self.caller_link.start()
        self.settings['platform'] = self.store_link.address
        self.write_settings()

    def write_settings(self, **changes):
        """Apply changes to the settings and write the settings file."""
        self.settings.update(changes)
        self._path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process."""
        self.start_number += 1
        command = [sys.executable, '-m', 'persimmonroute.daemon']
        self._process = subprocess.Popen(
            [*command, '--config', str(self._path)],
            cwd=self._tree,
            stdout=self.log,
            stderr=self.log,
        )

    def send_signal(self, signal_number):
        """Send a signal to the process if it is running."""
        if self.running:
            self._process.send_signal(signal_number)

    async def terminate(self, signal_number):
        """Stop the process with a signal; False if it had to be killed."""
        self.send_signal(signal_number)
        exited = await self._wait_for_exit()
        if not exited:
            self._process.kill()
            await self._wait_for_exit()
        return exited

    async def read_version(self, timeout_s):
        """Return the configuration version on the metrics address."""
        conn = await http_connection.open_connection(
            self.settings['metrics_address'], timeout_s
        )
        try:
            conn.send_request('GET', '/metrics', [('host', 'x')], b'')
            response = await http_connection.read_response(conn, timeout_s)
        finally:
            conn.abort()
        for line in response.body.decode().splitlines():
            name, _, value = line.partition(' ')
            if name == VERSION_METRIC:
                return int(float(value))
        return 0

    async def close(self):
        """Kill the process, stop the proxies and close the log."""
        self.exited_early = not self.running
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            await self.terminate(signal.SIGKILL)
        await self.store_link.stop()
        await self.caller_link.stop()
        self.log.close()

    async def _wait_for_exit(self):
        for _ in range(int(STOP_GRACE_S / POLL_S)):
            if not self.running:
                return True
            await asyncio.sleep(POLL_S)
        return not self.running


def build_initial_settings(index, seeds, **changes):
    """Return the settings of a gateway except the address of the store."""
    port = deployments.free_port
    return {
        'role': 'gateway',
        'instance': f'gateway-{index}',
        'region': 'riga',
        'failure_domain': 'riga-a',
        'address': f'127.0.0.1:{port()}',
        'ready_address': f'127.0.0.1:{port()}',
        'metrics_address': f'127.0.0.1:{port()}',
        'control_address': f'127.0.0.1:{port()}',
        'seeds': list(seeds),
        'peer_address': f'127.0.0.1:{port()}',
        'regions': {'riga-a': 'riga'},
        'revocation_s': 3,
        'configuration_s': 2.5,
        'stop_grace_s': STOP_GRACE_S,
        'retry_slack': 100,
        'log_format': 'json',
        **changes,
    }
