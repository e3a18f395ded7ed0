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


class Options(typing.NamedTuple):
    """Set what all seeds of a soak have in common."""

    # Where the logs of runs with findings are kept, or None.
    keep_folder: str | None = None
    gateways: int = seed_run.GATEWAYS
    # Source code of the gateways.
    tree: pathlib.Path = seed_run.ROOT


def run_seed(seed, options=Options()):
    """Run a seed in a temporary folder and return its SeedResult."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    try:
        run = seed_run.SeedRun(seed, folder, options.tree, options.gateways)
        findings = asyncio.run(run.run())
        if findings and options.keep_folder is not None:
            target = pathlib.Path(options.keep_folder) / f'seed-{seed}'
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


def run_seeds(seeds, jobs, options=Options()):
    """Yield the SeedResults of seeds as the runs finish."""
    # Forked processes would share the threads' locks of gRPC.
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        futures = [pool.submit(run_seed, seed, options) for seed in seeds]
        try:
            for future in concurrent.futures.as_completed(futures):
                yield future.result()
        finally:
            for future in futures:
                future.cancel()
