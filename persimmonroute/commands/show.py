"""Print the declarations in force."""

from __future__ import annotations

import sys

from returns import result

from persimmonroute import configuration_store


async def show(platform):
    """Print the current document, and its revision on standard error."""
    revisions = configuration_store.ConfigurationStore(platform)
    current = await revisions.read_current()
    if isinstance(current, result.Failure):
        raise current.failure()
    revision = current.unwrap()
    print(f'revision {revision.number}', file=sys.stderr)
    print(revision.document)
