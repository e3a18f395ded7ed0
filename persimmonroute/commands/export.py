"""Write the current declarations to a file."""

from __future__ import annotations

from persimmonroute.commands import apply
from persimmonroute import configuration_store
from persimmonroute import exceptions


async def export(platform, path):
    """Write the current declarations in the format of apply."""
    revisions = configuration_store.ConfigurationStore(platform)
    current = apply.unwrap(await revisions.read_current())
    if not current.number:
        raise exceptions.DeclarationError(
            'no declarations have been applied yet', 'apply declarations first'
        )
    with open(path, 'w', encoding='utf-8') as file:
        file.write(current.document)
    print(f'revision {current.number} written to {path}')
