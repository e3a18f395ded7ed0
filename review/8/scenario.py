"""Let a runner answer a few requests with bytes that are no answer."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

SERVICE = 'trade-desk'
PATH = '/po-commit/'
# Bursts of requests at once, with pauses between them: requests that must not
# run twice then go to the runners on new connections.
BURSTS = 8
BURST = 12
PAUSE_S = 0.6
WORK_S = 0.05
# One of two runners spoils one in 20 of its answers for 5 s. The site file's
# limits are a share of 0.6 of the runners, 0.05 of their answers and 6.31 s.
SPOIL_EVERY = 20
# Belongs to no request: it has neither Attempt-Id nor Upstream-Signature.
GARBAGE = harness.response(200, b'ok', [('Content-Type', 'text/plain')])


class SpoilingRunner(harness.Runner):
    """Run all requests, and spoil some answers."""

    spoils = False
    # Answers that may be spoiled: one in SPOIL_EVERY of all answers.
    spoiled = 0

    async def respond(self, message, writer, attempt, number):
        """Answer a request; return whether to keep the connection."""
        self.run(message, attempt)
        await asyncio.sleep(WORK_S)
        allowed = len(self.runs) // SPOIL_EVERY
        if self.spoils and number == 1 and self.spoiled < allowed:
            self.spoiled += 1
            self.record.add(f'runner {self.id} writes no answer to {attempt}')
            writer.write(GARBAGE)
            return True
        writer.write(self.sound_response(attempt))
        return True


async def play(record, folder, gateways):
    """Return whether no success came without a runner's signature."""
    store = harness.Store()
    await store.start()
    runners = [SpoilingRunner(f'r{n}', SERVICE, record) for n in range(2)]
    for runner in runners:
        await runner.start()
        store.put('servers', runner.id, runner.registration())
    runners[0].spoils = harness.TROUBLE
    routes = [harness.route('po-commit', SERVICE)]
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
        if answer is None:
            record.add(f'client gets no answer to {attempt}')
            return 'none'
        signature = answer.headers.get('upstream-signature')
        record.add(
            f'client gets {answer.status} for {attempt},'
            f' signature {signature}, body {answer.body[:40]!r}'
        )
        if not 200 <= answer.status < 300:
            return 'failure'
        return 'signed' if signature else 'unsigned'

    results = []
    for burst in range(BURSTS):
        numbers = range(burst * BURST, (burst + 1) * BURST)
        results += await asyncio.gather(*(send(n) for n in numbers))
        await asyncio.sleep(PAUSE_S)
    counts = {kind: results.count(kind) for kind in sorted(set(results))}
    record.add(f'answers: {counts}; spoiled: {runners[0].spoiled}')
    if counts.get('signed', 0) < len(results) / 2:
        raise harness.CannotRun('most requests were not served')
    if harness.TROUBLE and not runners[0].spoiled:
        raise harness.CannotRun('no answer was spoiled')
    return not counts.get('unsigned')


if __name__ == '__main__':
    harness.run_case(FOLDER, play)
