"""Make the key of an operator."""

from __future__ import annotations

import os

from persimmonroute import exceptions
from persimmonroute import operators

OWNER_ONLY = 0o600


async def keygen(path):
    """Write a new private key and print its public key."""
    key = operators.OperatorKey.generate()
    try:
        number = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY
        )
    except OSError as error:
        raise exceptions.SettingsError(
            f'cannot write {path}: {error}', 'name a file that does not exist'
        )
    with os.fdopen(number, 'wb') as file:
        file.write(key.to_pem())
    print(key.public_key)
