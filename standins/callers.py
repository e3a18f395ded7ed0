"""Send requests as a caller and verify the responses."""

from __future__ import annotations

import asyncio
import json
import time
import typing

import aiosonic
from aiosonic import timeout as http_timeout
import xxhash

from persimmonroute.platform import client
from standins import engine_model

CALL_TIMEOUTS = http_timeout.Timeouts(
    sock_connect=2.0, sock_read=120.0, request_timeout=180.0
)
OUTCOME_MARKER = b': persimmon-outcome '
# Raised by aiosonic where a body that has begun breaks off.
BROKEN_OFF_ERRORS = (
    *client.HTTP_ERRORS,
    asyncio.IncompleteReadError,
)
# The response is not the one expected for the request.
WRONG = 'wrong'
# The connection to the entry closed without a final response.
LOST = 'lost'


class PlannedCall(typing.NamedTuple):
    """Describe a request and the data that verifies its response."""

    request_id: str
    workspace: str
    class_name: str
    service: str
    plain: bool
    method: str
    path: str
    body: bytes
    stream: bool
    prompt: str
    output_tokens: int


def plan_completion(name, workspace, class_name, service, tokens):
    """Return a streamed completion with a unique prompt."""
    prompt = f'draft {name}'
    body = {
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
        'user': name,
    }
    return PlannedCall(
        name,
        workspace,
        class_name,
        service,
        False,
        'POST',
        '/v1/completions',
        json.dumps(body).encode(),
        True,
        prompt,
        tokens,
    )


class CallResult(typing.NamedTuple):
    """Record the result of one request as seen by its caller.

    gap_s is the mean time between tokens after the first.
    """

    call: PlannedCall
    outcome: str
    status: int
    first_s: float
    total_s: float
    gap_s: float
    retry_after_s: float | None
    problem: str
    # True if the response ended as HTTP requires.
    complete: bool


class Caller:
    """Send requests to entries and verify the responses."""

    def __init__(self):
        self._client = aiosonic.HTTPClient()

    async def close(self):
        """Close all connections."""
        await self._client.aclose()

    async def send(self, entry, call, on_first=None):
        """Send one request and return its CallResult.

        on_first is called when the first part of the response arrives.
        """
        started_at = time.monotonic()
        try:
            return await self._send(entry, call, started_at, on_first)
        except client.HTTP_ERRORS as error:
            elapsed_s = time.monotonic() - started_at
            return CallResult(
                call,
                LOST,
                0,
                elapsed_s,
                elapsed_s,
                0.0,
                None,
                repr(error),
                False,
            )

    async def _send(self, entry, call, started_at, on_first):
        path = f'/services/{call.service}{call.path}'
        response = await self._client.request(
            f'http://{entry}{path if call.plain else call.path}',
            method=call.method,
            headers=_headers(call),
            data=call.body,
            timeouts=CALL_TIMEOUTS,
            stream=True,
        )
        first_at = None
        parts = []
        complete = True
        try:
            async for part in response.read_chunks():
                if first_at is None:
                    first_at = time.monotonic()
                    if on_first is not None:
                        on_first()
                parts.append(part)
        except BROKEN_OFF_ERRORS:
            complete = False
        ended_at = time.monotonic()
        first_at = first_at or ended_at
        outcome, problem = _evaluate(call, response, b''.join(parts))
        if outcome == 'completed' and not complete:
            outcome, problem = LOST, 'the response broke off'
        retry_after = response.headers.get('retry-after')
        steps = max(call.output_tokens - 1, 1)
        return CallResult(
            call,
            outcome,
            response.status_code,
            first_at - started_at,
            ended_at - started_at,
            (ended_at - first_at) / steps,
            float(retry_after) if retry_after else None,
            problem,
            complete,
        )


async def wait_until(probe, timeout_s, period_s=0.05):
    """Poll a coroutine function until it returns true."""
    deadline = time.monotonic() + timeout_s
    while not await probe():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{probe} did not become true in time')
        await asyncio.sleep(period_s)


def _headers(call):
    # Close after each request: the client library does not detect idle
    # connections that the server has closed.
    return {
        'Connection': 'close',
        'Content-Type': 'application/json',
        'Persimmon-Workspace': call.workspace,
        'Persimmon-Class': call.class_name,
        'Idempotency-Key': call.request_id,
        # Engines need it when called without an entry.
        'X-Request-Id': call.request_id,
    }


def _evaluate(call, response, body):
    outcome = response.headers.get('persimmon-outcome', '')
    if not outcome:
        outcome, body = _split_stream_outcome(body)
    if outcome != 'completed':
        return outcome or LOST, body[-300:].decode(errors='replace')
    if call.plain:
        problem = _check_receipt(call, body)
    else:
        problem = _check_words(call, body)
    return (WRONG, problem) if problem else (outcome, '')


def _split_stream_outcome(body):
    at = body.rfind(OUTCOME_MARKER)
    if at < 0:
        return '', body
    fields = json.loads(body[at + len(OUTCOME_MARKER) :])
    return fields['outcome'], body[:at]


def _check_receipt(call, body):
    expected = xxhash.xxh3_64_hexdigest(call.body)
    found = json.loads(body)
    if found['receipt'] != expected or found['id'] != call.request_id:
        return f'receipt {found} does not match the request'
    return ''


def _check_words(call, body):
    words = engine_model.response_words(call.prompt, call.output_tokens)
    expected = ''.join(words)
    if call.stream:
        lines = [
            line[len('data: ') :]
            for line in body.decode().split('\n')
            if line.startswith('data: ')
        ]
        if not lines or lines[-1] != '[DONE]':
            return 'the stream has no [DONE] event'
        found = ''.join(
            json.loads(line)['choices'][0]['text'] for line in lines[:-1]
        )
    else:
        found = json.loads(body)['choices'][0]['text']
    return '' if found == expected else 'text differs from the expected one'
