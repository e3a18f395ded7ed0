"""Set how the C library allocates the memory of a process."""

from __future__ import annotations

import contextlib
import ctypes

# Parameter of mallopt() in glibc.
M_MMAP_THRESHOLD = -3
# Blocks from this size on are returned to the system when they are freed. By
# default the size grows with the blocks that are freed, and freed bodies of
# requests stay in the process between the blocks that are still in use.
RETURNED_BLOCK_BYTES = 131_072


def return_large_blocks():
    """Return large blocks to the system at once; without glibc do nothing."""
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES)
