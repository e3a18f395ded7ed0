"""Own the gateways' processes of a soak."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from tools.soak import proxy

# As the platform gives a process from SIGTERM to SIGKILL.
GRACE_S = 6.0
POLL_S = 0.02
# Each process that plays seeds has a block of ports, so that plays at the
# same time take different ones. All are below those that Linux gives to
# outgoing connections.
FIRST_PORT = 12_000
PORT_BLOCKS = 200
BLOCK_PORTS = 100
_numbers = itertools.count()


class Gateway:
    """Hold one gateway, its process and the links before and behind it."""

    def __init__(self, name, settings, folder, tree):
        self.name = name
        self.settings = settings
        self.store_link = proxy.Proxy()
        self.caller_link = proxy.Proxy()
        # Where the process writes.
        self.log = open(pathlib.Path(folder) / f'{name}.log', 'ab')
        self.start_number = 0
        # Set while the process is being replaced.
        self.ending = False
        # Set at the end when the process was not running any more.
        self.ended_early = False
        self._tree = tree
        self._path = pathlib.Path(folder) / f'{name}.json'
        self._process = None

    @property
    def running(self):
        """Tell whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self):
        """Return the exit status of the process that ended."""
        return self._process.returncode

    async def open_links(self, store):
        """Begin to forward to the store and from callers."""
        self.store_link.target = store
        await self.store_link.start()
        self.caller_link.target = self.settings['address']
        await self.caller_link.start()
        self.settings['platform'] = self.store_link.address
        self.write_settings()

    def write_settings(self, **changes):
        """Write the settings file, with some of them changed."""
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

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.running:
            self._process.send_signal(number)

    async def terminate(self, number):
        """Let the process end by a signal; False if it had to be killed."""
        self.send_signal(number)
        ended = await self._wait_ended()
        if not ended:
            self._process.kill()
            await self._wait_ended()
        return ended

    async def close(self):
        """End everything that was started."""
        self.ended_early = not self.running
        if self._process is not None:
            self.send_signal(signal.SIGCONT)
            await self.terminate(signal.SIGKILL)
        await self.store_link.stop()
        await self.caller_link.stop()
        self.log.close()

    async def _wait_ended(self):
        for _ in range(int(GRACE_S / POLL_S)):
            if not self.running:
                return True
            await asyncio.sleep(POLL_S)
        return not self.running


def free_listening_port():
    """Return a free port that no other play and no connection is given."""
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * BLOCK_PORTS
    while True:
        port = first + next(_numbers) % BLOCK_PORTS
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(('127.0.0.1', port))
            return port


def write_first_settings(number, seeds):
    """Return the settings of a gateway, but for the store's address."""
    port = free_listening_port
    return {
        'role': 'gateway',
        'instance': f'gateway-{number}',
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
        'stop_grace_s': GRACE_S,
        'retry_slack': 100,
        'log_format': 'json',
    }
