"""Identify callers and workspaces across gateways."""

from __future__ import annotations

import xxhash


def hash_caller(request, workspace):
    """Return what the retries of a caller have in common, never zero.

    A retry has an id of its own, but the same target, prompt and body.
    """
    digest = xxhash.xxh3_64()
    parts = [workspace.name if workspace is not None else '', request.method]
    parts.append(request.target)
    if request.prompt:
        parts.append(request.prompt[-1].id)
    digest.update('\n'.join(parts).encode())
    digest.update(b'\n')
    digest.update(request.body)
    return digest.intdigest() or 1


def hash_workspace(workspace):
    """Return a number for a workspace, zero for none."""
    if workspace is None:
        return 0
    return xxhash.xxh3_64_intdigest(workspace.name.encode()) or 1
