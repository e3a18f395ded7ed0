"""Measure how long a revision takes to be in force in every process.

Usage: propagation [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --changes N        Changes for each fault of the store [default: 10].
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
    """Copy a deployment and make its entries trust an operator's key."""
    source = deployments.ROOT / 'deploy' / name
    shutil.copytree(source, target, dirs_exist_ok=True)
    for path in pathlib.Path(target).glob('entry-*.json'):
        settings = json.loads(path.read_text())
        settings['operator_key'] = public_key
        path.write_text(json.dumps(settings))


class Propagation:
    """Apply configuration changes and time when they are in force."""

    def __init__(self, deployment, folder, key):
        self._deployment = deployment
        self._document = json.loads(deployment.declarations_path.read_text())
        self._path = pathlib.Path(folder) / 'next.json'
        self._key = key
        self._revision = 0
        self._platform = client.HttpPlatform(deployment.platform)

    async def apply(self):
        """Apply one more change, which adds a workspace of a new name."""
        self._revision += 1
        workspaces = [
            *self._document['workspaces'],
            f'workspace-{self._revision}',
        ]
        document = {**self._document, 'workspaces': workspaces}
        self._path.write_text(json.dumps(document))
        await apply.apply(self._platform, self._path, key=self._key)

    async def wait_in_force(self, started_at):
        """Wait for the last change in every process; return the seconds."""
        async with entries.open_entry_client(self._platform) as entry_client:
            while True:
                statuses = await entry_client.fetch_statuses()
                if not status.find_lagging(statuses, self._revision):
                    return time.monotonic() - started_at
                if time.monotonic() - started_at > TIMEOUT_S:
                    raise TimeoutError(
                        'the revision is not in force everywhere'
                    )
                await asyncio.sleep(POLL_S)

    async def set_fault(self, fault):
        """Set the fault of the store."""
        url = f'http://{self._deployment.platform}/control/fault'
        await self._deployment.post_json(url, {'fault': fault})

    async def measure(self, fault, changes):
        """Return the seconds that each change takes under a store fault.

        With `down` the store fails right after it accepts each change.
        """
        times = []
        for _ in range(changes):
            initial_fault = 'none' if fault == 'down' else fault
            await self.set_fault(initial_fault)
            started_at = time.monotonic()
            await self.apply()
            await self.set_fault(fault)
            times.append(await self.wait_in_force(started_at))
        await self.set_fault('none')
        return times

    async def close(self):
        """Close all connections."""
        await self._platform.close()


async def run(name, changes):
    """Start a deployment and print the propagation times per fault."""
    key = operators.OperatorKey.generate()
    with tempfile.TemporaryDirectory() as folder:
        copy_deployment(name, folder, key.public_key)
        logs = pathlib.Path(folder) / 'logs'
        async with deployments.run_deployment(folder, logs) as deployment:
            url = f'http://{deployment.platform}/rows-get?Table=instances'
            while await deployment.get_json(url) is None:
                await asyncio.sleep(POLL_S)
            propagation = Propagation(deployment, folder, key)
            await propagation.apply()
            await deployment.wait_serving()
            for fault in ('none', 'slow', 'down'):
                times = sorted(await propagation.measure(fault, changes))
                print(
                    f'store {fault}: median {times[len(times) // 2]:.2f} s,'
                    f' worst {times[-1]:.2f} s of {len(times)} changes'
                )
            await propagation.close()


def main():
    """Run the measurement from the command line."""
    arguments = docopt.docopt(__doc__)
    asyncio.run(run(arguments['--deployment'], int(arguments['--changes'])))


if __name__ == '__main__':
    main()
