"""Print the current declarations."""

from __future__ import annotations

import sys

from persimmonroute.commands import apply
from persimmonroute import configuration_store


async def show(platform):
    """Print the declarations, and their revision on standard error."""
    revisions = configuration_store.ConfigurationStore(platform)
    current = apply.unwrap(await revisions.read_current())
    print(f'revision {current.number}', file=sys.stderr)
    print(current.document)
