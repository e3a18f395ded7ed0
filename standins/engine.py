"""Serve a model engine stand-in.

Usage: engine --address ADDRESS [options]

Options:
  --address ADDRESS   Address to serve, as IP:port.
  --prefill TOKENS    Prefill speed in tokens per second [default: 20000].
  --step SECONDS      Base time of a decode step [default: 0.008].
  --request SECONDS   Step time for each request [default: 0.0005].
  --cache BLOCKS      Blocks in the prefix cache [default: 2000].
  --crash-on TEXT     Crash on a prompt that contains this text.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os

import docopt
from starlette import applications
from starlette import responses
from starlette import routing

from persimmonroute.entry import intake
from standins import engine_model
from standins import serving
from standins import windows

CRASH_EXIT_STATUS = 70


class StreamBuffer:
    """Buffer one stream so that it can be read more than once."""

    def __init__(self):
        self.data = bytearray()
        self.closed = False
        self._changed = asyncio.Event()

    def append(self, data, last):
        """Append data and wake the readers."""
        self.data += data
        self.closed = self.closed or last
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def read(self):
        """Yield all data from the start until the stream is closed."""
        offset = 0
        while True:
            data = bytes(self.data[offset:])
            if data:
                offset += len(data)
                yield data
            elif self.closed:
                return
            else:
                await self._changed.wait()


class EngineStandIn:
    """Serve completions from a simulated batching engine."""

    def __init__(self, speed, crash_on=None):
        self.model = engine_model.EngineModel(speed)
        self._crash_on = crash_on
        self._buffers: dict[str, StreamBuffer] = {}
        self._words: dict[str, list[str]] = {}
        # Runs by the caller's request id, or by attempt without one.
        self._runs = collections.Counter()
        self._work_available = asyncio.Event()
        self._frozen = False
        self._named_limit = windows.NamedLimit()

    def build_app(self):
        """Return the ASGI application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route('/v1/completions', self._complete, methods=['POST']),
                route(
                    '/v1/chat/completions', self._complete, methods=['POST']
                ),
                route('/v1/streams', self._list_streams),
                route('/v1/streams/{attempt}', self._resume),
                route(
                    '/v1/streams/{attempt}/cancel',
                    self._cancel,
                    methods=['POST'],
                ),
                route('/health', self._health),
                route('/load', self._load),
                route('/control', self._control, methods=['POST']),
                route('/control/counts', self._counts),
            ]
        )

    async def run(self):
        """Step the engine whenever requests are in progress."""
        while True:
            if self._frozen or not self.model.in_progress:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            seconds, tokens = self.model.step()
            await asyncio.sleep(seconds)
            for token in tokens:
                self._emit(token)

    async def _complete(self, request):
        document = json.loads(await request.body())
        prompt = intake.extract_prompt(document)
        if self._crash_on and self._crash_on in prompt:
            os._exit(CRASH_EXIT_STATUS)
        attempt = request.headers['x-request-id']
        count = document.get('max_tokens', intake.DEFAULT_OUTPUT_TOKENS)
        self._runs[document.get('user', attempt)] += 1
        self._named_limit.record_arrival()
        buffer = StreamBuffer()
        self._buffers[attempt] = buffer
        self._words[attempt] = engine_model.response_words(prompt, count)
        self.model.submit(
            attempt,
            intake.hash_blocks(prompt),
            intake.estimate_tokens(prompt),
            count,
        )
        self._work_available.set()
        if document.get('stream') is True:
            return _stream_response(buffer, self._named_limit.headers)
        return await self._collect(buffer, attempt, count)

    async def _collect(self, buffer, attempt, count):
        async for _ in buffer.read():
            pass
        text = ''.join(self._words[attempt])
        return responses.JSONResponse(
            {
                'object': 'text_completion',
                'choices': [
                    {'index': 0, 'text': text, 'finish_reason': 'length'}
                ],
                'usage': {'completion_tokens': count},
            },
            headers=self._named_limit.headers,
        )

    def _emit(self, token):
        buffer = self._buffers.get(token.request_id)
        if buffer is None:
            return
        chunk = {
            'choices': [
                {
                    'index': 0,
                    'text': self._words[token.request_id][token.index],
                    'finish_reason': 'length' if token.last else None,
                }
            ]
        }
        data = f'data: {json.dumps(chunk)}\n\n'
        if token.last:
            data += 'data: [DONE]\n\n'
        buffer.append(data.encode(), token.last)

    async def _list_streams(self, request):
        return responses.JSONResponse({'streams': sorted(self._buffers)})

    async def _resume(self, request):
        buffer = self._buffers.get(request.path_params['attempt'])
        if buffer is None:
            return responses.JSONResponse({'error': 'no such stream'}, 404)
        return _stream_response(buffer, self._named_limit.headers)

    async def _cancel(self, request):
        attempt = request.path_params['attempt']
        self.model.cancel(attempt)
        buffer = self._buffers.get(attempt)
        if buffer is not None:
            buffer.append(b'', True)
        return responses.JSONResponse({})

    async def _health(self, request):
        return responses.PlainTextResponse('ok')

    async def _load(self, request):
        return responses.JSONResponse({'in_progress': self.model.in_progress})

    async def _control(self, request):
        change = await request.json()
        self.model.slowdown = change.get('slowdown', self.model.slowdown)
        self._frozen = change.get('frozen', self._frozen)
        self._named_limit.apply(change)
        serving.fall_silent(change)
        self._work_available.set()
        return responses.JSONResponse({})

    async def _counts(self, request):
        return responses.JSONResponse(
            {
                'runs': dict(self._runs),
                'prefilled_tokens': self.model.prefilled_tokens,
                'wasted_tokens': self.model.wasted_tokens,
                'most_in_window': self._named_limit.most_in_window(),
            }
        )


def _stream_response(buffer, headers):
    return responses.StreamingResponse(
        buffer.read(), headers=headers, media_type='text/event-stream'
    )


def main():
    """Run the engine stand-in."""
    arguments = docopt.docopt(__doc__)
    speed = engine_model.EngineSpeed(
        float(arguments['--prefill']),
        float(arguments['--step']),
        float(arguments['--request']),
        int(arguments['--cache']),
    )
    engine = EngineStandIn(speed, arguments['--crash-on'])
    serving.serve(engine.build_app(), arguments['--address'], [engine.run()])


if __name__ == '__main__':
    main()
