"""Measure the CPU, memory and added latency of one entry under load.

Usage: throughput [options]

The default rate is three times one node's share of the peak load. The
stand-ins and the caller saturate far below that rate, so pass a lower rate to
measure the cost per request.

Options:
  --seconds S  Seconds of the measurement [default: 15].
  --rate N     Requests per second [default: 51].
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

# Until the sidecars have adapted their limits to the engines.
WARM_UP_S = 15.0
OUTPUT_TOKENS = 360
ENGINE_COUNT = 3
FAST_ENGINE_ARGUMENTS = [
    '--prefill',
    '200000',
    '--step',
    '0.008',
    '--request',
    '0.00001',
]
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3


class PathResult(typing.NamedTuple):
    """Record the first-token times and failures of one request path."""

    first_us: histogram.HdrHistogram
    failed: int


def plan_endpoints():
    """Return the plans of engines that are faster than the default."""
    return tuple(
        small_deployment.EndpointPlan(
            f'llm-pool-{number + 1}',
            'llm-pool',
            'model',
            'engine',
            FAST_ENGINE_ARGUMENTS,
        )
        for number in range(ENGINE_COUNT)
    )


def build_call(name):
    """Return one streamed completion."""
    return callers.plan_completion(
        name,
        small_simulation.WORKSPACE,
        'counter-offer',
        small_simulation.MODEL,
        OUTPUT_TOKENS,
    )


async def measure(deployment, rate, seconds, seed):
    """Measure requests through the entry and directly to the engines.

    Both paths alternate in the same run, so conditions are the same.
    """
    rng = random.Random(seed)
    caller = callers.Caller()
    engines = [item['address'] for item in deployment.endpoints.values()]
    histograms = {True: _build_histogram(), False: _build_histogram()}
    failed = dict.fromkeys(histograms, 0)
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def send(number, at, measured):
        await asyncio.sleep(max(started_at + at - loop.time(), 0))
        direct = number % 2 == 0
        target = deployment.entries[0]
        if direct:
            target = engines[number // 2 % len(engines)]
        result = await caller.send(target, build_call(f'r-{number}'))
        if not measured:
            return
        histograms[direct].record_value(max(int(result.first_s * 1e6), 1))
        # Engines report no outcome, so direct requests never count as failed.
        failed[direct] += not direct and result.outcome != 'completed'

    async def read_usage(at):
        await asyncio.sleep(max(started_at + at - loop.time(), 0))
        return deployment.read_usage()['entry-1']

    total_s = WARM_UP_S + seconds
    count = int(rate * total_s * 2)
    times = sorted(rng.uniform(0, total_s) for _ in range(count))
    before, after, *_ = await asyncio.gather(
        read_usage(WARM_UP_S),
        read_usage(total_s),
        *(send(n, at, at > WARM_UP_S) for n, at in enumerate(times)),
    )
    await caller.close()
    cpu_share = (after.cpu_s - before.cpu_s) / seconds
    paths = {
        direct: PathResult(first_us, failed[direct])
        for direct, first_us in histograms.items()
    }
    return cpu_share, after.resident_mb, paths


def _build_histogram():
    return histogram.HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)


async def run(rate, seconds, seed):
    """Start a deployment, measure it and print the result."""
    with tempfile.TemporaryDirectory() as folder:
        small_deployment.write_deployment(
            folder, entries=1, endpoints=plan_endpoints()
        )
        logs = pathlib.Path(folder) / 'logs'
        async with deployments.run_deployment(folder, logs) as deployment:
            await asyncio.to_thread(demo.apply_declarations, deployment)
            await deployment.wait_serving()
            cpu_share, memory_mb, paths = await measure(
                deployment, rate, seconds, seed
            )
    print(f'entry: {cpu_share:.2f} of a core, {memory_mb:.0f} MB')
    for direct, name in ((True, 'direct'), (False, 'through the entry')):
        path = paths[direct]
        p50 = path.first_us.get_value_at_percentile(50) / 1000
        p95 = path.first_us.get_value_at_percentile(95) / 1000
        count = path.first_us.get_total_count()
        print(
            f'{name}: {count} requests, first token p50 {p50:.1f} ms,'
            f' p95 {p95:.1f} ms, {path.failed} failed'
        )


def main():
    """Run the measurement from the command line."""
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
