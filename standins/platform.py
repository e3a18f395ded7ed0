"""Serve a stand-in for the platform's store.

Usage: platform --address ADDRESS --inventory FILE [options]

Options:
  --address ADDRESS  Address to serve, as IP:port.
  --inventory FILE   JSON file with the list of instances.
  --lag SECONDS      Lag of the list of instances [default: 2].
  --writes RATE      Write calls per second [default: 400].
  --reads RATE       Read calls per second [default: 2000].
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

# list_down affects only reads of the instance list, late_effects only
# writes, and down all calls except those reads; the others affect every call.
FAULTS = ('none', 'down', 'slow', 'lose_answers', 'list_down', 'late_effects')
SLOW_DELAY_S = 1.0
# Longer than any caller waits for a response.
LOST_RESPONSE_DELAY_S = 60.0
LATE_EFFECT_DELAY_S = 3.0
STATUS_UNAVAILABLE = 503
STATUS_RATE_LIMITED = 429
STATUS_CONFLICT = 412
STATUS_HISTORY_LOST = 410
MAX_ROWS = 500
MAX_WAIT_MS = 30_000
# Only operators and endpoints may write these tables.
READ_ONLY_TABLES = ('op', 'servers')
INSTANCE_TABLE = 'instances'


class TokenBucket:
    """Limit calls per second, with a burst of one second's calls."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at = time.monotonic()

    def take(self):
        """Take one token; return whether the call is allowed."""
        now = time.monotonic()
        refilled = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._tokens + refilled, self._per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformStandIn:
    """Serve tables and objects over the platform's HTTP protocol."""

    def __init__(self, instances, lag_s, writes_per_s=400, reads_per_s=2000):
        self._tables = tables.Tables()
        self._objects = {}
        self._lag_s = lag_s
        self._changed = asyncio.Event()
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)
        self._instances = {item['name']: item for item in instances}
        self.fault = 'none'
        # Number of times that the tables were restored from a copy.
        self.era = 1
        for item in instances:
            self._put_instance(item)

    @property
    def tables(self):
        """Return the in-memory tables."""
        return self._tables

    def build_app(self):
        """Return the ASGI application."""
        route = routing.Route
        app = applications.Starlette(
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
        return EraHeader(app, self)

    def put_row(self, table, key, value):
        """Write a row on behalf of an operator or an endpoint."""
        data = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(data, str):
            data = data.encode()
        self._tables.commit([], [((table, '', key), data)])
        self._wake()

    def remove_row(self, table, key):
        """Remove a row on behalf of an operator or an endpoint."""
        self._tables.commit([], [], [(table, '', key)])
        self._wake()

    def order_rollout(self, service, target, duration_s):
        """Order on behalf of an operator that a service changes version."""
        order = {'Service': service, 'To': target, 'DurationS': duration_s}
        self.put_row('op', f'rollout/{service}', order)

    def list_rollout_states(self, service):
        """Return the status rows of the rollouts of a service, in order."""
        changes = self._tables.changes_after('status', 0) or []
        return [
            json.loads(change.value)
            for change in changes
            if change.key == f'rollout/{service}' and change.value is not None
        ]

    def read_rollout_status(self, service):
        """Return the status row of a rollout; empty if there is none."""
        row = self._tables.find(('status', '', f'rollout/{service}'))
        return {} if row.value is None else json.loads(row.value)

    def restore(self, copied):
        """Restore the tables from an older copy and start a new era."""
        self._tables.restore(copied)
        self.era += 1
        self._wake()

    def forget_history(self):
        """Truncate the change history that feeds read."""
        self._tables.forget_history()
        self._wake()

    async def _transact(self, request):
        body = await request.json()
        rejection = await self._check_request(self._writes)
        if rejection is not None:
            return rejection
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
        if any(name[0] in READ_ONLY_TABLES for name in names):
            return responses.JSONResponse({'error': 'not yours'}, 403)
        if len({name[1] for name in names}) > 1:
            return responses.JSONResponse({'error': 'several parts'}, 400)
        if self.fault == 'late_effects':
            loop = asyncio.get_running_loop()
            loop.call_later(
                LATE_EFFECT_DELAY_S,
                self._tables.commit,
                expected,
                puts,
                removes,
            )
            await asyncio.sleep(LOST_RESPONSE_DELAY_S)
        committed, rows = self._tables.commit(expected, puts, removes)
        self._wake()
        if self.fault == 'lose_answers':
            await asyncio.sleep(LOST_RESPONSE_DELAY_S)
        if committed:
            return responses.JSONResponse(self._add_version({}))
        found = self._add_version({'Rows': [_encode(row) for row in rows]})
        return responses.JSONResponse(found, STATUS_CONFLICT)

    async def _get_rows(self, request):
        query = request.query_params
        rejection = await self._check_request(self._reads, query['Table'])
        if rejection is not None:
            return rejection
        limit = min(int(query.get('Limit', MAX_ROWS)), MAX_ROWS)
        rows = self._tables.list_rows(
            query['Table'],
            query.get('part', ''),
            query.get('From', ''),
            query.get('To'),
        )
        response = {
            'Rows': [_encode(row) for row in rows[:limit]],
            'HasMore': len(rows) > limit,
        }
        return responses.JSONResponse(self._add_version(response))

    async def _feed(self, request):
        query = request.query_params
        rejection = await self._check_request(self._reads, query['Table'])
        if rejection is not None:
            return rejection
        wait_s = min(int(query.get('WaitMs', 0)), MAX_WAIT_MS) / 1000
        deadline = time.monotonic() + wait_s
        while True:
            changes = self._tables.changes_after(
                query['Table'], int(query['After'])
            )
            if changes is None:
                return responses.JSONResponse({}, STATUS_HISTORY_LOST)
            remaining_s = deadline - time.monotonic()
            if changes or remaining_s <= 0:
                rows = [_encode(change) for change in changes[:MAX_ROWS]]
                return responses.JSONResponse(
                    self._add_version({'Rows': rows})
                )
            await self._wait_for_change(remaining_s)

    async def _list_parts(self, request):
        rejection = await self._check_request(self._reads)
        if rejection is not None:
            return rejection
        table = request.query_params['Table']
        parts = self._tables.list_partitions(table)
        return responses.JSONResponse(self._add_version({'parts': parts}))

    async def _put_blob(self, request):
        data = await request.body()
        rejection = await self._check_request(self._writes)
        if rejection is not None:
            return rejection
        name = request.path_params['id']
        exists = name in self._objects
        if exists and request.headers.get('if-none-match') == '*':
            return responses.JSONResponse({}, STATUS_CONFLICT)
        self._objects[name] = data
        return responses.JSONResponse({})

    async def _get_blob(self, request):
        rejection = await self._check_request(self._reads)
        if rejection is not None:
            return rejection
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
            self._instances.pop(name, None)
            loop.call_later(self._lag_s, self.remove_row, INSTANCE_TABLE, name)
        elif name in self._instances:
            item = {**self._instances[name], 'state': state}
            self._instances[name] = item
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

    async def _check_request(self, bucket, table=None):
        if self.fault == 'slow':
            await asyncio.sleep(SLOW_DELAY_S)
        listing = self.fault == 'list_down' and table == INSTANCE_TABLE
        # Only list_down makes the instance list unavailable.
        down = self.fault == 'down' and table != INSTANCE_TABLE
        if listing or down:
            return responses.JSONResponse(
                {'error': 'unavailable'}, STATUS_UNAVAILABLE
            )
        if not bucket.take():
            return responses.JSONResponse(
                {'error': 'rate'}, STATUS_RATE_LIMITED
            )
        return None

    async def _wait_for_change(self, remaining_s):
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), remaining_s)
        except TimeoutError:
            return

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _put_instance(self, item):
        self.put_row(INSTANCE_TABLE, item['name'], item)

    def _add_version(self, response):
        response['ObjectVersion'] = self._tables.version
        response['NowMs'] = int(time.monotonic() * 1000)
        return response


class EraHeader:
    """Add the era of the store to each response of an ASGI application."""

    def __init__(self, app, store):
        self._app = app
        self._store = store

    async def __call__(self, scope, receive, send):
        """Serve one request."""

        async def send_with_era(message):
            if message['type'] == 'http.response.start':
                era = str(self._store.era).encode()
                message['headers'] = [
                    *message['headers'],
                    (b'store-era', era),
                ]
            await send(message)

        await self._app(scope, receive, send_with_era)


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
    """Run the platform stand-in."""
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
