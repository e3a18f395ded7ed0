"""Implement the client side of one HTTP/1.1 connection.

aiosonic does not distinguish a response that ended with a reset from one
that ended with a close, and it hides bytes that follow a complete response.
This module therefore uses h11 directly.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import fcntl
import socket
import struct
import termios
import typing

import h11

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute import loop_errors
from persimmonroute import reading_budget
from persimmonroute import timeouts

# Largest read from the socket, and unread bytes above which reading is paused.
READ_BYTES = 32_768
MAX_READ_AHEAD_BYTES = 32_768
# Data that come in smaller pieces are joined as far as they have arrived.
SMALL_DATA_BYTES = 1024
# TCP_USER_TIMEOUT: a peer that acknowledges no data for this long is lost.
USER_TIMEOUT_MS = 2000
# Receivers take this much unread. More may wait in the socket of a sound peer
# that reads nothing for a while, which TCP_USER_TIMEOUT takes for a loss.
MAX_TIMED_BYTES = 65_536
# Interval at which a connection looks how much of a request was taken.
SENT_CHECK_S = 0.01
# A peer that answers before it has read a request may reset the connection
# this long after the end of its response.
RESET_WAIT_S = 0.1
# State of a closed connection in the kernel's TCP_INFO.
TCP_CLOSED = 7
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_HEADER_BYTES = 65_536
# Interim (1xx) responses to one request; more are taken for a fault.
MAX_INTERIM_RESPONSES = 64
# Higher ones are not defined, and servers cannot pass them on.
MAX_STATUS = 599
# Largest response that is read into memory. The table service sends pages of
# 1 MB, which base64 and the other fields of the rows enlarge.
MAX_WHOLE_RESPONSE_BYTES = 4_194_304
# Of the answer to a health check, or to a question for a state.
MAX_REPORT_BYTES = 65_536
# All connections read into it, one after the other.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """Send requests and receive their responses sequentially."""

    def __init__(self):
        self._http = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)
        self._transport = None
        self._unread = collections.deque()
        self._unread_bytes = 0
        self._waiter = None
        # Event that was parsed and not returned yet.
        self._parsed = None
        self._turn = reading_budget.Turn(reading_budget.PROCESS_TIME)
        self._end_received = False
        # True once the parser knows of the end.
        self._end_parsed = False
        self._lost = False
        # Why the connection was lost; None if the peer closed it.
        self._error = None
        self._last_request = None
        self._interim_count = 0
        self._user_timeout_ms = USER_TIMEOUT_MS
        self._responding = False
        # True if the last request is long: a response may come before all of
        # it has been taken, and did.
        self._long_request = False
        self._early = False
        # True if the response that is read ends with the connection.
        self._unframed = False
        self.request_count = 0
        # True if the other end is known to be the process that was meant.
        self.verified = False
        self.idle_since = 0.0
        self.idle_limit_s = None

    @property
    def reusable(self):
        """Return whether the connection is idle and can send a request."""
        return (
            not self._lost
            and not self._end_received
            and not self._unread
            and self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
        )

    @property
    def _end_is_due(self):
        """Return whether the parser has to be told of an end in order."""
        return (
            self._end_received and not self._end_parsed and self._error is None
        )

    @property
    def responding(self):
        """Return whether bytes have come since the last request was sent."""
        return self._responding

    def connection_made(self, transport):
        """Configure the socket to detect a lost peer."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        set_socket_options(sock)

    def get_buffer(self, sizehint):
        """Return where to write received bytes."""
        return _READ_BUFFER

    def buffer_updated(self, size):
        """Keep received bytes until the reader takes them."""
        if self.request_count and self._http.our_state is h11.IDLE:
            # They belong to no request, and the connection is of no more use.
            self._lost = True
            self.abort()
            return
        data = bytes(_READ_BUFFER[:size])
        self._responding = True
        self._note_early()
        self._unread.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self):
        """Record that the peer has closed its sending side.

        Returns whether to keep the connection open for the rest of a request.
        """
        self._note_early()
        self._end_received = True
        if self._is_reset():
            self._error = ConnectionResetError('reset after its end')
        self._wake_reader()
        return self._early

    def connection_lost(self, error):
        """Record that the connection is closed."""
        self._lost = True
        self._error = self._error or error
        self._wake_reader()

    def send_request(self, method, target, headers, body):
        """Send a complete request, with its body."""
        request = h11.Request(method=method, target=target, headers=headers)
        self._last_request = request
        self._interim_count = 0
        self._responding = self._early = self._unframed = False
        self.request_count += 1
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(body))
        data += self._http.send(h11.EndOfMessage())
        # A peer may answer before it has read a long request.
        self._long_request = len(data) > MAX_TIMED_BYTES
        timed = not self._long_request and not self._count_unsent()
        self._set_user_timeout(USER_TIMEOUT_MS if timed else 0)
        self._transport.write(data)

    async def next_event(self):
        """Return the next h11 event of the response; skip interim responses.

        Raises EndpointBrokenError if the connection ends or the response
        is not valid HTTP.
        """
        while True:
            event = await self._next_any_event()
            if not isinstance(event, h11.InformationalResponse):
                _check_status(event)
                if isinstance(event, h11.Response):
                    self._unframed = self.ends_response(event)
                if isinstance(event, h11.Data):
                    return self._join_data(event)
                return event
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise exceptions.EndpointBrokenError(
                    'too many interim responses'
                )

    def _count_unsent(self):
        """Return how many bytes the peer has not acknowledged yet."""
        if self._lost:
            return 0
        sock = self._transport.get_extra_info('socket')
        field = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        (queued,) = struct.unpack('i', field)
        return queued + self._transport.get_write_buffer_size()

    def _join_data(self, event):
        """Return an event with the data that can be parsed at once.

        Each event costs much more than the bytes in it.
        """
        if len(event.data) >= SMALL_DATA_BYTES:
            return event
        data = bytearray(event.data)
        while not self._turn.over and len(data) < READ_BYTES:
            try:
                with self._turn.measure():
                    following = self._http.next_event()
            except h11.RemoteProtocolError:
                # The parser tells it again.
                break
            if following is h11.NEED_DATA:
                break
            if not isinstance(following, h11.Data):
                self._parsed = following
                break
            data += following.data
        return h11.Data(bytes(data))

    def _note_early(self):
        """Record whether the peer answers before it has taken the request."""
        if self._long_request and not self._early:
            self._early = self._count_unsent() > 0

    def _is_reset(self):
        """Return whether the kernel has closed the connection."""
        if self._lost:
            return True
        sock = self._transport.get_extra_info('socket')
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == TCP_CLOSED

    async def _confirm_end(self):
        """Wait until the end of a response is known to be no break.

        The connection ends the response, and the peer may have given up on
        the request instead. Raises EndpointBrokenError if it has.
        """
        unsent, moved_at = self._count_unsent(), clock.now_s()
        while unsent:
            await asyncio.sleep(SENT_CHECK_S)
            self._check_reset()
            now, before = clock.now_s(), unsent
            unsent = self._count_unsent()
            if unsent < before:
                moved_at = now
            elif now - moved_at > USER_TIMEOUT_MS / 1000:
                raise exceptions.EndpointBrokenError(
                    'the response ended, and the request was not read'
                )
        waits_until = clock.now_s() + RESET_WAIT_S
        while clock.now_s() < waits_until:
            await asyncio.sleep(SENT_CHECK_S)
            self._check_reset()

    def _check_reset(self):
        if self._is_reset():
            raise exceptions.EndpointBrokenError(
                'connection reset after the end of the response'
            )

    def _set_user_timeout(self, timeout_ms):
        if timeout_ms == self._user_timeout_ms or self._lost:
            return
        self._user_timeout_ms = timeout_ms
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )

    def ends_response(self, head):
        """Return whether the end of the connection ends a response.

        It then has neither a length nor chunks, and may have a body.
        """
        if self._last_request.method == b'HEAD':
            return False
        header_names = [name for name, _ in head.headers]
        return (
            b'content-length' not in header_names
            and b'transfer-encoding' not in header_names
        )

    def finish(self):
        """Prepare for the next request and return whether that is possible."""
        if self._http.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        if self._unread or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return self.reusable

    def skip_duplicate_response(self):
        """Prepare to read the response that follows a duplicate response.

        Some endpoints send a response twice; the duplicate then arrives
        before the response to the following request.
        """
        data, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise exceptions.EndpointBrokenError('answer to another request')
        self._http = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)
        self._http.send(self._last_request)
        with contextlib.suppress(h11.LocalProtocolError):
            # The request body has been sent already.
            self._http.send(h11.EndOfMessage())
        if data:
            self._http.receive_data(data)

    def abort(self):
        """Close immediately and drop unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        """Close after all pending data is sent."""
        if self._transport is not None:
            self._transport.close()

    async def _next_any_event(self):
        while True:
            if self._turn.over:
                await self._turn.give_way()
            try:
                event = self._parse_event()
            except h11.RemoteProtocolError as error:
                raise exceptions.EndpointBrokenError(
                    f'the answer is not valid HTTP: {error}'
                ) from error
            if event is h11.PAUSED:
                raise exceptions.EndpointBrokenError(
                    'the connection has left HTTP'
                )
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise exceptions.EndpointBrokenError('connection closed')
                return event
            if self._unread:
                self._feed_parser()
            elif self._end_is_due:
                if self._unframed and self._early:
                    await self._confirm_end()
                self._end_parsed = True
                self._http.receive_data(b'')
            elif self._lost or self._end_received:
                raise exceptions.EndpointBrokenError(
                    f'connection lost: {self._error!r}'
                )
            else:
                await self._wait_for_data()

    def _parse_event(self):
        event, self._parsed = self._parsed, None
        if event is None:
            with self._turn.measure():
                event = self._http.next_event()
        return event

    def _feed_parser(self):
        data = self._unread.popleft()
        self._unread_bytes -= len(data)
        if not self._unread and not self._lost:
            self._transport.resume_reading()
        self._http.receive_data(data)

    async def _wait_for_data(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
            self._turn.begin()
        finally:
            self._waiter = None

    def _wake_reader(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _check_status(event):
    if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
        raise exceptions.EndpointBrokenError(
            f'the answer is not valid HTTP: status {event.status_code}'
        )


def set_socket_options(sock):
    """Set socket options that detect an unresponsive peer in seconds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_connection(address, timeout_s):
    """Open a connection or raise EndpointUnreachableError.

    Raises its subclasses EndpointRefusedError if nothing listens there, and
    ResourcesExhaustedError if the fault is here.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with timeouts.timeout(timeout_s):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except ConnectionRefusedError as error:
        raise exceptions.EndpointRefusedError(
            f'no connection to {address}: {error!r}'
        ) from error
    except (OSError, ValueError, TimeoutError) as error:
        kind = exceptions.EndpointUnreachableError
        if loop_errors.is_exhaustion(error):
            kind = exceptions.ResourcesExhaustedError
        raise kind(f'no connection to {address}: {error!r}') from error
    return connection


class WholeResponse(typing.NamedTuple):
    """Store a response that was read completely."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


async def read_response(conn, timeout_s, max_bytes=MAX_WHOLE_RESPONSE_BYTES):
    """Read a complete response and return it as a WholeResponse.

    Raises EndpointBrokenError if the response breaks off or is too large.
    """
    status, headers = 0, {}
    body = reading_budget.KeptBody(reading_budget.ResponseMemory())
    async with timeouts.timeout(timeout_s):
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                body.add(event.data)
                if body.size > max_bytes:
                    raise exceptions.EndpointBrokenError(
                        'the response is too large'
                    )
            elif isinstance(event, h11.EndOfMessage):
                return WholeResponse(status, headers, b''.join(body.take()))
