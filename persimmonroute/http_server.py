"""Build HTTP servers that leave signal handling to the process."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import math
import os
import socket

import uvicorn

from persimmonroute import accepting
from persimmonroute import caller_account
from persimmonroute.caller_account import Reason
from persimmonroute import caller_protocol
from persimmonroute import clock
from persimmonroute import draining

# Longer than load balancers and clients keep idle connections, so that no
# request is sent on a connection that the server is closing.
KEEP_ALIVE_S = 90
# Time for connections of callers that were just accepted to deliver their
# request.
ACCEPTED_GRACE_S = 0.4
# Time to accept what is left in the backlog of a socket.
BACKLOG_DRAIN_S = 0.02
# Time from the beginning of a shutdown until idle connections are closed.
CLOSE_S = ACCEPTED_GRACE_S + BACKLOG_DRAIN_S
# Steps of the server, of 0.1 s each, between checks of its connections.
TICKS_PER_CHECK = 5
# Connections that a listening socket queues.
BACKLOG = 2048


class CountRequests:
    """Refuse requests for which callers left no memory."""

    def __init__(self, app, account):
        self._app = app
        self._account = account

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope['type'] == 'http':
            holding = caller_account.find_holding(scope)
            if not holding.begin_request(clock.now_s(), scope['headers']):
                self._account.refusals[Reason.MEMORY.value] += 1
                await _send_no_memory(scope, send)
                return
        await self._app(scope, receive, send)


async def _send_no_memory(scope, send):
    """Tell a caller that its request has not run."""
    body = json.dumps({'error': 'no memory for the request'}).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (b'retry-after', f'{caller_protocol.RETRY_S:.3f}'.encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': 503, 'headers': headers}
    )
    if scope['method'] == 'HEAD':
        body = b''
    await send({'type': 'http.response.body', 'body': body})


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

    def __init__(self, config, accepted_grace_s, guard):
        super().__init__(config)
        self._guard = guard
        self._accepted_grace_s = accepted_grace_s
        # Until when accepted connections may deliver a request; None for no
        # limit.
        self._ends_at = None
        self._acceptors = []

    async def startup(self, sockets=None):
        """Listen, with a backlog that is longer than one step accepts."""
        await super().startup(sockets)
        loop = asyncio.get_running_loop()
        for server in self.servers:
            for listener in server.sockets:
                _set_backlog(listener.fileno(), BACKLOG)
                acceptor = accepting.Acceptor(
                    loop,
                    listener.fileno(),
                    self._build_protocol,
                    self._guard.account,
                    self._guard.small_port,
                )
                acceptor.start()
                self._acceptors.append(acceptor)
        self._guard.pause_accepting = self._pause_accepting
        self._guard.resume_accepting = self._resume_accepting

    def _build_protocol(self):
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    def _pause_accepting(self):
        for acceptor in self._acceptors:
            acceptor.pause()

    def _resume_accepting(self):
        for acceptor in self._acceptors:
            acceptor.resume()

    def _close_listeners(self):
        for acceptor in self._acceptors:
            acceptor.close()
        # Set when the server has started.
        for server in getattr(self, 'servers', ()):
            server.close()

    async def on_tick(self, counter):
        """Check the connections from time to time."""
        if counter % TICKS_PER_CHECK == 0:
            # An error must not end the server.
            with draining.guard('check connections'):
                self._guard.check(
                    list(self.server_state.connections), clock.now_s()
                )
        return await super().on_tick(counter)

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
        self._close_listeners()
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
        for acceptor in self._acceptors:
            acceptor.drain()
        await asyncio.sleep(BACKLOG_DRAIN_S)
        self._close_listeners()
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


def build_server(
    app, address, grace_s, accepted_grace_s=ACCEPTED_GRACE_S, guard=None
):
    """Build a server whose shutdown waits up to grace_s for open requests.

    guard limits its connections; without one only each by itself is limited.
    """
    guard = guard or caller_protocol.ConnectionGuard()
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        ResetWhenIncomplete(CountRequests(app, guard.account)),
        host=host.strip('[]'),
        port=int(port),
        log_config=None,
        http=functools.partial(caller_protocol.CallerProtocol, guard),
        ws='none',
        loop='asyncio',
        log_level='critical',
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=int(grace_s),
    )
    return SignalFreeServer(config, accepted_grace_s, guard)
