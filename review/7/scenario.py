"""Lose the answers of a few requests on a route that also has StreamResume."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

SERVICE = 'trade-desk'
PATH = '/po-commit/'
REQUESTS = 120
# Requests are sent for 5 s; the site file loses answers for up to 6 s.
INTERVAL_S = 0.04
# One of three runners loses one in four of its answers. The site file's
# limits are a share of 0.6 of the runners and 0.4 of their requests.
LOSE_EVERY = 4
WORK_S = 0.03


class LossyRunner(harness.Runner):
    """Run all requests, and reset the connection instead of some answers."""

    loses = False

    async def respond(self, message, writer, attempt, number):
        """Answer a request; return whether to keep the connection."""
        self.run(message, attempt)
        await asyncio.sleep(WORK_S)
        if self.loses and len(self.runs) % LOSE_EVERY == 0:
            self.record.add(f'runner {self.id} loses the answer to {attempt}')
            harness.reset(writer)
            return False
        writer.write(self.sound_response(attempt))
        return True


async def play(record, folder, gateways):
    """Return whether no request ran more than once."""
    store = harness.Store()
    await store.start()
    runners = [LossyRunner(f'r{n}', SERVICE, record) for n in range(3)]
    for runner in runners:
        await runner.start()
        store.put('servers', runner.id, runner.registration())
    runners[0].loses = harness.TROUBLE
    routes = [harness.route('po-commit', SERVICE, StreamResume=True)]
    store.put('op', 'config', harness.configuration(1, routes, [SERVICE]))
    gateway = harness.Gateway('edge-1', store.port, folder)
    gateways.append(gateway)
    await gateway.start()
    await gateway.wait_ready()

    async def send(number):
        attempt = f'order-{number}'
        record.add(f'client sends {attempt}')
        answer = await harness.call(
            gateway.front, harness.request(attempt, PATH, body=b'order')
        )
        status = None if answer is None else answer.status
        record.add(f'client gets {status} for {attempt}')
        return status

    calls = []
    for number in range(REQUESTS):
        calls.append(asyncio.create_task(send(number)))
        await asyncio.sleep(INTERVAL_S)
    statuses = collections.Counter(await asyncio.gather(*calls))
    record.add(f'statuses: {dict(statuses)}')
    if statuses[200] < REQUESTS / 2:
        raise harness.CannotRun('most requests were not served')
    runs = collections.Counter(
        attempt for runner in runners for attempt, _ in runner.runs
    )
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    record.add(f'{len(twice)} requests ran more than once: {twice}')
    return not twice


if __name__ == '__main__':
    harness.run_case(FOLDER, play)
