"""Send requests to endpoints by the platform's published protocol."""

from __future__ import annotations

import re

import h11

from persimmonroute import clock
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import model
from persimmonroute.platform import connection
from persimmonroute.platform import names

CONNECT_TIMEOUT_S = 0.35
# Idle connections are given up this long before the endpoint's timeout.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_LIMIT_S = 4.0
# A request that must not run twice only goes out on a connection that
# was idle for less, as a reset would leave its fate unknown.
MAX_UNREPEATABLE_IDLE_S = 0.5
IDLE_PER_RUNNER = 24
STATUS_MISDIRECTED = 421
_TIMEOUT = re.compile(rb'timeout=(\d+)')


class RunnerCall(forwarding.EndpointCall):
    """Hold one attempt at an endpoint from its sending to its end."""

    def __init__(self, pool, runner, conn, attempt):
        self._pool = pool
        self._runner = runner
        self._conn = conn
        self._attempt = attempt
        self._keep = True
        self._ended = False

    async def head(self):
        """Return the AnswerHead of this attempt.

        Raises EndpointBrokenError when the connection ends before.
        """
        while True:
            event = await self._conn.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            headers = dict(event.headers)
            echoed = headers.get(names.ATTEMPT_ID)
            if echoed is None or echoed == self._attempt:
                return self._read_head(event, headers)
            await self._skip_body()
            self._conn.skip_duplicate_response()

    async def next_data(self):
        """Return the next bytes of the body, or None at its end."""
        while True:
            event = await self._conn.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._finish()
                return None

    def abandon(self):
        """Give the attempt up; endpoints then stop working on it."""
        if not self._ended:
            self._ended = True
            self._conn.abort()

    def _read_head(self, event, headers):
        close = b'close' in headers.get(b'connection', b'').lower()
        self._keep = not close
        found = _TIMEOUT.search(headers.get(names.KEEP_ALIVE, b''))
        if found:
            self._conn.idle_limit_s = int(found.group(1)) - IDLE_MARGIN_S
        return model.AnswerHead(
            status=event.status_code,
            headers=tuple(
                (name, value)
                for name, value in event.headers
                if name not in names.CONNECTION_HEADERS
            ),
            not_run=names.NOT_EXECUTED in headers
            or event.status_code == STATUS_MISDIRECTED,
            misdirected=event.status_code == STATUS_MISDIRECTED,
            load=_read_load(headers.get(names.RUNNER_LOAD)),
        )

    async def _skip_body(self):
        while True:
            event = await self._conn.next_event()
            if isinstance(event, h11.EndOfMessage):
                return

    def _finish(self):
        self._ended = True
        if self._keep and self._conn.finish():
            self._pool.release(self._runner, self._conn)
        else:
            self._conn.close()


class RunnerClient:
    """Keep connections to endpoints and send requests on them."""

    def __init__(self):
        self._idle = {}
        self.connections_opened = 0

    async def send(self, runner, request, workspace, left_s, repeatable):
        """Send a request and return its RunnerCall.

        Raises EndpointUnreachableError when nothing was sent.
        """
        conn = self._take_idle(runner, repeatable)
        if conn is None:
            self.connections_opened += 1
            conn = await connection.open_connection(
                runner.address, CONNECT_TIMEOUT_S
            )
        call = RunnerCall(self, runner, conn, request.attempt.encode())
        conn.send_request(
            request.method,
            request.target,
            _encode_headers(runner, request, workspace, left_s),
            request.body,
        )
        return call

    def release(self, runner, conn):
        """Keep an idle connection for the next request."""
        conn.idle_since = clock.now_s()
        idle = self._idle.setdefault((runner.id, runner.started_at_ms), [])
        if len(idle) < IDLE_PER_RUNNER:
            idle.append(conn)
        else:
            conn.close()

    def close_idle_connections(self, runner):
        """Close the idle connections to an endpoint that is gone."""
        for conn in self._idle.pop((runner.id, runner.started_at_ms), ()):
            conn.close()

    def close_expired(self):
        """Close connections that were idle for too long."""
        now = clock.now_s()
        for key, idle in list(self._idle.items()):
            kept = [conn for conn in idle if _age_left_s(conn, now) > 0]
            for conn in idle:
                if conn not in kept:
                    conn.close()
            self._idle[key] = kept

    def _take_idle(self, runner, repeatable):
        now = clock.now_s()
        idle = self._idle.get((runner.id, runner.started_at_ms), [])
        while idle:
            conn = idle.pop()
            if not conn.reusable or _age_left_s(conn, now) <= 0:
                conn.close()
                continue
            if repeatable or now - conn.idle_since < MAX_UNREPEATABLE_IDLE_S:
                return conn
            # The newest comes first, so that all others are older.
            idle.append(conn)
            return None
        return None


def _age_left_s(conn, now):
    limit = conn.idle_limit_s
    if limit is None:
        limit = DEFAULT_IDLE_LIMIT_S
    return conn.idle_since + limit - now


def _encode_headers(runner, request, workspace, left_s):
    headers = [(b'host', request.host.encode())]
    headers += request.headers
    headers += [
        (names.DEADLINE, str(max(int(left_s * 1000), 1)).encode()),
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


def _read_load(value):
    try:
        running, waiting, slots = (int(part) for part in value.split(b','))
    except (AttributeError, ValueError):
        return None
    return model.RunnerLoad(running, waiting, slots)
