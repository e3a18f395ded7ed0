"""Stand in for an endpoint that speaks the platform's protocol."""

from __future__ import annotations

import asyncio
import bisect
import collections
import contextlib
import enum
import functools
import json
import random
import socket
import struct
import time
import typing

import h11

EVENTS = 4
EVENT_PAUSE_S = 0.005
HANG_S = 30.0
SIGNATURE = b'signature'
READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Interval at which a silent endpoint looks whether its peer has closed.
SILENCE_STEP_S = 0.002
# Bytes after which a response without end gives up.
MAX_ENDLESS_BYTES = 1_073_741_824
# Time over which the load of an endpoint is measured.
LOAD_WINDOW_S = 1.0
# Steps in which an endpoint looks whether its response is read. Steps count,
# and not seconds, so that a process that stands still cuts off nothing.
UNREAD_STEPS = 20
# Bytes of a response that wait in the socket of an endpoint with a limit.
UNREAD_BUFFER_BYTES = 65_536


class VersionFault(typing.NamedTuple):
    """Describe how the software of an endpoint is bad."""

    # Share of the responses that are failures, and factor of the time of the
    # others.
    failures: float = 0.0
    slower: float = 1.0
    # Time from which it is bad, by the monotonic clock.
    begins_at: float = 0.0
    # The only route that it is bad on.
    route: str | None = None
    # Requests a second at one endpoint from which it is bad.
    load: float = 0.0
    # Factor of the time between the events of a stream.
    slower_events: float = 1.0


class RunnerStandIn:
    """Serve requests, inject faults and count the runs of attempts.

    script holds the behaviours of the next requests; once it is empty,
    default_behaviour applies.
    """

    event_count = EVENTS
    event_pause_s = EVENT_PAUSE_S
    hang_s = HANG_S
    # Pause before the copy of the behaviour 'nameless_copy', in seconds.
    copy_delay_s = 0.02
    # Pause before the answer of the behaviour 'pause', in seconds.
    answer_pause_s = 0.2
    # Silence in the middle of a stream of the behaviour 'silent', in seconds;
    # other answers begin after it.
    silence_s = 2.0
    # Retry-After of the behaviour 'closed', in seconds.
    pause_s = 1.0
    # Bytes after the events of the behaviour 'unframed_whole_stream'.
    stream_trailer = b''
    # Ids of prompt parts that crash the endpoint unless they are the last.
    crashing_parts = frozenset()
    # Events that the endpoint writes before it crashes on such a part.
    events_before_crash = 0
    # Version of the software, which each event of a stream names; without one
    # events name none.
    version = None
    # VersionFault of the software; None for a good one.
    version_fault = None
    # Mean time that an answer takes to begin, in seconds.
    service_s = 0.0
    # Start of the process, in Unix milliseconds.
    born = 1
    # True if all responses say that the endpoint is leaving.
    leaving = False
    # Requests per second that all responses name as the limit, as text; None
    # for no limit.
    request_limit = None
    # Load that all responses report, as text; None for none.
    reported_load = None
    # Next answers of the behaviour 'raw'.
    raw_answers = None
    # Seconds after which a response is cut off that stays unread; None for
    # never.
    unread_limit_s = None

    def __init__(self, runner_id):
        self.id = runner_id
        self.script = collections.deque()
        self.default_behaviour = 'answer'
        self.runs = collections.Counter()
        # Address at the last start.
        self.former_address = None
        self.requests = []
        # When each of the requests arrived, by the monotonic clock.
        self.arrivals = []
        # When responses ended that were bad because of the version.
        self.bad_at = []
        self._fault_rng = random.Random(runner_id)
        self.cancelled = 0
        # When each attempt last began to run, and when the connection of one
        # was lost during a silence, by the monotonic clock.
        self.begun_at = {}
        self.lost_at = {}
        # Requests for the state of the endpoint.
        self.reports = 0
        self.crashed = False
        # Bytes of responses without end that the peers have accepted.
        self.endless_bytes = 0
        # Attempts whose response was cut off because it stayed unread, and
        # those whose response the peer has taken as a whole.
        self.cut_off = []
        self.delivered = []
        self._server = None
        self._tasks = set()
        # Open connections, as writers with their readers.
        self._readers = {}
        # Refusals to be written once more before the next answer, by
        # connection.
        self._former_refusals = {}
        # A refusal to be written once more on the next connection that has
        # been used before.
        self._kept_refusal = b''

    @property
    def address(self):
        """Return the address to connect to, as host:port."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def start(self, port=0):
        """Start serving on a port, by default on a free one."""
        self.crashed = False
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )
        self.former_address = self.address

    async def stop(self):
        """Stop serving and cancel all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def crash(self):
        """Reset all connections, and refuse new ones until start()."""
        self.crashed = True
        self._server.close()
        for writer in self._readers:
            reset(writer)

    def choose_behaviour(self):
        """Return the behaviour for the next request."""
        return self.script.popleft() if self.script else self.default_behaviour

    def make_event(self, attempt, number):
        """Return one server-sent event of an attempt's stream."""
        version = f'{self.version} ' if self.version else ''
        return f'id: {number}\ndata: {version}piece {number}\n\n'.encode()

    def apply_fault(self, reply, behaviour, path):
        """Return the behaviour that the fault of the version leads to."""
        fault = self.version_fault
        if fault is None or behaviour != self.default_behaviour:
            return behaviour
        now = time.monotonic()
        recent = bisect.bisect(self.arrivals, now - LOAD_WINDOW_S)
        per_s = (len(self.arrivals) - recent) / LOAD_WINDOW_S
        on_route = fault.route is None or path.startswith(f'/{fault.route}/')
        if now < fault.begins_at or per_s < fault.load or not on_route:
            return behaviour
        reply.slower = fault.slower
        reply.slower_events = fault.slower * fault.slower_events
        failed = self._fault_rng.random() < fault.failures
        reply.bad = failed or reply.slower_events > 1.0
        return 'fail' if failed else behaviour

    def crashes_on(self, prompt):
        """Return whether a prompt holds a part that crashes endpoints."""
        parts = [entry.partition(':')[0] for entry in prompt.split(',')]
        return not self.crashing_parts.isdisjoint(parts[:-1])

    def record_run(self, attempt, headers):
        """Count a run of an attempt."""
        self.runs[attempt] += 1
        self.begun_at[attempt] = time.monotonic()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._readers[writer] = reader
        if self.unread_limit_s is not None:
            limit_buffers(writer)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # Raised by stop(); not re-raised, as asyncio would log it.
            return
        except (OSError, h11.ProtocolError):
            self.cancelled += 1
        finally:
            self._readers.pop(writer, None)
            writer.close()

    async def _serve(self, reader, writer):
        http = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
        used = False
        while True:
            request, body = await _read_request(http, reader)
            if request is None:
                return
            writer.write(self._former_refusals.pop(writer, b''))
            if used:
                writer.write(self._kept_refusal)
                self._kept_refusal = b''
            used = True
            keep = await self._respond(http, writer, request, body)
            if not keep or http.our_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _respond(self, http, writer, request, body):
        headers = dict(request.headers)
        if request.target == b'/report':
            return await self._send_report(http, writer)
        attempt = headers.get(b'attempt-id', b'')
        self.requests.append((request, body))
        self.arrivals.append(time.monotonic())
        behaviour = self.choose_behaviour()
        if headers.get(b'expect-instance') != self.id.encode():
            behaviour = 'misdirect'
        reply = Reply(http, writer, attempt, self._own_headers())
        if self.unread_limit_s is not None:
            reply.drain = functools.partial(self._drain, reply)
        if behaviour == 'full':
            await reply.send_complete(503, b'', [(b'not-executed', b'1')])
            return True
        if behaviour in ('refuse_again', 'refuse_again_elsewhere'):
            refusal = (
                b'HTTP/1.1 503 Service Unavailable\r\nattempt-id: '
                + attempt
                + b'\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n'
            )
            if behaviour == 'refuse_again':
                self._former_refusals[writer] = refusal
            else:
                self._kept_refusal = refusal
            await reply.send_complete(503, b'', [(b'not-executed', b'1')])
            return True
        if behaviour == 'closed':
            pause = str(self.pause_s).encode()
            headers = [(b'not-executed', b'1'), (b'retry-after', pause)]
            await reply.send_complete(503, b'', headers)
            return True
        if behaviour == 'misdirect':
            await reply.send_complete(421, b'', [])
            return True
        self.record_run(attempt.decode('latin-1'), headers)
        crashes = self.crashes_on(headers.get(b'prompt-prefix', b'').decode())
        if crashes and behaviour != 'reject':
            behaviour = 'crash'
        behaviour = self.apply_fault(
            reply, behaviour, request.target.decode('latin-1')
        )
        handler = getattr(self, f'_do_{behaviour}', self._do_answer)
        keep = await handler(reply, headers)
        if self.unread_limit_s is not None:
            await reply.drain()
            self.delivered.append(attempt)
        if reply.bad:
            self.bad_at.append(time.monotonic())
        return keep

    async def _drain(self, reply):
        """Wait until a response is taken; cut it off if it stays unread."""
        transport = reply.writer.transport
        left, steps = transport.get_write_buffer_size(), 0
        while left and not transport.is_closing():
            await asyncio.sleep(self.unread_limit_s / UNREAD_STEPS)
            before, left = left, transport.get_write_buffer_size()
            steps = steps + 1 if left == before else 0
            if steps == UNREAD_STEPS:
                self.cut_off.append(reply.attempt)
                reset(reply.writer)
        await reply.writer.drain()

    async def _send_report(self, http, writer):
        """Tell the state of the endpoint, without a slot."""
        self.reports += 1
        body = json.dumps({'Queued': 0, 'born': self.born}).encode()
        await Reply(http, writer, b'').send_complete(200, body, [])
        return True

    def _own_headers(self):
        """Return what the endpoint says of itself in each response."""
        headers = []
        if self.leaving:
            headers.append((b'server-leaving', b'1'))
        if self.request_limit is not None:
            headers.append((b'server-limit', self.request_limit.encode()))
        if self.reported_load is not None:
            headers.append((b'runner-load', self.reported_load.encode()))
        return headers

    async def _do_answer(self, reply, headers):
        service_s = self.service_s * reply.slower
        if service_s:
            await asyncio.sleep(service_s * self._fault_rng.uniform(0.5, 1.5))
        if _wants_stream(headers):
            first = await self._begin_stream(reply, headers)
            for number in range(first, self.event_count + 1):
                await reply.send_data(self.make_event(reply.attempt, number))
                await asyncio.sleep(self.event_pause_s * reply.slower_events)
            reply.end()
        else:
            await reply.send_complete(200, b'answer ' + reply.attempt, [])
        return True

    async def _do_crash(self, reply, headers):
        """Begin to write an answer, and crash."""
        if _wants_stream(headers):
            await self._begin_stream(reply, headers)
            for number in range(1, self.events_before_crash + 1):
                await reply.send_data(self.make_event(reply.attempt, number))
            await reply.send_data(b'id: 99\nda')
        await asyncio.sleep(self.event_pause_s)
        await self.crash()
        return False

    async def _do_fail(self, reply, headers):
        await reply.send_complete(500, b'failed', [])
        return True

    async def _do_reject(self, reply, headers):
        """Answer without having read the prompt."""
        await reply.send_complete(400, b'rejected', [])
        return True

    async def _do_reset(self, reply, headers):
        reset(reply.writer)
        return False

    async def _do_hang(self, reply, headers):
        await asyncio.sleep(self.hang_s)
        return False

    async def _do_pause(self, reply, headers):
        """Answer after a pause."""
        await asyncio.sleep(self.answer_pause_s)
        return await self._do_answer(reply, headers)

    async def _do_late_fail(self, reply, headers):
        """Fail after a pause."""
        await asyncio.sleep(self.answer_pause_s)
        return await self._do_fail(reply, headers)

    async def _do_silent(self, reply, headers):
        """Begin a stream, fall silent for a while, and go on."""
        if not _wants_stream(headers):
            await self._be_silent(reply)
            return await self._do_answer(reply, headers)
        first = await self._begin_stream(reply, headers)
        for number in range(first, self.event_count + 1):
            await reply.send_data(self.make_event(reply.attempt, number))
            if number == first:
                await self._be_silent(reply)
        reply.end()
        return True

    async def _be_silent(self, reply):
        """Send nothing for a while, unless the peer closes."""
        ends_at = time.monotonic() + self.silence_s
        while time.monotonic() < ends_at:
            reader = self._readers[reply.writer]
            if reader.at_eof() or reply.writer.transport.is_closing():
                attempt = reply.attempt.decode('latin-1')
                self.lost_at[attempt] = time.monotonic()
                raise ConnectionResetError
            await asyncio.sleep(SILENCE_STEP_S)

    async def _do_truncate(self, reply, headers):
        await reply.send_head(200, [(b'content-length', b'100')])
        await reply.send_data(b'part')
        return False

    async def _do_break_stream(self, reply, headers):
        first = await self._begin_stream(reply, headers)
        await reply.send_data(
            self.make_event(reply.attempt, first) + b'id: 99'
        )
        await asyncio.sleep(self.event_pause_s)
        reset(reply.writer)
        return False

    async def _begin_stream(self, reply, headers):
        """Send the response head; return the number of the first event."""
        await reply.send_head(200, [(b'content-type', b'text/event-stream')])
        return int(headers.get(b'last-event-id', b'0')) + 1

    async def _do_extra(self, reply, headers):
        body = b'answer ' + reply.attempt
        await reply.send_complete(200, body, [])
        reply.writer.write(
            b'HTTP/1.1 200 OK\r\nattempt-id: ' + reply.attempt + b'\r\n'
            b'content-length: 5\r\n\r\nagain'
        )
        return True

    async def _do_unframed(self, reply, headers):
        reply.write_unframed_head()
        reply.writer.write(b'answer ' + reply.attempt)
        await reply.writer.drain()
        return False

    async def _do_unframed_stream(self, reply, headers):
        """Stop inside an event and close the connection in order."""
        if not _wants_stream(headers):
            return await self._do_truncate(reply, headers)
        await self._send_unframed_head(reply)
        first = int(headers.get(b'last-event-id', b'0')) + 1
        reply.writer.write(
            self.make_event(reply.attempt, first) + b'id: 99\ndata: pi'
        )
        await reply.writer.drain()
        return False

    async def _do_partial_stream(self, reply, headers):
        """Stop inside an event and end the response as HTTP requires."""
        if not _wants_stream(headers):
            return await self._do_truncate(reply, headers)
        first = await self._begin_stream(reply, headers)
        await reply.send_data(
            self.make_event(reply.attempt, first) + b'id: 99\ndata: pi'
        )
        reply.end()
        return True

    async def _do_empty_stream(self, reply, headers):
        """Send the head of an unframed stream and close the connection."""
        if not _wants_stream(headers):
            return await self._do_truncate(reply, headers)
        await self._send_unframed_head(reply)
        return False

    async def _do_unframed_whole_stream(self, reply, headers):
        """Send a whole stream that ends with its connection."""
        if not _wants_stream(headers):
            return await self._do_unframed(reply, headers)
        await self._send_unframed_head(reply)
        first = int(headers.get(b'last-event-id', b'0')) + 1
        for number in range(first, self.event_count + 1):
            reply.writer.write(self.make_event(reply.attempt, number))
            await reply.writer.drain()
            await asyncio.sleep(self.event_pause_s)
        reply.writer.write(self.stream_trailer)
        await reply.writer.drain()
        return False

    async def _send_unframed_head(self, reply):
        reply.write_unframed_head(b'content-type: text/event-stream\r\n')
        await reply.writer.drain()

    async def _do_unsigned(self, reply, headers):
        """Answer with bytes that no endpoint vouches for."""
        name = b'attempt-id: %b\r\n' % reply.attempt
        return self._write_unsigned(reply, headers, name)

    async def _do_nameless(self, reply, headers):
        """Do the same without the name of the attempt."""
        return self._write_unsigned(reply, headers, b'')

    def _write_unsigned(self, reply, headers, name):
        content_type, body = b'text/plain', b'nobody wrote this'
        if _wants_stream(headers):
            content_type = b'text/event-stream'
            body = b'id: 1\ndata: nobody wrote this\n\n'
        reply.writer.write(
            b'HTTP/1.1 200 OK\r\n%bcontent-type: %b\r\n'
            b'content-length: %d\r\n\r\n%b'
            % (name, content_type, len(body), body)
        )
        return False

    async def _do_json_on_stream(self, reply, headers):
        """Answer a request for a stream with a whole JSON document."""
        await reply.send_complete(
            200, b'{"note": "x"}', [(b'content-type', b'application/json')]
        )
        return True

    async def _do_endless_head(self, reply, headers):
        """Send header lines until the peer closes."""
        reply.writer.write(b'HTTP/1.1 200 OK\r\n')
        return await self._send_endlessly(reply, b'x-filler: 0123456789\r\n')

    async def _do_endless_interim(self, reply, headers):
        """Send interim responses until the peer closes."""
        return await self._send_endlessly(
            reply, b'HTTP/1.1 102 Processing\r\n\r\n'
        )

    async def _do_endless_copy(self, reply, headers):
        """Send an answer to another request until the peer closes."""
        reply.writer.write(b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n\r\n')
        return await self._send_endlessly(reply, b'0123456789')

    async def _do_endless_event(self, reply, headers):
        """Send an event of a stream until the peer closes."""
        await self._send_unframed_head(reply)
        return await self._send_endlessly(reply, b'data: 0123456789\n')

    async def _do_endless_body(self, reply, headers):
        """Send a body without a length until the peer closes."""
        reply.write_unframed_head()
        return await self._send_endlessly(reply, b'0123456789')

    async def _send_endlessly(self, reply, data):
        block = data * (READ_BYTES // len(data))
        for _ in range(MAX_ENDLESS_BYTES // len(block)):
            reply.writer.write(block)
            await reply.writer.drain()
            self.endless_bytes += len(block)
        return False

    async def _do_drip(self, reply, headers):
        """Send one event, then single bytes that complete none."""
        first = await self._begin_stream(reply, headers)
        await reply.send_data(self.make_event(reply.attempt, first))
        for _ in range(20):
            await asyncio.sleep(self.hang_s / 100)
            await reply.send_data(b':')
        return False

    async def _do_slow_stream(self, reply, headers):
        """Send a sound stream with long pauses that grow slowly."""
        first = await self._begin_stream(reply, headers)
        for number in range(first, self.event_count + 1):
            await reply.send_data(self.make_event(reply.attempt, number))
            await asyncio.sleep(0.9 + 0.25 * number)
        reply.end()
        return True

    async def _do_nameless_copy(self, reply, headers):
        """Answer, then send a second copy without an id, a little later."""
        await reply.send_complete(200, b'answer ' + reply.attempt, [])
        await asyncio.sleep(self.copy_delay_s)
        reply.writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nagain'
        )
        return True

    async def _do_unframed_reset(self, reply, headers):
        reply.write_unframed_head()
        reply.writer.write(b'part')
        await reply.writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
        reset(reply.writer)
        return False

    async def _do_raw(self, reply, headers):
        """Write the bytes of the next raw answer, whatever they are."""
        answer = self.raw_answers.popleft()
        reply.writer.write(answer.data.replace(b'ATTEMPT', reply.attempt))
        await reply.writer.drain()
        if answer.end is RawEnd.KEEP:
            await asyncio.sleep(self.hang_s)
        if answer.end is RawEnd.RESET:
            # The bytes arrive before the reset.
            await asyncio.sleep(EVENT_PAUSE_S)
            reset(reply.writer)
        return False


class RawEnd(enum.Enum):
    """Define what becomes of a connection after a RawAnswer."""

    CLOSE = 'close'
    RESET = 'reset'
    KEEP = 'keep'


class RawAnswer(typing.NamedTuple):
    """Store the bytes of a response; ATTEMPT stands for the attempt."""

    data: bytes
    end: RawEnd = RawEnd.CLOSE


class Reply:
    """Write the response to one request."""

    def __init__(self, http, writer, attempt, own_headers=()):
        self._http = http
        self._own_headers = own_headers
        self.writer = writer
        self.drain = writer.drain
        self.attempt = attempt
        # Factors of the time of the answer and of that between its events, and
        # whether the response is bad, because of the version of the endpoint.
        self.slower = 1.0
        self.slower_events = 1.0
        self.bad = False

    async def send_head(self, status, headers):
        """Send the status line and the headers."""
        all_headers = [(b'attempt-id', self.attempt), *headers]
        all_headers.append((b'upstream-signature', SIGNATURE))
        all_headers.append((b'keep-alive', b'timeout=5'))
        all_headers += self._own_headers
        event = h11.Response(status_code=status, headers=all_headers)
        self.writer.write(self._http.send(event))
        await self.drain()

    def write_unframed_head(self, lines=b''):
        """Write the head of a response that ends with its connection."""
        self.writer.write(
            b'HTTP/1.1 200 OK\r\nattempt-id: %b\r\nupstream-signature: %b\r\n'
            b'%b\r\n' % (self.attempt, SIGNATURE, lines)
        )

    async def send_data(self, data):
        """Send a part of the body."""
        self.writer.write(self._http.send(h11.Data(data)))
        await self.drain()

    async def send_complete(self, status, body, headers):
        """Send a complete response."""
        size = str(len(body)).encode()
        await self.send_head(status, [(b'content-length', size), *headers])
        if body:
            await self.send_data(body)
        self.end()

    def end(self):
        """Finish the response."""
        self.writer.write(self._http.send(h11.EndOfMessage()))


def _wants_stream(headers):
    return headers.get(b'accept') == b'text/event-stream'


def limit_buffers(writer):
    """Let little of what is written wait unseen in the socket."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_BUFFER_BYTES)


def reset(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    # The peer may have closed the socket already.
    with contextlib.suppress(OSError):
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _read_request(http, reader):
    request, parts = None, []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return request, b''.join(parts)
        else:
            return None, b''
