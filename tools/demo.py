"""Run a deployment on loopback under a mixed load and check the promises.

Usage: demo [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --requests N       Number of requests [default: 400].
  --seconds S        Seconds over which they arrive [default: 20].
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

MAX_APPLY_ATTEMPTS = 20
LOG_FOLDER = deployments.ROOT / '.demo'


async def run_demo(name, count, seconds, seed):
    """Run the demo and return whether every promise was kept."""
    shutil.rmtree(LOG_FOLDER, ignore_errors=True)
    folder = deployments.ROOT / 'deploy' / name
    async with deployments.run_deployment(folder, LOG_FOLDER) as deployment:
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
    """Publish the declarations with the operator command line."""
    command = [
        sys.executable,
        '-m',
        'persimmonroute.cli',
        'apply',
        str(deployment.declarations_path),
        '--platform',
        deployment.platform,
    ]
    for _ in range(MAX_APPLY_ATTEMPTS):
        process = subprocess.run(
            command, cwd=deployments.ROOT, capture_output=True, text=True
        )
        if process.returncode == 0:
            print(process.stdout.strip())
            return
    raise SystemExit(f'failed to apply the declarations: {process.stderr}')


async def send_all(balancer, arrivals, seed, on_progress=print):
    """Send each request through the balancer at its arrival time."""
    caller = callers.Caller()
    http_requests = http_workload.HttpWorkload(seed)
    loop = asyncio.get_running_loop()
    calls = [(a.at_s, http_requests.build(a.plan)) for a in arrivals]
    started_at = loop.time()
    completed = collections.Counter()

    async def send(at, call):
        await asyncio.sleep(max(started_at + at - loop.time(), 0))
        result = await caller.send(balancer.pick(), call)
        completed['all'] += 1
        if completed['all'] % 100 == 0:
            on_progress(
                f'{completed["all"]} of {len(arrivals)} requests completed'
            )
        return result

    try:
        return await asyncio.gather(*(send(at, call) for at, call in calls))
    finally:
        await caller.close()


def main():
    """Run the demo from the command line."""
    arguments = docopt.docopt(__doc__)
    promises_kept = asyncio.run(
        run_demo(
            arguments['--deployment'],
            int(arguments['--requests']),
            float(arguments['--seconds']),
            int(arguments['--seed']),
        )
    )
    sys.exit(0 if promises_kept else 1)


if __name__ == '__main__':
    main()
