"""Restart the processes of a deployment one by one, under load.

Usage: rolling [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --rate N           Requests per second [default: 15].
  --seed N           Seed of the workload [default: 1].
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys

import docopt

from standins import balancer as balancers
from tools import demo
from tools import deployment as deployments
from tools import report
from tools import workload

LOAD_DURATION_S = 75.0
RESTART_INTERVAL_S = 0.5


async def run_rolling(name, rate, seed):
    """Restart each process and return whether no request was interrupted."""
    shutil.rmtree(demo.LOG_FOLDER, ignore_errors=True)
    folder = deployments.ROOT / 'deploy' / name
    async with deployments.run_deployment(
        folder, demo.LOG_FOLDER
    ) as deployment:
        demo.apply_declarations(deployment)
        await deployment.wait_serving()
        declared = deployment.load_declarations()
        planner = workload.WorkloadPlanner(declared, seed)
        arrivals = planner.plan_uniform(
            int(rate * LOAD_DURATION_S), LOAD_DURATION_S
        )
        async with balancers.run_balancer(deployment.entries) as balancer:
            load = asyncio.create_task(demo.send_all(balancer, arrivals, seed))
            restarted = await _restart_all(deployment)
            print(f'{restarted} processes restarted, load continues')
            results = await load
        runs, _, _ = await deployment.count_runs()
    print(report.format_table(declared, results, runs))
    # Restarted stand-ins lose their run counts, so completed requests are
    # checked by their content only.
    problems = [
        problem
        for problem in report.find_problems(results, runs)
        if 'never ran' not in problem
    ]
    problems += [
        f'{result.call.request_id}: {result.outcome}: {result.problem}'
        for result in results
        if result.outcome == 'unknown'
    ]
    for problem in problems:
        print(f'PROBLEM {problem}')
    return not problems


async def _restart_all(deployment):
    names = [n for n in deployment.names if n != 'platform']
    for name in names:
        if name.startswith('sidecar-'):
            await _restart_endpoint(deployment, name)
        elif name.startswith('entry-'):
            await _restart(deployment, name, deployment.start_daemon)
    return len(names)


async def _restart_endpoint(deployment, sidecar):
    endpoint = sidecar.removeprefix('sidecar-')
    await _stop(deployment, sidecar)
    await _restart(deployment, endpoint, deployment.start_endpoint)
    deployment.start_daemon(sidecar)
    await deployment.wait_serving()


async def _restart(deployment, name, start):
    await _stop(deployment, name)
    start(name)
    if name.startswith('entry-'):
        await deployment.wait_serving()
    await asyncio.sleep(RESTART_INTERVAL_S)


async def _stop(deployment, name):
    deployment.send_signal(name, signal.SIGTERM)
    status = await deployment.wait_exit(name, deployments.STOP_TIMEOUT_S)
    print(f'{name} exited with status {status}')


def main():
    """Run the rolling restart from the command line."""
    arguments = docopt.docopt(__doc__)
    promises_kept = asyncio.run(
        run_rolling(
            arguments['--deployment'],
            float(arguments['--rate']),
            int(arguments['--seed']),
        )
    )
    sys.exit(0 if promises_kept else 1)


if __name__ == '__main__':
    main()
