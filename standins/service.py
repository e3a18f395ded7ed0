"""Serve a plain service stand-in.

Usage: service --address ADDRESS [options]

Options:
  --address ADDRESS   Address to serve, as IP:port.
  --seconds SECONDS   Time of one call [default: 0.02].
"""

from __future__ import annotations

import asyncio
import collections
import json

import docopt
from starlette import applications
from starlette import responses
from starlette import routing
import xxhash

from standins import serving
from standins import windows

METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class ServiceStandIn:
    """Respond to calls and count the runs of each."""

    def __init__(self, seconds):
        self._service_time_s = seconds
        self._runs = collections.Counter()
        self._finished = 0
        self._named_limit = windows.NamedLimit()

    def build_app(self):
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route('/health', self._health),
                routing.Route('/control', self._control, methods=['POST']),
                routing.Route('/control/counts', self._counts),
                routing.Route('/{path:path}', self._run, methods=METHODS),
            ]
        )

    async def _run(self, request):
        body = await request.body()
        call = json.loads(body or b'{}')
        self._runs[call.get('id', request.url.path)] += 1
        self._named_limit.record_arrival()
        await asyncio.sleep(self._service_time_s)
        self._finished += 1
        receipt = xxhash.xxh3_64_hexdigest(body)
        return responses.JSONResponse(
            {'id': call.get('id'), 'receipt': receipt},
            201,
            self._named_limit.headers,
        )

    async def _health(self, request):
        return responses.PlainTextResponse('ok')

    async def _control(self, request):
        change = await request.json()
        self._service_time_s = change.get('seconds', self._service_time_s)
        self._named_limit.apply(change)
        serving.fall_silent(change)
        return responses.JSONResponse({})

    async def _counts(self, request):
        return responses.JSONResponse(
            {
                'runs': dict(self._runs),
                'finished': self._finished,
                'most_in_window': self._named_limit.most_in_window(),
            }
        )


def main():
    """Run the service stand-in."""
    arguments = docopt.docopt(__doc__)
    service = ServiceStandIn(float(arguments['--seconds']))
    serving.serve(service.build_app(), arguments['--address'])


if __name__ == '__main__':
    main()
