"""Accept callers' HTTP requests as an ASGI application."""

from __future__ import annotations

import asyncio
import json
import math
import uuid

from persimmonroute import caller_account
from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import model
from persimmonroute.gateway import unread_response
from persimmonroute import logs
from persimmonroute.platform import names

log = logs.EventLog(__name__)

# Bytes over the body limit that are read and discarded, because many clients
# read the response only after they have sent the complete body.
MAX_DISCARDED_BYTES = 1_048_576
TOO_LARGE = object()
NO_MEMORY = object()
# Larger values of callers are taken for these, so that they fit into messages
# between gateways.
MAX_TOKENS = 1_000_000_000
MAX_REMAINING_S = 86_400.0
# int() refuses texts of many digits.
MAX_DIGITS = 18


class IngressApp:
    """Serve callers' requests with a forwarder."""

    def __init__(self, board, forwarder):
        self._board = board
        self._forwarder = forwarder

    async def __call__(self, scope, receive, send):
        """Serve one HTTP request."""
        caller = AsgiCaller(scope, send, self._board)
        limits = model.Limits()
        if self._board.route_table is not None:
            limits = self._board.route_table.configuration.limits
        rejection = _check_head(scope, limits)
        if rejection is not None:
            await caller.reject(rejection)
            return
        held = caller_account.find_holding(scope)
        await self._serve_body(scope, caller, receive, limits, held)

    async def _serve_body(self, scope, caller, receive, limits, held):
        """Serve a request; held counts its body until the request ends."""
        try:
            body = await self._read_body(receive, limits.body_bytes, held)
        except TimeoutError:
            log.emit(Event.REQUEST_ENDED_BY_STOP, may_have_run=False)
            await caller.reject(model.STOPPING)
            return
        if body is None:
            return
        if body is TOO_LARGE:
            await caller.reject(model.Rejection(413, 'body is too large'))
            return
        if body is NO_MEMORY:
            # The server discards the rest of the body.
            request = read_request(scope, b'')
            caller.attempt = request.attempt.encode('latin-1')
            await self._forwarder.reject(
                request.attempt, caller, model.NO_MEMORY
            )
            return
        request = read_request(scope, body)
        caller.attempt = request.attempt.encode('latin-1')
        await self._serve(request, caller, receive)

    async def _read_body(self, receive, max_bytes, held):
        """Read a body, or raise TimeoutError at the end of a stop."""
        async with asyncio.timeout(None) as limit:
            with self._board.open_requests.hold(limit):
                return await _read_body(receive, max_bytes, held)

    async def _serve(self, request, caller, receive):
        serving = asyncio.ensure_future(self._forward(request, caller))
        watching = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (serving, watching), return_when=asyncio.FIRST_COMPLETED
            )
            if not serving.done() and not caller.response_complete:
                log.emit(Event.CALLER_GONE, request=request.attempt)
                serving.cancel()
            await asyncio.wait((serving,))
            if not serving.cancelled() and serving.exception() is not None:
                await self._report_fault(request, caller, serving.exception())
        finally:
            watching.cancel()
            serving.cancel()
            caller.close()

    async def _forward(self, request, caller):
        await self._forwarder.serve(request, caller)
        # A response that broke off ends after what has arrived of it.
        await caller.flush()

    async def _report_fault(self, request, caller, error):
        log.emit(
            Event.GATEWAY_FAULT, request=request.attempt, problem=repr(error)
        )
        if caller.response_started:
            # The server closes the connection only after an error.
            raise error
        await caller.reject(model.Rejection(502, 'unexpected error'))


class AsgiCaller(forwarding.Caller):
    """Send the response to a caller as ASGI messages."""

    def __init__(self, scope, send, board):
        self._send = send
        self._board = board
        self._method = scope['method']
        self._scope = scope
        # Servers without an account wait for the caller in _send.
        self._is_behind = scope.get('state', {}).get('is_behind', _is_never)
        # Created for a caller that falls behind.
        self._unread = None
        self.attempt = None
        self.response_started = False
        self.response_complete = False

    @property
    def behind(self):
        """Return whether data would wait for the caller to read."""
        unread = self._unread
        if unread is not None and unread.pending:
            return True
        return self._is_behind()

    async def begin(self, status, headers):
        """Send the status and headers of the response."""
        self.response_started = True
        headers = list(headers)
        if self._board.draining:
            headers.append((b'connection', b'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send(self, data):
        """Send a chunk of the response body, or keep it for later."""
        if self.behind:
            if self._unread is None:
                self._unread = self._build_unread()
            await self._unread.add(data)
        else:
            await self._send_body(data)

    async def flush(self):
        """Wait until the caller has got what was sent."""
        if self._unread is not None:
            await self._unread.flush()

    def close(self):
        """Drop what was not written to a caller that is gone."""
        if self._unread is not None:
            self._unread.close()

    def _build_unread(self):
        return unread_response.UnreadResponse(
            self._send_body,
            self._board.slow_readers,
            caller_account.find_holding(self._scope),
            self.attempt and self.attempt.decode('latin-1'),
        )

    async def _send_body(self, data):
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self):
        """End a complete response."""
        await self.flush()
        self.response_complete = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def reject(self, rejection):
        """Send a response that the gateway itself generates."""
        body = json.dumps({'error': rejection.reason}).encode()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
        ]
        if self.attempt is not None:
            headers.append((names.ATTEMPT_ID, self.attempt))
        if rejection.retry_after_s is not None:
            value = f'{rejection.retry_after_s:.3f}'.encode()
            headers.append((names.RETRY_AFTER, value))
        await self.begin(rejection.status, headers)
        if self._method != 'HEAD':
            await self.send(body)
        await self.finish()

    def abort(self):
        """Leave the response incomplete; the server closes the connection."""


def _is_never():
    return False


def read_request(scope, body):
    """Build a Request from an ASGI scope and the request body."""
    headers = scope['headers']
    header_values = dict(headers)
    connection_options = (
        header_values.get(b'connection', b'').lower().split(b',')
    )
    connection_headers = {name.strip() for name in connection_options}
    prompt, output, states_tokens = _read_usage(
        header_values.get(names.TOKEN_USAGE)
    )
    target = scope['raw_path'].decode('ascii')
    path = target
    if scope['query_string']:
        target += '?' + scope['query_string'].decode('ascii')
    last_event_id = header_values.get(names.LAST_EVENT_ID, b'')
    resumes = header_values.get(names.RESUMES)
    return model.Request(
        attempt=header_values.get(
            names.ATTEMPT_ID, uuid.uuid4().hex.encode()
        ).decode('latin-1'),
        method=scope['method'],
        host=_read_host(header_values.get(b'host', b'')),
        path=path,
        target=target,
        headers=tuple(
            (name, value)
            for name, value in headers
            if name not in names.CONNECTION_HEADERS
            and name not in names.SYSTEM_HEADERS
            and name not in (b'host', names.LAST_EVENT_ID)
            and name not in connection_headers
        ),
        body=body,
        key=_read_key(header_values.get(names.AUTHORIZATION, b'')),
        remaining_s=_read_deadline(header_values.get(names.DEADLINE)),
        prompt_tokens=prompt,
        output_tokens=output,
        states_tokens=states_tokens,
        prompt=_read_prompt(header_values.get(names.PROMPT_PREFIX, b'')),
        last_event_id=_read_digits(last_event_id),
        resumes=None if resumes is None else resumes.decode('latin-1'),
        output_hint=_read_digits(header_values.get(names.LENGTH_HINT, b''))
        or 0,
    )


def _check_head(scope, limits):
    if scope['method'] == 'CONNECT':
        return model.Rejection(501, 'tunnels are not supported')
    headers = scope['headers']
    header_names = [name for name, _ in headers]
    if (
        b'content-length' in header_names
        and b'transfer-encoding' in header_names
    ):
        # Ambiguous framing would allow request smuggling.
        return model.Rejection(400, 'both content-length and chunks')
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.header_bytes:
        return model.Rejection(431, 'headers are too large')
    return None


async def _read_body(receive, max_bytes, held):
    """Return the body, or None if the caller disconnected.

    TOO_LARGE if it is larger than allowed, NO_MEMORY if too much is held.
    """
    # Parts of some bytes each would take several times their size in memory.
    body, size = bytearray(), 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        data = message['body']
        size += len(data)
        if size <= max_bytes:
            if not held.take_body(len(data), clock.now_s()):
                return NO_MEMORY
            body += data
        elif size > max_bytes + MAX_DISCARDED_BYTES:
            return TOO_LARGE
        if not message['more_body']:
            break
    return bytes(body) if size <= max_bytes else TOO_LARGE


async def _wait_for_disconnect(receive):
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


def _read_host(value):
    host = value.decode('latin-1').lower()
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host


def _read_key(value):
    kind, _, key = value.decode('latin-1').partition(' ')
    return key.strip() if kind.lower() == 'bearer' else None


def _read_deadline(value):
    try:
        remaining_s = float(value) / 1000
    except (TypeError, ValueError):
        return None
    if math.isnan(remaining_s):
        return None
    return min(max(remaining_s, 0.0), MAX_REMAINING_S)


def _read_usage(value):
    try:
        prompt, output = (int(part) for part in value.split(b','))
    except (AttributeError, ValueError):
        return 0, 0, False
    return _bound_tokens(prompt), _bound_tokens(output), True


def _read_prompt(value):
    parts = []
    for entry in value.split(b','):
        name, _, tokens = entry.strip().partition(b':')
        if name and tokens.isdigit():
            count = _bound_tokens(int(tokens.lstrip(b'0')[:MAX_DIGITS] or 0))
            parts.append(model.PromptPart(name.decode('latin-1'), count))
    return tuple(parts)


def _read_digits(value):
    """Return a number of not too many digits, or None."""
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)


def _bound_tokens(count):
    return min(max(count, 0), MAX_TOKENS)
