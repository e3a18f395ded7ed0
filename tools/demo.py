"""Run a deployment on loopback under a mixed load and judge it.

Usage: demo [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --requests N       Number of requests [default: 400].
  --seconds S        Time over which they arrive [default: 20].
  --seed N           Seed of the workload [default: 1].
"""

from __future__ import annotations

import asyncio
import collections
import shutil
import subprocess
import sys

import docopt

from standins import balancer as balancers
from standins import callers
from tools import deployment as deployments
from tools import http_workload
from tools import report
from tools import workload

APPLY_TRIES = 20
LOG_FOLDER = deployments.ROOT / '.demo'


async def run_demo(name, count, seconds, seed):
    """Run the demo and return whether all promises held."""
    shutil.rmtree(LOG_FOLDER, ignore_errors=True)
    folder = deployments.ROOT / 'deploy' / name
    async with deployments.running(folder, LOG_FOLDER) as deployment:
        print(f'starting {name}')
        apply_declarations(deployment)
        await deployment.wait_serving()
        declared = deployment.load_declarations()
        planner = workload.WorkloadPlanner(declared, seed)
        arrivals = planner.plan_uniform(count, seconds)
        print(f'sending {count} requests over {seconds:g} s')
        async with balancers.run_balancer(deployment.entries) as balancer:
            results = await send_all(balancer, arrivals, seed)
        runs, prefilled, wasted = await deployment.count_runs()
    print(report.format_table(declared, results, runs))
    print(f'prefilled tokens: {prefilled}, wasted: {wasted}')
    problems = report.find_problems(results, runs)
    for problem in problems:
        print(f'PROBLEM {problem}')
    return not problems


def apply_declarations(deployment):
    """Publish the declarations with the operators' tool."""
    command = [
        sys.executable,
        '-m',
        'persimmonroute.cli',
        'apply',
        str(deployment.declarations_path),
        '--platform',
        deployment.platform,
    ]
    for _ in range(APPLY_TRIES):
        ended = subprocess.run(
            command, cwd=deployments.ROOT, capture_output=True, text=True
        )
        if ended.returncode == 0:
            print(ended.stdout.strip())
            return
    raise SystemExit(f'the declarations did not apply: {ended.stderr}')


async def send_all(balancer, arrivals, seed, on_progress=print):
    """Send requests at their times through the balancer."""
    caller = callers.Caller()
    written = http_workload.HttpWorkload(seed)
    loop = asyncio.get_running_loop()
    calls = [(a.at_s, written.build(a.plan)) for a in arrivals]
    began = loop.time()
    done = collections.Counter()

    async def send(at, call):
        await asyncio.sleep(max(began + at - loop.time(), 0))
        result = await caller.send(balancer.pick(), call)
        done['all'] += 1
        if done['all'] % 100 == 0:
            on_progress(f'{done["all"]} of {len(arrivals)} answered')
        return result

    try:
        return await asyncio.gather(*(send(at, call) for at, call in calls))
    finally:
        await caller.close()


def main():
    """Run the demo from the command line."""
    arguments = docopt.docopt(__doc__)
    held = asyncio.run(
        run_demo(
            arguments['--deployment'],
            int(arguments['--requests']),
            float(arguments['--seconds']),
            int(arguments['--seed']),
        )
    )
    sys.exit(0 if held else 1)


if __name__ == '__main__':
    main()
