"""Send requests to endpoints over the platform's HTTP protocol."""

from __future__ import annotations

import collections
import math
import re

import h11

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import model
from persimmonroute import http_connection
from persimmonroute import pacing
from persimmonroute.platform import documents
from persimmonroute.platform import names

CONNECT_TIMEOUT_S = 0.35
# Tells the state of an endpoint, without a slot.
REPORT_PATH = '/report'
REPORT_TIMEOUT_S = 0.35
# Idle connections are closed this long before the endpoint's timeout.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_LIMIT_S = 4.0
# Longest idle time of a connection that may carry a request which must not
# run twice: if a stale connection is reset, its outcome is unknown.
MAX_UNREPEATABLE_IDLE_S = 0.5
MAX_IDLE_PER_RUNNER = 24
# An endpoint that answered a request which was sent so recently is taken for
# the same process: none ends and is replaced by another in less time.
SAME_PROCESS_S = 0.1
# Refused attempts that are remembered; callers come back within seconds.
MAX_REFUSED_ATTEMPTS = 8192
# Late copies of other answers that are skipped before the answer, and their
# size; more is taken for a fault of the endpoint.
MAX_SKIPPED_COPIES = 8
MAX_SKIPPED_BYTES = 1_048_576
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# Longer pauses are likely errors of the endpoint.
MAX_RETRY_AFTER_S = 300.0
IDENTITY = b'identity'
# Type of a body that cannot be read here; it is relayed as it is.
ENCODED_TYPE = b'application/octet-stream'
_FIGURE = re.compile(rb' *\d{1,9} *')
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,9})')


class RunnerCall(forwarding.EndpointCall):
    """Read the response to one attempt at an endpoint."""

    def __init__(self, pool, runner, conn, attempt):
        self._pool = pool
        self._runner = runner
        self._conn = conn
        self._attempt = attempt
        self._sent_at = clock.now_s()
        # A reused connection may carry a late copy of an earlier response.
        self._reused = conn.request_count > 0
        self._reusable = True
        self._ended = False
        self._skipping = False
        self._skipped_bytes = 0

    @property
    def crossed_close(self):
        """Return whether nothing came back on a connection in use before."""
        return self._reused and not self._conn.responding

    async def head(self):
        """Return the status and headers of the response to this attempt.

        It may be cancelled and called again. Raises EndpointBrokenError if the
        connection ends before they arrive.
        """
        for _ in range(MAX_SKIPPED_COPIES + 1):
            if self._skipping:
                await self._skip_body()
            event = await self._conn.next_event()
            headers = dict(event.headers)
            echoed_attempt = headers.get(names.ATTEMPT_ID)
            if echoed_attempt == self._attempt:
                return self._read_head(event, headers)
            if echoed_attempt is None:
                if self._reused:
                    raise exceptions.EndpointBrokenError(
                        'the answer names no request'
                    )
                return self._read_head(event, headers)
            self._skipping = True
        raise exceptions.EndpointBrokenError('too many copies of answers')

    async def next_data(self):
        """Return the next chunk of the body, or None at its end."""
        while True:
            event = await self._conn.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._finish_call()
                return None

    def abandon(self):
        """Abort the connection so that the endpoint cancels the attempt."""
        if not self._ended:
            self._ended = True
            self._conn.abort()

    def _read_head(self, event, headers):
        self._pool.record_answered(self._runner, self._conn, self._sent_at)
        close = b'close' in headers.get(b'connection', b'').lower()
        self._reusable = not close
        named = headers.get(names.ATTEMPT_ID) == self._attempt
        misdirected = event.status_code == STATUS_MISDIRECTED and (
            named or names.NOT_EXECUTED in headers
        )
        not_run = names.NOT_EXECUTED in headers or misdirected
        if not_run:
            self._pool.record_refused(self._attempt)
        reported_load = headers.get(names.RUNNER_LOAD)
        load = _read_load(reported_load)
        match = _KEEP_ALIVE_TIMEOUT.search(headers.get(names.KEEP_ALIVE, b''))
        if match:
            self._conn.idle_limit_s = int(match.group(1)) - IDLE_MARGIN_S
        return model.ResponseHead(
            status=event.status_code,
            headers=_select_forwarded(event.headers),
            not_run=not_run,
            misdirected=misdirected,
            load=load,
            named=named,
            signed=bool(headers.get(names.SIGNATURE)),
            load_unreadable=load is None and reported_load is not None,
            ends_with_connection=self._conn.ends_response(event),
            content_type=_read_content_type(headers),
            leaving=headers.get(names.SERVER_LEAVING) == b'1',
            retry_after_s=_read_retry_after(event.status_code, headers),
            limit_per_s=_read_limit(headers),
        )

    async def _skip_body(self):
        while self._skipped_bytes <= MAX_SKIPPED_BYTES:
            event = await self._conn.next_event()
            if isinstance(event, h11.EndOfMessage):
                self._conn.skip_duplicate_response()
                self._skipping = False
                return
            self._skipped_bytes += len(event.data)
        raise exceptions.EndpointBrokenError(
            'the copy of another answer does not end'
        )

    def _finish_call(self):
        self._ended = True
        if self._reusable and self._conn.finish():
            self._pool.release(self._runner, self._conn)
        else:
            self._conn.close()


class RunnerClient:
    """Send requests to endpoints over pooled connections."""

    def __init__(self):
        self._idle_connections = {}
        # When each incarnation was last sent a request that it answered, on a
        # verified connection. Received bytes alone do not tell when they were
        # sent: this process or the network may have held them up.
        self._answered_since = {}
        # Attempts that an endpoint refused, oldest first.
        self._refused = collections.OrderedDict()
        self.connections_opened = 0

    async def connect(
        self, runner, request, repeatable, verify_incarnation=False
    ):
        """Return a connection for one request.

        Raises EndpointUnreachableError if no connection could be opened, and
        EndpointReplacedError if the process that responds there is not the
        incarnation to be verified.
        """
        conn = None
        # An endpoint may write a refusal once more on a connection that was
        # used before. It would answer an attempt of the same name.
        if _encode_attempt(request) not in self._refused:
            conn = self._take_idle(runner, repeatable)
        if conn is None:
            conn = await self._open(runner)
        if verify_incarnation and not conn.verified:
            await self._verify(runner, conn)
        return conn

    def send(self, runner, conn, request, workspace, remaining_s):
        """Send a request on a connection and return its RunnerCall."""
        call = RunnerCall(self, runner, conn, _encode_attempt(request))
        conn.send_request(
            request.method,
            request.target,
            _encode_headers(runner, request, workspace, remaining_s),
            request.body,
        )
        return call

    async def _open(self, runner):
        self.connections_opened += 1
        conn = await http_connection.open_connection(
            runner.address, CONNECT_TIMEOUT_S
        )
        since = self._answered_since.get(runner.incarnation, -math.inf)
        conn.verified = clock.now_s() - since < SAME_PROCESS_S
        return conn

    async def _verify(self, runner, conn):
        """Check that a connection leads to the process of an incarnation.

        Whatever answers on a connection is one process, so what it says of
        its start holds for the next request, too.
        """
        sent_at = clock.now_s()
        try:
            conn.send_request(
                'GET', REPORT_PATH, [('host', runner.address)], b''
            )
            report = await http_connection.read_response(
                conn, REPORT_TIMEOUT_S, http_connection.MAX_REPORT_BYTES
            )
        except (exceptions.EndpointBrokenError, TimeoutError) as error:
            conn.abort()
            raise exceptions.EndpointUnreachableError(
                f'no report of the endpoint: {error!r}'
            ) from error
        except BaseException:
            conn.abort()
            raise
        started_at_ms = documents.read_start(report.body)
        if started_at_ms is None and runner.started_at_ms:
            conn.abort()
            raise exceptions.EndpointUnreachableError(
                'the report of the endpoint does not tell its start'
            )
        if started_at_ms not in (None, runner.started_at_ms):
            conn.abort()
            raise exceptions.EndpointReplacedError(
                f'{runner.id} started again at {started_at_ms}'
            )
        if not conn.finish():
            conn.close()
            raise exceptions.EndpointUnreachableError(
                'the endpoint closes after its report'
            )
        conn.verified = True
        self.record_answered(runner, conn, sent_at)

    async def check(self, runner, verify_incarnation=False):
        """Connect to an endpoint and keep the connection for a request.

        Raises the same errors as connect().
        """
        conn = await self._open(runner)
        if verify_incarnation:
            await self._verify(runner, conn)
        self.release(runner, conn)

    def record_answered(self, runner, conn, sent_at):
        """Record that an endpoint answered a request on a connection."""
        if conn.verified:
            since = self._answered_since.get(runner.incarnation, sent_at)
            self._answered_since[runner.incarnation] = max(since, sent_at)

    def record_refused(self, attempt):
        """Record that an endpoint refused an attempt."""
        self._refused[attempt] = None
        self._refused.move_to_end(attempt)
        if len(self._refused) > MAX_REFUSED_ATTEMPTS:
            self._refused.popitem(last=False)

    def release(self, runner, conn):
        """Return a connection to the pool, or close it if the pool is full."""
        conn.idle_since = clock.now_s()
        idle = self._idle_connections.setdefault(runner.incarnation, [])
        if len(idle) < MAX_IDLE_PER_RUNNER:
            idle.append(conn)
        else:
            conn.close()

    def close_idle_connections(self, runner):
        """Close the idle connections to an endpoint that was removed."""
        self._answered_since.pop(runner.incarnation, None)
        for conn in self._idle_connections.pop(runner.incarnation, ()):
            conn.close()

    def close_expired(self):
        """Close the connections whose idle timeout has expired."""
        now = clock.now_s()
        for key, idle in list(self._idle_connections.items()):
            kept = [conn for conn in idle if _remaining_idle_s(conn, now) > 0]
            for conn in idle:
                if conn not in kept:
                    conn.close()
            self._idle_connections[key] = kept

    def _take_idle(self, runner, repeatable):
        now = clock.now_s()
        idle = self._idle_connections.get(runner.incarnation, [])
        while idle:
            conn = idle.pop()
            if not conn.reusable or _remaining_idle_s(conn, now) <= 0:
                conn.close()
                continue
            if repeatable or now - conn.idle_since < MAX_UNREPEATABLE_IDLE_S:
                return conn
            # Connections are taken newest first: all others are older.
            idle.append(conn)
            return None
        return None


def _encode_attempt(request):
    """Return the name of an attempt; it is echoed byte by byte."""
    return request.attempt.encode('latin-1')


def _remaining_idle_s(conn, now):
    limit = conn.idle_limit_s
    if limit is None:
        limit = DEFAULT_IDLE_LIMIT_S
    return conn.idle_since + limit - now


def _encode_headers(runner, request, workspace, remaining_s):
    headers = [(b'host', request.host.encode())]
    headers += request.headers
    headers += [
        (names.DEADLINE, str(max(int(remaining_s * 1000), 1)).encode()),
        (names.EXPECT_INSTANCE, runner.id.encode()),
    ]
    if workspace is not None:
        headers.append((names.WORKSPACE, workspace.name.encode()))
    if request.last_event_id is not None:
        value = str(request.last_event_id).encode()
        headers.append((names.LAST_EVENT_ID, value))
    if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
        size = str(len(request.body)).encode()
        headers.append((b'content-length', size))
    return headers


def _select_forwarded(headers):
    """Return the headers of a response that do not concern its connection.

    A length beside chunks does not hold, so the caller must not get it.
    """
    chunked = any(name == b'transfer-encoding' for name, _ in headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in names.CONNECTION_HEADERS
        and not (chunked and name == b'content-length')
    )


def _read_retry_after(status, headers):
    """Return the pause in seconds that a 503 asks for, or None."""
    if status != STATUS_UNAVAILABLE or names.RETRY_AFTER not in headers:
        return None
    try:
        seconds = float(headers[names.RETRY_AFTER])
    except ValueError:
        return None
    # Rules out NaN, which compares false with everything.
    return min(seconds, MAX_RETRY_AFTER_S) if seconds > 0 else None


def _read_limit(headers):
    """Return the named limit; infinity for none, None if unreadable."""
    if names.SERVER_LIMIT not in headers:
        return pacing.UNLIMITED
    return pacing.read_rate(headers[names.SERVER_LIMIT])


def _read_content_type(headers):
    if headers.get(b'content-encoding', IDENTITY).lower() != IDENTITY:
        # Events cannot be found in an encoded body.
        return ENCODED_TYPE
    value = headers.get(b'content-type')
    return None if value is None else value.strip().lower()


def _read_load(value):
    if value is None:
        return None
    figures = value.split(b',')
    if len(figures) not in (3, 4) or not all(map(_FIGURE.fullmatch, figures)):
        return None
    return model.RunnerLoad(*(int(figure) for figure in figures))
