"""Print the state of classes, entries and sidecars."""

from __future__ import annotations

import asyncio
import time

from persimmonroute.commands import apply
from persimmonroute.commands import entries
from persimmonroute import configuration_store
from persimmonroute import exceptions

POLL_S = 0.2


async def status(platform, wait_s=None):
    """Print a table; with wait_s, return once a revision is everywhere."""
    revisions = configuration_store.ConfigurationStore(platform)
    wanted = apply.unwrap(await revisions.read_current()).number
    deadline = time.monotonic() + (wait_s or 0)
    async with entries.open_entry_client(platform) as client:
        while True:
            statuses = await client.fetch_statuses()
            lagging = find_lagging(statuses, wanted)
            over = time.monotonic() > deadline
            if wait_s is None or not lagging or over:
                break
            await asyncio.sleep(POLL_S)
    print('\n'.join(format_status(statuses, wanted)))
    if wait_s is not None and lagging:
        raise exceptions.RevisionLagError(
            f'revision {wanted} is not in force at {", ".join(lagging)}'
        )


def find_lagging(statuses, wanted):
    """Return the names of processes that hold a lower revision."""
    lagging = set()
    for entry in statuses:
        if entry.report is None or entry.report['revision'] < wanted:
            lagging.add(entry.instance)
            continue
        for name, sidecar in entry.report['sidecars'].items():
            if sidecar['revision'] < wanted:
                lagging.add(name)
    return sorted(lagging)


def format_status(statuses, wanted):
    """Return the lines of the table."""
    lines = [f'revision {wanted} is current']
    for entry in statuses:
        if entry.report is None:
            lines.append(f'{entry.instance}: unreachable')
            continue
        lines += _format_entry(entry)
    return lines


def _format_entry(entry):
    report = entry.report
    lines = [
        f'{entry.instance}: revision {report["revision"]},'
        f' {report["in_progress"]} requests in progress'
    ]
    for name, reached in report['classes'].items():
        lines.append(
            f'  class {name}: target {reached["target"]:.3f},'
            f' reached {reached["reached"]:.3f}'
            f' of {reached["ended"]} requests'
        )
    for name, sidecar in report['sidecars'].items():
        state = 'usable' if sidecar['usable'] else 'not usable'
        lines.append(
            f'  {name}: {state}, revision {sidecar["revision"]},'
            f' running {sidecar["running"]}/{sidecar["limit"]},'
            f' queued {sidecar["queued"]}'
        )
    return lines
