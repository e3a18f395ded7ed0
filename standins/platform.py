"""Stand in for the platform's store by its published protocol.

Usage: platform --address ADDRESS --inventory FILE [options]

Options:
  --address ADDRESS  Address to serve, as IP:port.
  --inventory FILE   JSON file with the list of instances.
  --lag SECONDS      Lag of the list of instances [default: 2].
  --writes RATE      Write calls a second [default: 400].
  --reads RATE       Read calls a second [default: 2000].
"""

from __future__ import annotations

import asyncio
import base64
import json
import time

import docopt
from starlette import applications
from starlette import responses
from starlette import routing

from standins import serving
from standins import tables

# All but the last two concern every call; list_down those that read the
# list of instances, late_effects writes.
FAULTS = ('none', 'down', 'slow', 'lose_answers', 'list_down', 'late_effects')
SLOW_S = 1.0
# Answers that are lost never arrive within a caller's patience.
LOST_S = 60.0
LATE_EFFECT_S = 3.0
STATUS_DOWN = 503
STATUS_RATE = 429
STATUS_CONFLICT = 412
STATUS_HISTORY_LOST = 410
MAX_ROWS = 500
MAX_WAIT_MS = 30_000
# Tables that only operators and endpoints may write.
FOREIGN_TABLES = ('op', 'servers')
INSTANCE_TABLE = 'instances'


class Rate:
    """Allow a number of calls a second, with a burst of one second."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._level = per_s
        self._at = time.monotonic()

    def take(self):
        """Tell whether another call is allowed, and count it."""
        now = time.monotonic()
        gained = (now - self._at) * self._per_s
        self._level = min(self._level + gained, self._per_s)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class PlatformStandIn:
    """Serve tables and objects."""

    def __init__(self, instances, lag_s, writes_per_s=400, reads_per_s=2000):
        self._tables = tables.Tables()
        self._objects = {}
        self._lag_s = lag_s
        self._changed = asyncio.Event()
        self._writes = Rate(writes_per_s)
        self._reads = Rate(reads_per_s)
        self._states = {item['name']: item for item in instances}
        self.fault = 'none'
        for item in instances:
            self._put_instance(item)

    @property
    def tables(self):
        """Return the rows that are kept."""
        return self._tables

    def build_app(self):
        """Return the ASGI application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route('/rows-tx', self._transact, methods=['POST']),
                route('/rows-get', self._get_rows),
                route('/rows-feed', self._feed),
                route('/rows-parts', self._list_parts),
                route('/blob-put/{id:path}', self._put_blob, methods=['PUT']),
                route('/blob-get/{id:path}', self._get_blob),
                route('/control/fault', self._set_fault, methods=['POST']),
                route('/control/instances', self._set_state, methods=['POST']),
                route('/control/counts', self._counts),
            ]
        )

    def put_row(self, table, key, value):
        """Write a row on behalf of an operator or an endpoint."""
        data = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(data, str):
            data = data.encode()
        self._tables.commit([], [((table, '', key), data)])
        self._wake()

    def remove_row(self, table, key):
        """Remove a row on behalf of its writer."""
        self._tables.commit([], [], [(table, '', key)])
        self._wake()

    def forget_history(self):
        """Drop the changes that feeds are read from."""
        self._tables.forget_history()
        self._wake()

    async def _transact(self, request):
        body = await request.json()
        refusal = await self._refuse(self._writes)
        if refusal is not None:
            return refusal
        try:
            expected = [
                (_name(row), row['ObjectVersion'])
                for row in body.get('ExpectedRevision', [])
            ]
            puts = [
                (_name(row), base64.b64decode(row['Value']))
                for row in body.get('Puts', [])
            ]
            removes = [_name(row) for row in body.get('Remove', [])]
        except (KeyError, TypeError, ValueError) as error:
            return responses.JSONResponse({'error': repr(error)}, 400)
        names = [name for name, _ in expected + puts] + removes
        if any(name[0] in FOREIGN_TABLES for name in names):
            return responses.JSONResponse({'error': 'not yours'}, 403)
        if len({name[1] for name in names}) > 1:
            return responses.JSONResponse({'error': 'several parts'}, 400)
        if self.fault == 'late_effects':
            loop = asyncio.get_running_loop()
            loop.call_later(
                LATE_EFFECT_S, self._tables.commit, expected, puts, removes
            )
            await asyncio.sleep(LOST_S)
        committed, rows = self._tables.commit(expected, puts, removes)
        self._wake()
        if self.fault == 'lose_answers':
            await asyncio.sleep(LOST_S)
        if committed:
            return responses.JSONResponse(self._stamp({}))
        found = self._stamp({'Rows': [_encode(row) for row in rows]})
        return responses.JSONResponse(found, STATUS_CONFLICT)

    async def _get_rows(self, request):
        query = request.query_params
        refusal = await self._refuse(self._reads, query['Table'])
        if refusal is not None:
            return refusal
        limit = min(int(query.get('Limit', MAX_ROWS)), MAX_ROWS)
        rows = self._tables.list_rows(
            query['Table'],
            query.get('part', ''),
            query.get('From', ''),
            query.get('To'),
        )
        answer = {
            'Rows': [_encode(row) for row in rows[:limit]],
            'HasMore': len(rows) > limit,
        }
        return responses.JSONResponse(self._stamp(answer))

    async def _feed(self, request):
        query = request.query_params
        refusal = await self._refuse(self._reads, query['Table'])
        if refusal is not None:
            return refusal
        wait_s = min(int(query.get('WaitMs', 0)), MAX_WAIT_MS) / 1000
        until = time.monotonic() + wait_s
        while True:
            changes = self._tables.changes_after(
                query['Table'], int(query['After'])
            )
            if changes is None:
                return responses.JSONResponse({}, STATUS_HISTORY_LOST)
            left = until - time.monotonic()
            if changes or left <= 0:
                rows = [_encode(change) for change in changes[:MAX_ROWS]]
                return responses.JSONResponse(self._stamp({'Rows': rows}))
            await self._wait_change(left)

    async def _list_parts(self, request):
        refusal = await self._refuse(self._reads)
        if refusal is not None:
            return refusal
        table = request.query_params['Table']
        parts = self._tables.list_partitions(table)
        return responses.JSONResponse(self._stamp({'parts': parts}))

    async def _put_blob(self, request):
        data = await request.body()
        refusal = await self._refuse(self._writes)
        if refusal is not None:
            return refusal
        name = request.path_params['id']
        exists = name in self._objects
        if exists and request.headers.get('if-none-match') == '*':
            return responses.JSONResponse({}, STATUS_CONFLICT)
        self._objects[name] = data
        return responses.JSONResponse({})

    async def _get_blob(self, request):
        refusal = await self._refuse(self._reads)
        if refusal is not None:
            return refusal
        data = self._objects.get(request.path_params['id'])
        if data is None:
            return responses.JSONResponse({'error': 'no such object'}, 404)
        return responses.Response(data)

    async def _set_fault(self, request):
        fault = (await request.json())['fault']
        if fault not in FAULTS:
            known = ', '.join(FAULTS)
            return responses.JSONResponse({'error': f'known: {known}'}, 400)
        self.fault = fault
        return responses.JSONResponse({'fault': fault})

    async def _set_state(self, request):
        change = await request.json()
        name, state = change['name'], change['state']
        loop = asyncio.get_running_loop()
        if state == 'gone':
            self._states.pop(name, None)
            loop.call_later(self._lag_s, self.remove_row, INSTANCE_TABLE, name)
        elif name in self._states:
            item = {**self._states[name], 'state': state}
            self._states[name] = item
            loop.call_later(self._lag_s, self._put_instance, item)
        return responses.JSONResponse({})

    async def _counts(self, request):
        return responses.JSONResponse(
            {
                'transactions': self._tables.transactions,
                'writes': self._tables.writes,
                'reads': self._tables.reads,
            }
        )

    async def _refuse(self, rate, table=None):
        if self.fault == 'slow':
            await asyncio.sleep(SLOW_S)
        listing = self.fault == 'list_down' and table == INSTANCE_TABLE
        # The list of instances has an outage of its own.
        down = self.fault == 'down' and table != INSTANCE_TABLE
        if listing or down:
            return responses.JSONResponse(
                {'error': 'unavailable'}, STATUS_DOWN
            )
        if not rate.take():
            return responses.JSONResponse({'error': 'rate'}, STATUS_RATE)
        return None

    async def _wait_change(self, left):
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), left)
        except TimeoutError:
            return

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _put_instance(self, item):
        self.put_row(INSTANCE_TABLE, item['name'], item)

    def _stamp(self, answer):
        answer['ObjectVersion'] = self._tables.version
        answer['NowMs'] = int(time.monotonic() * 1000)
        return answer


def _name(row):
    return (row['Table'], row['part'], row['Key'])


def _encode(row):
    encoded = {
        'Table': row.table,
        'part': row.partition,
        'Key': row.key,
        'ObjectVersion': row.version,
    }
    if row.value is None:
        encoded['Removed'] = True
    else:
        encoded['Value'] = base64.b64encode(row.value).decode()
    return encoded


def main():
    """Serve the platform."""
    arguments = docopt.docopt(__doc__)
    with open(arguments['--inventory'], encoding='utf-8') as file:
        instances = json.load(file)['instances']
    platform = PlatformStandIn(
        instances,
        float(arguments['--lag']),
        float(arguments['--writes']),
        float(arguments['--reads']),
    )
    serving.serve(platform.build_app(), arguments['--address'])


if __name__ == '__main__':
    main()
