"""Serve callers' connections within the limits of an account."""

from __future__ import annotations

import collections
import gc
import json
import socket
import struct
import sys
import typing

import h11
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import h11_impl

from persimmonroute import caller_account
from persimmonroute.caller_account import Reason
from persimmonroute.caller_account import Stage
from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import logs
from persimmonroute import timeouts

log = logs.EventLog(__name__)

# SO_LINGER: close with a reset.
LINGER_RESET = struct.pack('ii', 1, 0)
TRANSFER_ENCODING = b'transfer-encoding'
# Room for the request line, and for white space that is not counted in the
# configuration's limit of the headers.
HEAD_MARGIN_BYTES = 12_288
# The parser's limit for a chunk's line or trailers, and for heads if the
# configuration allows less.
MIN_PARSER_BYTES = 32_768
# Data with more lines are parsed in slices of the second size, each in a step
# of its own: a chunk of one byte takes the parser about 15 us.
MAX_LINES_PER_STEP = 128
SLICE_BYTES = 512
# Bytes of a body that are discarded after its request was refused.
MAX_DISCARDED_BYTES = 8_388_608
# Bytes of chunk sizes, extensions and line endings that are allowed for a
# body, and for each of its bytes. Chunks of one byte have 5.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BYTE = 16
# Above this size of its unsent responses, a connection writes no more.
WRITE_BUFFER_BYTES = 32_768
# Callers get these multiples of what the configuration lets them take, so
# that delays of the network and of a busy process close no connection.
HEAD_TIMEOUT_FACTOR = 2
BODY_TIMEOUT_FACTOR = 2
# Time and bytes for which a refused caller may go on to send before the
# connection is closed. Closing earlier resets it, and the caller could not
# read the refusal.
REFUSAL_S = 5.0
REFUSAL_BYTES = 1_048_576
# Time after which a refused caller may come back.
RETRY_S = 0.1
# Connections of a port that callers do not use.
SMALL_PORT_CONNECTIONS = 8
# Bytes of released bodies after which unreachable objects are collected, and
# the time in which their requests end. Requests are in reference cycles, so
# bodies would stay until the garbage collector runs by itself, which depends
# on the number of objects and not on their size. A link of 5 Mbit/s brings as
# many bytes in 6.7 s.
GARBAGE_BYTES = 4_194_304
COLLECT_DELAY_S = 0.05
# Interval of the checks of all connections; a longer gap is a stand-still.
CHECK_S = 0.5
MAX_CHECK_GAP_S = CHECK_S + 0.3
STATUS_BY_REASON = {
    Reason.CONNECTIONS: 503,
    Reason.MEMORY: 503,
    Reason.HEAD_TIMEOUT: 408,
    Reason.BODY_TIMEOUT: 408,
    Reason.HEAD_SIZE: 431,
    Reason.FRAMING: 400,
}
TEXT_BY_REASON = {
    Reason.CONNECTIONS: 'too many connections',
    Reason.MEMORY: 'no memory for the request',
    Reason.HEAD_TIMEOUT: 'the head of the request took too long',
    Reason.BODY_TIMEOUT: 'the body of the request stopped',
    Reason.HEAD_SIZE: 'headers are too large',
    Reason.FRAMING: 'too many bytes of framing',
}


class ConnectionLimits(typing.NamedTuple):
    """Limit one connection; the defaults are those of the platform."""

    header_bytes: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    unread_timeout_s: float = 300.0

    @property
    def head_bytes(self):
        """Return the largest head, with the request line."""
        return self.header_bytes + HEAD_MARGIN_BYTES


def _do_nothing(*arguments):
    """Stand in for a callback of a connection that is closed."""


class ParseQueue:
    """Give slices of parsing their turns, one in a step of the event loop.

    It takes at most half of the processor's time.
    """

    def __init__(self):
        self._waiting = collections.deque()
        # Whether a call of _run is due, or goes on.
        self._active = False

    def add(self, loop, parse):
        """Call a function in its turn."""
        self._waiting.append(parse)
        if not self._active:
            self._active = True
            loop.call_soon(self._run, loop)

    def _run(self, loop):
        began_at = loop.time()
        try:
            self._waiting.popleft()()
        finally:
            self._active = bool(self._waiting)
            if self._active:
                spent_s = loop.time() - began_at
                loop.call_later(spent_s, self._run, loop)


class BoundedFlow(flow_control.FlowControl):
    """Read no more of a connection that has data to be parsed.

    The application resumes reading whenever it waits for the caller.
    """

    def __init__(self, transport, has_backlog):
        super().__init__(transport)
        self._has_backlog = has_backlog

    def detach(self):
        """Forget the connection."""
        self._has_backlog = _do_nothing

    def resume_reading(self):
        """Resume reading if all data have been parsed."""
        if not self._has_backlog():
            super().resume_reading()


class CountedTransport:
    """Pass on the calls of a transport, and report each write."""

    def __init__(self, transport, on_write):
        self._transport = transport
        self._on_write = on_write
        self._written = 0

    def __getattr__(self, name):
        """Return a method of the transport."""
        return getattr(self._transport, name)

    @property
    def unsent(self):
        """Return the bytes that are written and not sent."""
        return self._transport.get_write_buffer_size()

    @property
    def sent(self):
        """Return the bytes that were sent."""
        return self._written - self.unsent

    def write(self, data):
        """Write data, and report that."""
        self._written += len(data)
        self._transport.write(data)
        self._on_write()

    def detach(self):
        """Forget the connection."""
        self._on_write = _do_nothing


class ConnectionGuard:
    """Check the connections of one server against their limits."""

    def __init__(
        self,
        account=None,
        read_limits=ConnectionLimits,
        small_port=False,
    ):
        self.account = account or caller_account.CallerAccount()
        # Whether the port is one that callers do not use.
        self.small_port = small_port
        # Set by the server: pause and resume accepting.
        self.pause_accepting = self.resume_accepting = _do_nothing
        # Returns the ConnectionLimits that apply now.
        self.read_limits = read_limits
        self.parse_queue = ParseQueue()
        self._checked_at = None
        self._caught_up = False
        self._reported = collections.Counter()
        self._reported_pauses = 0
        # Bytes of bodies that were released since the last collection.
        self._garbage = 0

    def record_released(self, loop, size):
        """Collect unreachable objects once enough bodies were released."""
        before, self._garbage = self._garbage, self._garbage + size
        if before < GARBAGE_BYTES <= self._garbage:
            loop.call_later(COLLECT_DELAY_S, self._collect)

    def _collect(self):
        self._garbage = 0
        gc.collect()

    def check(self, connections, now):
        """Close the connections that took too long.

        After a stand-still, what arrived meanwhile is read before.
        """
        gap_s = 0.0 if self._checked_at is None else now - self._checked_at
        self._checked_at = now
        late = gap_s > MAX_CHECK_GAP_S and not self._caught_up
        self._caught_up = late
        if late:
            return
        limits = self.read_limits()
        for connection in connections:
            connection.check(limits, now)
        self.account.relieve(now)
        self._report()

    def _report(self):
        """Log the refusals since the last report, as a total by reason."""
        new = self.account.refusals - self._reported
        if new:
            self._reported = collections.Counter(self.account.refusals)
            log.emit(
                Event.CALLERS_REFUSED,
                connections=len(self.account.holdings),
                held_bytes=self.account.used,
                refused=dict(sorted(new.items())),
            )
        pauses = self.account.pauses - self._reported_pauses
        if pauses:
            self._reported_pauses = self.account.pauses
            log.emit(
                Event.ACCEPTING_PAUSED,
                connections=len(self.account.holdings),
                pauses=pauses,
            )


def build_small_guard():
    """Return the guard of a port for probes, metrics or peers."""
    limits = caller_account.AccountLimits(connections=SMALL_PORT_CONNECTIONS)
    return ConnectionGuard(
        caller_account.CallerAccount(limits), small_port=True
    )


class CallerProtocol(h11_impl.H11Protocol):
    """Serve a connection, which the application may reset."""

    def __init__(self, guard, **options):
        # The parser is built with it.
        options['config'].h11_max_incomplete_event_size = max(
            2 * guard.read_limits().head_bytes, MIN_PARSER_BYTES
        )
        super().__init__(**options)
        self._guard = guard
        self._holding = None
        # Bytes that wait for their turn to be parsed.
        self._waiting = b''
        self._queued = False
        # When the connection was closed or refused here; None if it was not.
        self._ended_at = None
        # Bytes that were received of a body, and those that are its content.
        self._received = 0
        self._content = 0
        # When the connection was opened or its head began, when it was last
        # read, and when bytes were last found sent or none were left.
        self._began_at = self._read_at = self._sent_at = 0.0
        self._sent = 0

    def connection_made(self, transport):
        """Hand the means to reset the connection to the application."""
        transport.max_size = caller_account.READ_BYTES
        transport = CountedTransport(transport, self._count_written)
        super().connection_made(transport)
        self.flow = BoundedFlow(transport, self._has_backlog)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        now = clock.now_s()
        self._began_at = self._read_at = self._sent_at = now
        self._holding = self._guard.account.open(now, self.refuse)
        refused = self._holding is None
        if refused:
            # Counted nowhere.
            account = caller_account.CallerAccount()
            self._holding = account.open(now, self.refuse)
        self.app_state = {
            **self.app_state,
            'reset': self._reset,
            'holding': self._holding,
            'is_behind': self._is_behind,
        }
        if refused:
            self._guard.pause_accepting()
            self.refuse(Reason.CONNECTIONS)

    def _is_behind(self):
        """Return whether what is written now waits for the caller."""
        return self.flow.write_paused

    def _reset(self):
        """Close the connection so that no response looks complete."""
        if self.transport.is_closing():
            return
        sock = self.transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()

    def connection_lost(self, exc):
        """Release what the connection holds."""
        self._guard.record_released(self.loop, self._holding.body)
        if self._guard.account.close(self._holding):
            self._guard.resume_accepting()
        self._waiting = b''
        super().connection_lost(exc)
        # The server leaves it after an error, and with it all buffers.
        self._unset_keepalive_if_required()
        # Reference cycles would keep the buffers until the garbage collector
        # runs, which is late where many connections come and go.
        self._drop_received()
        self._holding.close = _do_nothing
        self.flow.detach()
        self.transport.detach()
        self.app_state = {}

    def timeout_keep_alive_handler(self):
        """Close an idle connection, unless a request is read before.

        In a process that was suspended, timers run before sockets are read.
        """
        self.timeout_keep_alive_task = self.loop.call_later(
            timeouts.CATCH_UP_S, super().timeout_keep_alive_handler
        )

    def resume_writing(self):
        """Account for what was sent, and let the application go on."""
        self._count_written()
        super().resume_writing()

    def _count_written(self):
        """Account for the bytes that are written and not sent."""
        unsent = self.transport.unsent
        if self._holding is not None and unsent != self._holding.written:
            self._holding.set_written(unsent, clock.now_s())

    def data_received(self, data):
        """Parse data, or let them wait for their turn."""
        if self._ended_at is not None:
            self._received += len(data)
            if self._received > REFUSAL_BYTES:
                self.transport.close()
            return
        self._read_at = clock.now_s()
        if self._has_backlog() or self.conn.their_state is h11.DONE:
            self._waiting += data
            self._unset_keepalive_if_required()
            self.flow.read_paused = True
            # The server resumes the transport when it discarded a body.
            self.transport.pause_reading()
        else:
            self._parse(data)
        self._update(self._read_at)

    def on_response_complete(self):
        """Release what the request held, and go on with the next one."""
        self._guard.record_released(self.loop, self._holding.body)
        self._holding.end_request()
        # An idle connection would keep the headers of its last request. Those
        # that tell the framing are needed while the rest of a body is read.
        self.headers = [h for h in self.headers if h[0] == TRANSFER_ENCODING]
        self.scope = self.cycle.scope = None
        super().on_response_complete()
        if not self.transport.is_closing():
            self._continue()
            self.flow.resume_reading()
        self._update(clock.now_s())

    def shutdown(self):
        """Begin a planned stop, unless the connection is closing."""
        if self._ended_at is None:
            super().shutdown()
        else:
            self.transport.close()

    def send_400_response(self, msg):
        """Refuse a request that cannot be parsed."""
        # Called while the parser's error is handled, which names a status for
        # what is too long.
        hint = getattr(sys.exception(), 'error_status_hint', 400)
        self._refuse(hint, msg, None)

    def check(self, limits, now):
        """Close the connection if its time is over."""
        unsent, sent = self.transport.unsent, self.transport.sent
        if not unsent or sent != self._sent:
            self._sent_at = now
            if unsent:
                self._holding.record_read(now)
        self._sent = sent
        self._holding.set_written(unsent, now)
        if self._ended_at is not None:
            if now - self._ended_at > REFUSAL_S:
                self.transport.abort()
            return
        if unsent and now - self._sent_at > limits.unread_timeout_s:
            self.refuse(Reason.UNREAD)
            return
        stage = self._holding.stage
        if stage is Stage.HEAD:
            timeout_s = HEAD_TIMEOUT_FACTOR * limits.header_timeout_s
            if now - self._began_at > timeout_s:
                self.refuse(Reason.HEAD_TIMEOUT)
        elif stage is Stage.BODY:
            timeout_s = BODY_TIMEOUT_FACTOR * limits.idle_timeout_s
            waits = self._waiting or self.flow.read_paused
            if not waits and now - self._read_at > timeout_s:
                self.refuse(Reason.BODY_TIMEOUT)
        elif stage is Stage.IDLE and self.cycle is None:
            if now - self._began_at > self.timeout_keep_alive:
                self.refuse(Reason.IDLE)

    def refuse(self, reason):
        """Refuse the request that is not complete, or close the connection.

        A request that may have run is broken off.
        """
        if self._ended_at is not None:
            if reason is Reason.CONNECTIONS:
                self.transport.abort()
            return
        self._guard.account.refusals[reason.value] += 1
        if self._holding is not None and self._holding.is_complete:
            log.emit(
                Event.RESPONSE_CUT,
                reason=reason.value,
                unread_bytes=self._holding.unread,
            )
            self._end()
            self._reset()
        elif reason in STATUS_BY_REASON:
            status = STATUS_BY_REASON[reason]
            retry_s = RETRY_S if status == 503 else None
            self._refuse(status, TEXT_BY_REASON[reason], retry_s)
            if reason is Reason.CONNECTIONS:
                # Its descriptor is needed.
                self.transport.close()
        else:
            self._end()
            self.transport.close()

    def _refuse(self, status, text, retry_s):
        """Send a response to a request that is not passed on, and close."""
        if self._ended_at is not None:
            return
        cycle = self.cycle
        is_open = cycle is not None and not cycle.response_complete
        body = json.dumps({'error': text}).encode()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
            (b'connection', b'close'),
        ]
        if retry_s is not None:
            headers.append((b'retry-after', f'{retry_s:.3f}'.encode()))
        try:
            output = self.conn.send(
                h11.Response(
                    status_code=status,
                    headers=headers,
                    reason=h11_impl.STATUS_PHRASES[status],
                )
            )
            if not (is_open and cycle.scope['method'] == 'HEAD'):
                output += self.conn.send(h11.Data(data=body))
            output += self.conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # A response has begun.
            self._end()
            self._reset()
            return
        self._end()
        self._drop_received()
        self.transport.write(output)
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self.transport.abort()
            return
        self.transport.resume_reading()

    def _end(self):
        """Tell the application that the caller is gone; read no more."""
        self._ended_at = clock.now_s()
        self._waiting = b''
        self._received = 0
        if self._holding is not None:
            self._holding.enter(Stage.CLOSING, self._ended_at)
        self._unset_keepalive_if_required()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.waiting_for_100_continue = False
            cycle.message_event.set()

    def _drop_received(self):
        """Drop what the parser and the request keep of the data read.

        The request may not be sending a response.
        """
        self.conn = h11.Connection(h11.SERVER)
        if self.cycle is not None:
            self.cycle.conn = self.conn
            self.cycle.body = bytearray()

    def _parse(self, data):
        """Parse data, at most a slice of them if they have many lines."""
        if (
            len(data) > SLICE_BYTES
            and data.count(b'\n') > MAX_LINES_PER_STEP
            and not self._has_sized_body()
        ):
            self._waiting = data[SLICE_BYTES:]
            data = data[:SLICE_BYTES]
        cycle = self.cycle
        before = 0 if cycle is None else len(cycle.body)
        super().data_received(data)
        if self._ended_at is not None:
            return
        if self.cycle is not cycle:
            # The rest of these data is not counted.
            self._received = self._content = 0
        elif cycle is not None and self.conn.their_state is h11.SEND_BODY:
            self._check_body(len(data), len(cycle.body) - before)
        if self._waiting and self._ended_at is None:
            self.flow.pause_reading()
            self._enqueue()

    def _check_body(self, received, content):
        """Refuse a body whose framing or discarded part has no end."""
        self._received += received
        self._content += content
        if self.cycle.response_complete:
            if self._received > MAX_DISCARDED_BYTES:
                self._end()
                self.transport.close()
            return
        self._holding.record_body(content, self._read_at)
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BYTE * self._content
        if self._received - self._content > allowed:
            self.refuse(Reason.FRAMING)

    def _enqueue(self):
        if not self._queued:
            self._queued = True
            self._guard.parse_queue.add(self.loop, self._take_turn)

    def _take_turn(self):
        """Parse the next slice of what waits."""
        self._queued = False
        if self._ended_at is None and not self.transport.is_closing():
            self._continue()
            self._update(clock.now_s())

    def _continue(self):
        """Parse what waits, unless a response has to end first."""
        if not self._waiting or self.conn.their_state is h11.DONE:
            return
        data, self._waiting = self._waiting, b''
        self._parse(data)
        if self._ended_at is None:
            self.flow.resume_reading()

    def _has_backlog(self):
        """Return whether data wait to be parsed."""
        if self._waiting:
            return True
        return self.conn.their_state is h11.DONE and bool(
            self.conn.trailing_data[0]
        )

    def _has_sized_body(self):
        """Return whether a body with a length is being received."""
        return self.conn.their_state is h11.SEND_BODY and not any(
            name == TRANSFER_ENCODING for name, _ in self.headers
        )

    def _update(self, now):
        """Account for what is held now."""
        if self._ended_at is not None:
            return
        cycle, holding = self.cycle, self._holding
        unparsed = len(self.conn.trailing_data[0]) + len(self._waiting)
        if cycle is not None and not cycle.response_complete:
            stage = Stage.BODY if cycle.more_body else Stage.PASSED_ON
            unparsed += len(cycle.body)
        elif self.conn.their_state is h11.SEND_BODY:
            # The rest of a body is discarded.
            stage = Stage.BODY
        elif unparsed:
            stage = Stage.HEAD
            if holding.stage is not Stage.HEAD:
                self._began_at = now
            if unparsed > self._guard.read_limits().head_bytes:
                self.refuse(Reason.HEAD_SIZE)
                return
        else:
            stage = Stage.IDLE
        holding.enter(stage, now)
        holding.set_unparsed(unparsed, now)
