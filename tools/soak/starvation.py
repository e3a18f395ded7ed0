"""Measure when the machine did not run processes that were ready to run."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import pathlib

from tools.soak import records

SAMPLE_S = 0.05
# Shorter waits are not recorded.
MIN_WAIT_S = 0.05
NS_PER_S = 1e9
# Component name of the process with the callers and the endpoints.
SOAK = 'soak'


async def watch(gateways, journal, now):
    """Record waits of all processes until cancelled."""
    before = {}
    while True:
        pids = {gateway.name: gateway.pid for gateway in gateways}
        for name, pid in {**pids, SOAK: os.getpid()}.items():
            waited_s = _read_waited_s(pid)
            since = before.get((name, pid))
            before[name, pid] = waited_s
            if waited_s is None or since is None:
                continue
            if waited_s - since >= MIN_WAIT_S:
                journal.starvations.append(
                    records.Starvation(name, now() - waited_s + since, now())
                )
        await asyncio.sleep(SAMPLE_S)


def measure_s(journal, components, begin, end):
    """Return for how long one of the components was not run, in seconds."""
    total_s, counted_to = 0.0, begin
    for wait in sorted(journal.starvations, key=lambda wait: wait.begin):
        if wait.component in components:
            from_s = max(wait.begin, counted_to)
            to_s = min(wait.end, end)
            total_s += max(to_s - from_s, 0.0)
            counted_to = max(counted_to, to_s)
    return total_s


def sum_s(journal):
    """Return for how long processes were not run in all, by name."""
    sums_s = collections.Counter()
    for wait in journal.starvations:
        sums_s[wait.component] += wait.end - wait.begin
    return {name: round(sum_s, 1) for name, sum_s in sums_s.items()}


def _read_waited_s(pid):
    """Return how long the main thread of a process has waited to run."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        fields = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()
        return int(fields[1]) / NS_PER_S
    return None
