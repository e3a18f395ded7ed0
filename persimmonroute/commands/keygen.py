"""Generate the key of an operator."""

from __future__ import annotations

import os

from persimmonroute import exceptions
from persimmonroute import operators

OWNER_ONLY_MODE = 0o600


async def keygen(path):
    """Write a new private key to a file and print its public key."""
    key = operators.OperatorKey.generate()
    try:
        descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY_MODE
        )
    except OSError as error:
        raise exceptions.SettingsError(
            f'cannot create the key file {path}: {error}',
            'choose a path that does not exist yet',
        )
    with os.fdopen(descriptor, 'wb') as file:
        file.write(key.to_pem())
    print(key.public_key)
