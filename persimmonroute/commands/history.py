"""List the accepted revisions."""

from __future__ import annotations

from persimmonroute.commands import apply
from persimmonroute import configuration_store


async def history(platform):
    """Print each revision with its change ID, signature and handover."""
    revisions = configuration_store.ConfigurationStore(platform)
    for revision in apply.unwrap(await revisions.read_history()):
        signature_state = 'signed' if revision.signature else 'not signed'
        print(f'{revision.number:6}  {revision.change}  {signature_state}')
        for handover in revision.chain:
            if handover.revision == revision.number:
                print(f'        handover to {handover.public_key}')
