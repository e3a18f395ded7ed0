"""Compare a declarations file with the current revision."""

from __future__ import annotations

import difflib
import json

from persimmonroute.commands import apply
from persimmonroute.config import declarations
from persimmonroute import configuration_store


async def diff(platform, path):
    """Print the changes that applying a file would make."""
    document = apply.read_document(path)
    declarations.parse_declarations(document)
    revisions = configuration_store.ConfigurationStore(platform)
    current = apply.unwrap(await revisions.read_current())
    lines = compare(current.document or '{}', document, current.number, path)
    print('\n'.join(lines) or 'no difference')


def compare(current, proposed, number, path):
    """Return the lines of a unified diff of two JSON documents."""
    return list(
        difflib.unified_diff(
            _normalize(current),
            _normalize(proposed),
            f'revision {number}',
            str(path),
            lineterm='',
        )
    )


def _normalize(document):
    parsed = json.loads(document)
    return json.dumps(parsed, indent=2, sort_keys=True).splitlines()
