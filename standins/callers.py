"""Stand in for callers: send requests and check each answer by content."""

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
OUTCOME_MARK = b': persimmon-outcome '
# An answer that differs from the one that belongs to the request.
WRONG = 'wrong'
# The connection to the entry ended without a final answer.
LOST = 'lost'


class PlannedCall(typing.NamedTuple):
    """Describe one request before it is sent."""

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
    """Return a streamed completion with a prompt of its own."""
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
    """Hold what a caller saw of one request; times in seconds."""

    call: PlannedCall
    outcome: str
    status: int
    first_s: float
    total_s: float
    gap_s: float
    retry_after_s: float | None
    problem: str


class Caller:
    """Send requests to entries and judge the answers."""

    def __init__(self):
        self._client = aiosonic.HTTPClient()

    async def close(self):
        """Close all connections."""
        await self._client.aclose()

    async def send(self, entry, call, on_first=None):
        """Send one request and return its CallResult.

        on_first is called when the first part of the answer came.
        """
        began = time.monotonic()
        try:
            return await self._send(entry, call, began, on_first)
        except client.HTTP_ERRORS as error:
            spent = time.monotonic() - began
            return CallResult(
                call, LOST, 0, spent, spent, 0.0, None, repr(error)
            )

    async def _send(self, entry, call, began, on_first):
        path = f'/services/{call.service}{call.path}'
        response = await self._client.request(
            f'http://{entry}{path if call.plain else call.path}',
            method=call.method,
            headers=_headers(call),
            data=call.body,
            timeouts=CALL_TIMEOUTS,
            stream=True,
        )
        first = None
        parts = []
        async for part in response.read_chunks():
            if first is None:
                first = time.monotonic()
                if on_first is not None:
                    on_first()
            parts.append(part)
        ended = time.monotonic()
        first = first or ended
        outcome, problem = _judge(call, response, b''.join(parts))
        retry_after = response.headers.get('retry-after')
        steps = max(call.output_tokens - 1, 1)
        return CallResult(
            call,
            outcome,
            response.status_code,
            first - began,
            ended - began,
            (ended - first) / steps,
            float(retry_after) if retry_after else None,
            problem,
        )


async def wait_until(probe, timeout_s, period_s=0.05):
    """Wait for a coroutine function to return true."""
    deadline = time.monotonic() + timeout_s
    while not await probe():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{probe} is still false')
        await asyncio.sleep(period_s)


def _headers(call):
    # A fresh connection for each request, since the client library does
    # not notice that a server has closed an idle one.
    return {
        'Connection': 'close',
        'Content-Type': 'application/json',
        'Persimmon-Workspace': call.workspace,
        'Persimmon-Class': call.class_name,
        'Idempotency-Key': call.request_id,
        # Read by engines when they are called without an entry.
        'X-Request-Id': call.request_id,
    }


def _judge(call, response, body):
    outcome = response.headers.get('persimmon-outcome', '')
    if not outcome:
        outcome, body = _stream_outcome(body)
    if outcome != 'completed':
        return outcome or LOST, body[-300:].decode(errors='replace')
    if call.plain:
        problem = _check_receipt(call, body)
    else:
        problem = _check_words(call, body)
    return (WRONG, problem) if problem else (outcome, '')


def _stream_outcome(body):
    at = body.rfind(OUTCOME_MARK)
    if at < 0:
        return '', body
    fields = json.loads(body[at + len(OUTCOME_MARK) :])
    return fields['outcome'], body[:at]


def _check_receipt(call, body):
    wanted = xxhash.xxh3_64_hexdigest(call.body)
    found = json.loads(body)
    if found['receipt'] != wanted or found['id'] != call.request_id:
        return f'receipt {found} is not the one of this call'
    return ''


def _check_words(call, body):
    words = engine_model.answer_words(call.prompt, call.output_tokens)
    wanted = ''.join(words)
    if call.stream:
        lines = [
            line[len('data: ') :]
            for line in body.decode().split('\n')
            if line.startswith('data: ')
        ]
        if not lines or lines[-1] != '[DONE]':
            return 'the stream has no end'
        found = ''.join(
            json.loads(line)['choices'][0]['text'] for line in lines[:-1]
        )
    else:
        found = json.loads(body)['choices'][0]['text']
    return '' if found == wanted else 'the text is not that of this call'
