"""Test the HTTP API of an entry with a stub of its shell."""

from __future__ import annotations

import asyncio
import json
import types
import unittest

from persimmonroute import draining
from persimmonroute.entry import http_api
from persimmonroute.entry import messages
from persimmonroute.entry.messages import Outcome
from persimmonroute import exceptions

HEADERS = {
    'Persimmon-Workspace': 'desk',
    'Persimmon-Class': 'drafts',
    'Idempotency-Key': 'k1',
}
EVENT = b'data: {"a": 1}\n\n'


class StubShell:
    """Respond to every request with the same items."""

    def __init__(self, items):
        self._items = items
        self.calls = []
        self.core = self
        self.board = types.SimpleNamespace(
            stopping=False, open_requests=draining.OpenRequests()
        )

    def validate_call(self, call):
        """Return the class of a call."""
        return types.SimpleNamespace(service='orders')

    def submit(self, call, queue):
        """Put the response to a request into a queue."""
        self.calls.append(call)
        for data in self._items:
            if isinstance(data, bytes):
                queue.put_nowait(messages.ResponseData(call.request_id, data))
            else:
                queue.put_nowait(
                    messages.ResponseEnded(call.request_id, data, 502)
                )

    def disconnect(self, request_id):
        """Do nothing."""


class StreamTests(unittest.IsolatedAsyncioTestCase):
    """Send streamed requests to the ASGI application."""

    async def _call(self, *items):
        """Return the body and whether it was ended as complete."""
        sent = []
        body = json.dumps({'prompt': 'x', 'stream': True}).encode()
        received = asyncio.Queue()
        received.put_nowait({'type': 'http.request', 'body': body})

        async def send(message):
            sent.append(message)

        app = http_api.HttpApi(StubShell(items)).build_app()
        scope = {
            'type': 'http',
            'method': 'POST',
            'path': '/v1/completions',
            'raw_path': b'/v1/completions',
            'query_string': b'',
            'asgi': {'spec_version': '2.4'},
            'headers': _encode(HEADERS),
        }
        broken_off = False
        try:
            await app(scope, received.get, send)
        except exceptions.ResponseIncompleteError:
            broken_off = True
        bodies = [m for m in sent if m['type'] == 'http.response.body']
        complete = not bodies[-1].get('more_body', False)
        self.assertNotEqual(complete, broken_off)
        return b''.join(m['body'] for m in bodies), complete

    async def test_stream_that_broke_off_does_not_look_complete(self):
        """Only whole events arrive, and the body is never ended."""
        body, complete = await self._call(EVENT, b'data: {"b', Outcome.UNKNOWN)
        self.assertFalse(complete)
        self.assertTrue(body.startswith(EVENT + b'data: {"error"'))
        self.assertNotIn(b'{"b', body)
        self.assertIn(b': persimmon-outcome {"outcome": "unknown"', body)

    async def test_whole_stream_is_ended_with_its_outcome(self):
        """A whole stream arrives whole, in however many chunks."""
        body, complete = await self._call(
            EVENT[:5], EVENT[5:], b': done\n', Outcome.COMPLETED
        )
        self.assertTrue(complete)
        self.assertTrue(body.startswith(EVENT + b': done\n'))
        self.assertIn(b': persimmon-outcome {"outcome": "completed"', body)


class ServiceCallTests(unittest.IsolatedAsyncioTestCase):
    """Send calls of plain services to the ASGI application."""

    async def test_path_reaches_the_service_as_it_was_sent(self):
        """Encoded slashes and spaces of a path stay encoded."""
        shell = StubShell((b'{}', Outcome.COMPLETED))
        received = asyncio.Queue()
        received.put_nowait({'type': 'http.request', 'body': b''})

        async def send(message):
            del message

        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/services/orders/a/b c',
            'raw_path': b'/services/orders/a%2Fb%20c',
            'query_string': b'q=%20',
            'headers': _encode(HEADERS),
        }
        app = http_api.HttpApi(shell).build_app()
        await app(scope, received.get, send)
        self.assertEqual(shell.calls[0].path, '/a%2Fb%20c?q=%20')


def _encode(headers):
    return [
        (name.lower().encode(), value.encode())
        for name, value in headers.items()
    ]
