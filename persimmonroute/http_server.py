"""Build HTTP servers that leave signal handling to the process."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import socket
import struct

import uvicorn
from uvicorn.protocols.http import h11_impl

from persimmonroute import clock
from persimmonroute import timeouts

# Longer than load balancers and clients keep idle connections, so that no
# request is sent on a connection that the server is closing.
KEEP_ALIVE_S = 90
# Head of a request that is not complete yet. What callers may send is limited
# by the configuration, which allows less.
MAX_PARTIAL_HEAD_BYTES = 262_144
# Time for connections of callers that were just accepted to deliver their
# request.
ACCEPTED_GRACE_S = 0.4
# Time to accept what is left in the backlog of a socket.
BACKLOG_DRAIN_S = 0.02
# Time from the beginning of a shutdown until idle connections are closed.
CLOSE_S = ACCEPTED_GRACE_S + BACKLOG_DRAIN_S
# Connections accepted in one step of the event loop. It tries as many also
# when no descriptor is left.
ACCEPTS_PER_STEP = 32
# Connections that a listening socket queues.
BACKLOG = 2048
# SO_LINGER: close with a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


class CallerProtocol(h11_impl.H11Protocol):
    """Serve a connection, which the application may reset."""

    def connection_made(self, transport):
        """Hand the means to reset the connection to the application."""
        super().connection_made(transport)

        def reset():
            if transport.is_closing():
                return
            sock = transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            transport.abort()

        self.app_state = {**self.app_state, 'reset': reset}

    def timeout_keep_alive_handler(self):
        """Close an idle connection, unless a request is read before.

        In a process that was suspended, timers run before sockets are read.
        """
        self.timeout_keep_alive_task = self.loop.call_later(
            timeouts.CATCH_UP_S, super().timeout_keep_alive_handler
        )


class ResetWhenIncomplete:
    """Reset connections whose end would make a response look complete.

    Callers of HTTP/1.0 know no chunks: their connection ends a response that
    has no length.
    """

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope['type'] != 'http' or scope['http_version'] != '1.0':
            await self._app(scope, receive, send)
            return
        incomplete = False

        async def send_noting(message):
            nonlocal incomplete
            incomplete = message['type'] == 'http.response.start' or (
                message.get('more_body', False)
            )
            await send(message)

        try:
            await self._app(scope, receive, send_noting)
        finally:
            if incomplete:
                scope['state']['reset']()


class SignalFreeServer(uvicorn.Server):
    """Run uvicorn without its signal handlers.

    accepted_grace_s is how long connections that were just accepted may take
    to deliver their request before the server closes them.
    """

    def __init__(self, config, accepted_grace_s):
        super().__init__(config)
        self._accepted_grace_s = accepted_grace_s
        # Until when accepted connections may deliver a request; None for no
        # limit.
        self._ends_at = None

    async def startup(self, sockets=None):
        """Listen, with a backlog that is longer than one step accepts."""
        await super().startup(sockets)
        for server in self.servers:
            for listener in server.sockets:
                _set_backlog(listener.fileno(), BACKLOG)

    def stop(self, within_s):
        """Begin a shutdown, after which cancel_open() is called in within_s.

        Until then it waits for open requests.
        """
        self._ends_at = clock.now_s() + within_s
        self.config.timeout_graceful_shutdown = None
        self.should_exit = True

    def cancel_open(self):
        """Cancel the requests that are open in a shutdown, and end it."""
        for task in list(self.server_state.tasks):
            task.cancel()
        self.force_exit = True

    def abort(self):
        """Close all sockets and cancel all requests at once."""
        # Set when the server has started.
        for server in getattr(self, 'servers', ()):
            server.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture no signals."""
        yield

    async def shutdown(self, sockets=None):
        """Stop accepting, then end without cutting off what was accepted.

        Closing a listening socket resets the connections in its backlog, and
        uvicorn closes connections whose request is not read yet.
        """
        for server in self.servers:
            for listener in server.sockets:
                _set_backlog(listener.fileno(), 0)
        await asyncio.sleep(BACKLOG_DRAIN_S)
        for server in self.servers:
            server.close()
        await asyncio.sleep(min(self._accepted_grace_s, self._find_left_s()))
        await super().shutdown(sockets)

    def _find_left_s(self):
        """Return the time until open requests end.

        A process that stood still may have begun its shutdown late.
        """
        if self._ends_at is None:
            return math.inf
        return max(self._ends_at - clock.now_s(), 0.0)


def _set_backlog(descriptor, connections):
    """Set how many connections a listening socket queues."""
    with socket.socket(fileno=os.dup(descriptor)) as listener:
        listener.listen(connections)


def build_server(app, address, grace_s, accepted_grace_s=ACCEPTED_GRACE_S):
    """Build a server whose shutdown waits up to grace_s for open requests."""
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        ResetWhenIncomplete(app),
        host=host.strip('[]'),
        port=int(port),
        log_config=None,
        http=CallerProtocol,
        ws='none',
        loop='asyncio',
        log_level='critical',
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=int(grace_s),
        backlog=ACCEPTS_PER_STEP,
        h11_max_incomplete_event_size=MAX_PARTIAL_HEAD_BYTES,
    )
    return SignalFreeServer(config, accepted_grace_s)
