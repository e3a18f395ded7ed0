"""Transfer the operator role to another key."""

from __future__ import annotations

import uuid

from persimmonroute.commands import apply
from persimmonroute.commands import entries
from persimmonroute import configuration_store


async def handover(platform, public_key, key, change=None):
    """Publish a signed handover, print its revision and push it."""
    revisions = configuration_store.ConfigurationStore(platform, key)
    accepted = await revisions.hand_over(
        public_key, change or uuid.uuid4().hex
    )
    print(f'revision {apply.unwrap(accepted)} hands over to {public_key}')
    async with entries.open_entry_client(platform) as client:
        await client.push_all(revisions.last_written)
