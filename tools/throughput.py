"""Measure one entry at three times a node's share of the peak.

Usage: throughput [options]

The stand-ins and the caller carry far less than an entry at that size, so a
lower rate gives the slope.

Options:
  --seconds S  Time of the measurement [default: 15].
  --rate N     Requests a second [default: 51].
  --seed N     Seed of the arrivals [default: 1].
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import typing

import docopt
from hdrh import histogram

from standins import callers
from standins import small_simulation
from tools import demo
from tools import deployment as deployments
from tools import small_deployment

# Time for the sidecars to learn what their engines carry.
WARM_UP_S = 15.0
TOKENS = 360
ENGINES = 3
FAST = ['--prefill', '200000', '--step', '0.008', '--request', '0.00001']
LONGEST_US = 60_000_000
DIGITS = 3


class Measured(typing.NamedTuple):
    """Hold the first-token times of one way, and what failed."""

    first_us: histogram.HdrHistogram
    failed: int


def plan_endpoints():
    """Return fast engines."""
    return tuple(
        small_deployment.EndpointPlan(
            f'llm-pool-{number + 1}', 'llm-pool', 'model', 'engine', FAST
        )
        for number in range(ENGINES)
    )


def build_call(name):
    """Return one streamed request."""
    return callers.plan_completion(
        name,
        small_simulation.WORKSPACE,
        'counter-offer',
        small_simulation.MODEL,
        TOKENS,
    )


async def measure(deployment, rate, seconds, seed):
    """Send every other request past the entry, in the same run."""
    chance = random.Random(seed)
    caller = callers.Caller()
    engines = [item['address'] for item in deployment.endpoints.values()]
    ways = {True: _new_measured(), False: _new_measured()}
    failed = dict.fromkeys(ways, 0)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def send(number, at, counted):
        await asyncio.sleep(max(began + at - loop.time(), 0))
        direct = number % 2 == 0
        target = deployment.entries[0]
        if direct:
            target = engines[number // 2 % len(engines)]
        result = await caller.send(target, build_call(f'r-{number}'))
        if not counted:
            return
        ways[direct].record_value(max(int(result.first_s * 1e6), 1))
        # Engines give no outcome of their own.
        failed[direct] += not direct and result.outcome != 'completed'

    async def read_usage(at):
        await asyncio.sleep(max(began + at - loop.time(), 0))
        return deployment.read_usage()['entry-1']

    whole = WARM_UP_S + seconds
    count = int(rate * whole * 2)
    times = sorted(chance.uniform(0, whole) for _ in range(count))
    before, after, *_ = await asyncio.gather(
        read_usage(WARM_UP_S),
        read_usage(whole),
        *(send(n, at, at > WARM_UP_S) for n, at in enumerate(times)),
    )
    await caller.close()
    core = (after.cpu_s - before.cpu_s) / seconds
    measured = {
        direct: Measured(found, failed[direct])
        for direct, found in ways.items()
    }
    return core, after.resident_mb, measured


def _new_measured():
    return histogram.HdrHistogram(1, LONGEST_US, DIGITS)


async def run(rate, seconds, seed):
    """Start a deployment, measure and print."""
    with tempfile.TemporaryDirectory() as folder:
        small_deployment.write_deployment(
            folder, entries=1, endpoints=plan_endpoints()
        )
        logs = pathlib.Path(folder) / 'logs'
        async with deployments.running(folder, logs) as deployment:
            await asyncio.to_thread(demo.apply_declarations, deployment)
            await deployment.wait_serving()
            core, memory, ways = await measure(deployment, rate, seconds, seed)
    print(f'entry: {core:.2f} of a core, {memory:.0f} MB')
    for direct, name in ((True, 'direct'), (False, 'by the entry')):
        found = ways[direct]
        p50 = found.first_us.get_value_at_percentile(50) / 1000
        p95 = found.first_us.get_value_at_percentile(95) / 1000
        count = found.first_us.get_total_count()
        print(
            f'{name}: {count} requests, first token p50 {p50:.1f} ms,'
            f' p95 {p95:.1f} ms, {found.failed} failed'
        )


def main():
    """Measure from the command line."""
    arguments = docopt.docopt(__doc__)
    asyncio.run(
        run(
            float(arguments['--rate']),
            float(arguments['--seconds']),
            int(arguments['--seed']),
        )
    )


if __name__ == '__main__':
    main()
