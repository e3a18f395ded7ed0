"""Hold one HTTP/1.1 connection as a client.

aiosonic does not tell an answer that ended by a reset from one that ended
by a close, nor bytes behind a complete answer, so h11 is used directly.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket

import h11

from persimmonroute import exceptions

# Received bytes that wait for their reader before reading pauses.
READ_AHEAD_BYTES = 262_144
# A peer that acknowledges nothing for this long is taken to be lost.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_HEADER_BYTES = 65_536


class Connection(asyncio.Protocol):
    """Send requests and receive their answers one after another."""

    def __init__(self):
        self._http = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)
        self._transport = None
        self._received = collections.deque()
        self._waiting_bytes = 0
        self._waiter = None
        self._end_received = False
        self._lost = False
        self._last_request = None
        self.idle_since = 0.0
        self.idle_limit_s = None

    @property
    def reusable(self):
        """Tell whether the connection is idle and intact."""
        return (
            not self._lost
            and not self._end_received
            and not self._received
            and self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
        )

    def connection_made(self, transport):
        """Set the limits by which a lost peer is noticed."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        set_socket_limits(sock)

    def data_received(self, data):
        """Keep received bytes for their reader."""
        self._received.append(data)
        self._waiting_bytes += len(data)
        if self._waiting_bytes > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self):
        """Note that the peer sends no more."""
        self._end_received = True
        self._wake()
        return False

    def connection_lost(self, error):
        """Note that the connection is gone."""
        self._lost = True
        self._wake()

    def send_request(self, method, target, headers, body):
        """Send a whole request."""
        request = h11.Request(method=method, target=target, headers=headers)
        self._last_request = request
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(body))
        data += self._http.send(h11.EndOfMessage())
        self._transport.write(data)

    async def next_event(self):
        """Return the next h11 event of the answer.

        Raises EndpointBrokenError when it cannot be had.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise exceptions.EndpointBrokenError(
                    f'the answer is not valid HTTP: {error}'
                ) from error
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise exceptions.EndpointBrokenError('connection closed')
                return event
            if self._received:
                self._feed()
            elif self._end_received:
                self._end_received = False
                self._http.receive_data(b'')
            elif self._lost:
                raise exceptions.EndpointBrokenError('connection lost')
            else:
                await self._wait()

    def finish(self):
        """Make ready for another request; False when that cannot be."""
        if self._http.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        if self._received or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return self.reusable

    def skip_duplicate_response(self):
        """Expect the answer to the last request behind another one.

        Some endpoints send an answer twice; the second one then stands
        where the next answer is due.
        """
        data, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise exceptions.EndpointBrokenError('answer to another request')
        self._http = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)
        self._http.send(self._last_request)
        with contextlib.suppress(h11.LocalProtocolError):
            # The body has been sent already.
            self._http.send(h11.EndOfMessage())
        if data:
            self._http.receive_data(data)

    def abort(self):
        """Close at once and drop what is under way."""
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        """Close once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def _feed(self):
        data = self._received.popleft()
        self._waiting_bytes -= len(data)
        if not self._received and not self._lost:
            self._transport.resume_reading()
        self._http.receive_data(data)

    async def _wait(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def set_socket_limits(sock):
    """Notice a silent peer within seconds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_connection(address, timeout_s):
    """Return a new connection or raise EndpointUnreachableError."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except (OSError, ValueError, TimeoutError) as error:
        raise exceptions.EndpointUnreachableError(
            f'no connection to {address}: {error!r}'
        ) from error
    return connection


async def read_response(conn, timeout_s):
    """Return the status and the body of a whole answer."""
    status, parts = 0, []
    async with asyncio.timeout(timeout_s):
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b''.join(parts)
