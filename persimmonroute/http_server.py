"""Build HTTP servers that leave signal handling to the process."""

from __future__ import annotations

import contextlib

import uvicorn


# Longer than load balancers and clients keep idle connections, so that no
# request is sent on a connection that the server is closing.
KEEP_ALIVE_S = 90


class SignalFreeServer(uvicorn.Server):
    """Run uvicorn without its signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture no signals."""
        yield


def build_server(app, address, grace_s):
    """Build a server whose shutdown waits up to grace_s for open requests."""
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        app,
        host=host.strip('[]'),
        port=int(port),
        log_config=None,
        http='h11',
        ws='none',
        loop='asyncio',
        log_level='critical',
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=int(grace_s),
    )
    return SignalFreeServer(config)
