"""Run seeds of the soak, each in a process of its own.

Processes that are spawned cannot import what __main__ defines.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import multiprocessing
import pathlib
import shutil
import tempfile
import typing

from tools.soak import rollout_checks
from tools.soak import seed_run
from tools.soak import starvation


class SeedResult(typing.NamedTuple):
    """Hold the result of running one seed."""

    seed: int
    requests: int
    served: int
    executions: int
    faults: list[str]
    findings: list
    # Requests that got neither an answer nor a refusal, by what excuses it.
    excused: dict[str, int]
    # Requests that stopping gateways refused because of their stop.
    stop_refusals: int
    # Seconds for which processes were ready and not run, by process.
    starved: dict[str, float]
    # How the order of the seed ended; empty without one.
    rollout: str


def run_seed(seed, keep_folder=None, tree=seed_run.ROOT):
    """Run a seed in a temporary folder and return its SeedResult."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    try:
        run = seed_run.SeedRun(seed, folder, tree)
        findings = asyncio.run(run.run())
        if findings and keep_folder is not None:
            target = pathlib.Path(keep_folder) / f'seed-{seed}'
            shutil.copytree(folder, target, dirs_exist_ok=True)
        outcomes = run.journal.outcomes
        return SeedResult(
            seed,
            len(outcomes),
            sum(outcome.status == 200 for outcome in outcomes),
            len(run.journal.executions),
            [fault.kind for fault in run.faults],
            findings,
            dict(run.journal.excused),
            run.journal.stop_refusals,
            starvation.sum_s(run.journal),
            rollout_checks.describe(run.journal),
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_seeds(seeds, jobs, keep_folder=None, tree=seed_run.ROOT):
    """Yield the SeedResults of seeds as the runs finish."""
    # Forked processes would share the threads' locks of gRPC.
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        futures = [pool.submit(run_seed, s, keep_folder, tree) for s in seeds]
        try:
            for future in concurrent.futures.as_completed(futures):
                yield future.result()
        finally:
            for future in futures:
                future.cancel()
