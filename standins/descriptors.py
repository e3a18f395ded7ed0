"""Use up the descriptors of a process, and return them."""

from __future__ import annotations

import contextlib
import os
import resource
import socket


@contextlib.contextmanager
def limit_descriptors(pid, count):
    """Let a process open only a few descriptors more."""
    before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    open_now = len(os.listdir(f'/proc/{pid}/fd'))
    limit = open_now + count, before[1]
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
    try:
        yield
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)


@contextlib.contextmanager
def open_connections(address, count):
    """Hold connections that send nothing, as far as they can be opened."""
    host, _, port = address.rpartition(':')
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            connection = stack.enter_context(socket.socket())
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
        yield
