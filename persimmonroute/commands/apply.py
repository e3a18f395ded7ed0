"""Validate declarations and publish them as a new revision."""

from __future__ import annotations

import uuid

from returns import result

from persimmonroute.commands import entries
from persimmonroute.config import declarations
from persimmonroute import configuration_store
from persimmonroute import exceptions


async def apply(platform, path, change=None, base=None, key=None):
    """Publish a declarations file, print its revision and push it."""
    document = read_document(path)
    declarations.parse_declarations(document)
    revisions = configuration_store.ConfigurationStore(platform, key)
    accepted = await revisions.publish(
        document, change or uuid.uuid4().hex, base
    )
    print(f'revision {unwrap(accepted)} accepted')
    async with entries.open_entry_client(platform) as client:
        await client.push_all(revisions.last_written)


def read_document(path):
    """Return the text of a declarations file or raise DeclarationError."""
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, ValueError) as error:
        raise exceptions.DeclarationError(
            f'cannot read the declarations file {path}: {error}'
        )


def unwrap(outcome):
    """Return the value of a Result or raise its error."""
    if isinstance(outcome, result.Failure):
        raise outcome.failure()
    return outcome.unwrap()
