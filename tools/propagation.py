"""Measure the time until a revision is in force everywhere.

Usage: propagation [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --changes N        Changes for each state of the store [default: 10].
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import tempfile
import time

import docopt

from persimmonroute.commands import apply
from persimmonroute.commands import entries
from persimmonroute.commands import status
from persimmonroute import operators
from persimmonroute.platform import client
from tools import deployment as deployments

POLL_S = 0.01
TIMEOUT_S = 60.0


def copy_deployment(name, target, public_key):
    """Copy a deployment's files and name the first operator in them."""
    source = deployments.ROOT / 'deploy' / name
    shutil.copytree(source, target, dirs_exist_ok=True)
    for path in pathlib.Path(target).glob('entry-*.json'):
        settings = json.loads(path.read_text())
        settings['operator_key'] = public_key
        path.write_text(json.dumps(settings))


class Propagation:
    """Apply changes and wait until all processes have them."""

    def __init__(self, deployment, folder, key):
        self._deployment = deployment
        self._document = json.loads(deployment.declarations_path.read_text())
        self._path = pathlib.Path(folder) / 'next.json'
        self._key = key
        self._number = 0
        self._platform = client.HttpPlatform(deployment.platform)

    async def apply(self):
        """Apply one change more."""
        self._number += 1
        workspaces = [
            *self._document['workspaces'],
            f'workspace-{self._number}',
        ]
        document = {**self._document, 'workspaces': workspaces}
        self._path.write_text(json.dumps(document))
        await apply.apply(self._platform, self._path, key=self._key)

    async def wait_in_force(self, began):
        """Return the seconds until the last change is everywhere."""
        async with entries.open_entry_client(self._platform) as found:
            while True:
                statuses = await found.fetch_statuses()
                if not status.find_lagging(statuses, self._number):
                    return time.monotonic() - began
                if time.monotonic() - began > TIMEOUT_S:
                    raise TimeoutError('the revision is not everywhere')
                await asyncio.sleep(POLL_S)

    async def set_fault(self, fault):
        """Set the state of the table service."""
        url = f'http://{self._deployment.platform}/control/fault'
        await self._deployment.post_json(url, {'fault': fault})

    async def measure(self, fault, changes):
        """Return the times of some changes in a state of the store.

        With `down` the store is cut right after each acceptance.
        """
        times = []
        for _ in range(changes):
            before = 'none' if fault == 'down' else fault
            await self.set_fault(before)
            began = time.monotonic()
            await self.apply()
            await self.set_fault(fault)
            times.append(await self.wait_in_force(began))
        await self.set_fault('none')
        return times

    async def close(self):
        """Close all connections."""
        await self._platform.close()


async def run(name, changes):
    """Start a deployment and print the times."""
    key = operators.OperatorKey.generate()
    with tempfile.TemporaryDirectory() as folder:
        copy_deployment(name, folder, key.public_key)
        logs = pathlib.Path(folder) / 'logs'
        async with deployments.running(folder, logs) as deployment:
            url = f'http://{deployment.platform}/rows-get?Table=instances'
            while await deployment.get_json(url) is None:
                await asyncio.sleep(POLL_S)
            found = Propagation(deployment, folder, key)
            await found.apply()
            await deployment.wait_serving()
            for fault in ('none', 'slow', 'down'):
                times = sorted(await found.measure(fault, changes))
                print(
                    f'store {fault}: median {times[len(times) // 2]:.2f} s,'
                    f' worst {times[-1]:.2f} s of {len(times)} changes'
                )
            await found.close()


def main():
    """Measure from the command line."""
    arguments = docopt.docopt(__doc__)
    asyncio.run(run(arguments['--deployment'], int(arguments['--changes'])))


if __name__ == '__main__':
    main()
