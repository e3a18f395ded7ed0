"""Build HTTP servers that leave signals to their process."""

from __future__ import annotations

import contextlib

import uvicorn


# Longer than balancers and clients keep an idle connection, so that no
# request meets a connection that is just being closed.
KEEP_ALIVE_S = 90


class QuietServer(uvicorn.Server):
    """Leave signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture nothing."""
        yield


def build_server(app, address, grace_s):
    """Return a server whose stop waits for open requests, in seconds."""
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
    return QuietServer(config)
