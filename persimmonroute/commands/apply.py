"""Check declarations and publish them as a new revision."""

from __future__ import annotations

import uuid

from returns import result

from persimmonroute.config import declarations
from persimmonroute import configuration_store
from persimmonroute import exceptions


async def apply(platform, path, change=None, base=None):
    """Publish a declarations file and print its revision."""
    document = _read(path)
    declarations.parse_declarations(document)
    revisions = configuration_store.ConfigurationStore(platform)
    accepted = await revisions.publish(
        document, change or uuid.uuid4().hex, base
    )
    if isinstance(accepted, result.Failure):
        raise accepted.failure()
    print(f'revision {accepted.unwrap()} accepted')


def _read(path):
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except OSError as error:
        raise exceptions.DeclarationError(f'cannot read {path}: {error}')
