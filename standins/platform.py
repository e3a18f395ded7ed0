"""Stand in for the platform.

Usage: platform --address ADDRESS --inventory FILE [options]

Options:
  --address ADDRESS  Address to serve, as IP:port.
  --inventory FILE   JSON file with the list of instances.
  --lag SECONDS      Lag of the list of instances [default: 2].
"""

from __future__ import annotations

import asyncio
import json
import time

import docopt
from starlette import applications
from starlette import responses
from starlette import routing

from persimmonroute import store
from standins import serving
from standins import tables

# All but the last concern the table service and the object store.
FAULTS = ('none', 'down', 'slow', 'lose_answers', 'list_down')
SLOW_S = 1.0
STATUS_DOWN = 503


class PlatformStandIn:
    """Serve tables, objects and a lagging list of instances."""

    def __init__(self, instances, lag_s):
        self._tables = tables.Tables()
        self._objects = {}
        self._lag_s = lag_s
        # States of the list with the time from which each is shown.
        self._lists = [(0.0, instances)]
        self.fault = 'none'

    def build_app(self):
        """Return the ASGI application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route('/v1/transact', self._transact, methods=['POST']),
                route('/v1/tables/{table}/rows', self._find),
                route('/v1/instances', self._list),
                route('/v1/objects/{name:path}', self._get_object),
                route(
                    '/v1/objects/{name:path}',
                    self._put_object,
                    methods=['PUT'],
                ),
                route('/control/fault', self._set_fault, methods=['POST']),
                route('/control/instances', self._set_state, methods=['POST']),
                route('/control/counts', self._counts),
            ]
        )

    async def _transact(self, request):
        body = await request.json()
        if await self._is_down():
            return _down()
        writes = [store.Write(**write) for write in body['writes']]
        committed, rows = self._tables.transact(writes)
        if self.fault == 'lose_answers':
            return _down()
        return responses.JSONResponse(
            {'rows': rows}, 200 if committed else 409
        )

    async def _find(self, request):
        if await self._is_down():
            return _down()
        table = request.path_params['table']
        if 'key' in request.query_params:
            rows = [self._tables.read(table, request.query_params['key'])]
            rows = [row for row in rows if row['version']]
        else:
            prefix = request.query_params.get('prefix', '')
            rows = self._tables.scan(table, prefix)
        return responses.JSONResponse({'rows': rows})

    async def _list(self, request):
        if self.fault == 'list_down':
            return _down()
        now = time.monotonic()
        shown = [state for since, state in self._lists if since <= now]
        return responses.JSONResponse({'instances': shown[-1]})

    async def _get_object(self, request):
        if await self._is_down():
            return _down()
        data = self._objects.get(request.path_params['name'])
        if data is None:
            return responses.JSONResponse({'error': 'no such object'}, 404)
        return responses.Response(data)

    async def _put_object(self, request):
        data = await request.body()
        if await self._is_down():
            return _down()
        self._objects[request.path_params['name']] = data
        return responses.JSONResponse({})

    async def _set_fault(self, request):
        fault = (await request.json())['fault']
        if fault not in FAULTS:
            known = ', '.join(FAULTS)
            return responses.JSONResponse({'error': f'known: {known}'}, 400)
        self.fault = fault
        return responses.JSONResponse({'fault': fault})

    async def _set_state(self, request):
        change = await request.json()
        listed = [
            {**item, 'state': change['state']}
            if item['name'] == change['name']
            else item
            for item in self._lists[-1][1]
            if item['name'] != change['name'] or change['state'] != 'gone'
        ]
        self._lists.append((time.monotonic() + self._lag_s, listed))
        return responses.JSONResponse({})

    async def _counts(self, request):
        return responses.JSONResponse(
            {
                'transactions': self._tables.transactions,
                'writes': self._tables.writes,
                'reads': self._tables.reads,
            }
        )

    async def _is_down(self):
        if self.fault == 'slow':
            await asyncio.sleep(SLOW_S)
        return self.fault == 'down'


def _down():
    return responses.JSONResponse({'error': 'unavailable'}, STATUS_DOWN)


def main():
    """Serve the platform."""
    arguments = docopt.docopt(__doc__)
    with open(arguments['--inventory'], encoding='utf-8') as file:
        instances = json.load(file)['instances']
    platform = PlatformStandIn(instances, float(arguments['--lag']))
    serving.serve(platform.build_app(), arguments['--address'])


if __name__ == '__main__':
    main()
