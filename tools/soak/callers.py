"""Send requests as callers do, and record what they see."""

from __future__ import annotations

import asyncio
import typing

from persimmonroute import exceptions
from persimmonroute.platform import connection
from standins import gateway_deployment as deployments
from tools.soak import records

CONNECT_S = 1.0
DEADLINE_S = 2.0
# Beyond its deadline a caller waits this long for the answer.
PATIENCE_S = 1.5
ROUTES = ('book', 'find', 'draft', 'resume')
STREAMS = ('draft', 'resume')
# Routes of requests that may not be repeated.
ONCE = ('book', 'draft')
# Share of requests on a connection that was used before.
REUSE_SHARE = 0.7
# What callers send as their workspace must never be believed.
FORGED_WORKSPACE = 'somebody-else'


class Target(typing.NamedTuple):
    """Say what a caller asks, and whom."""

    route: str
    key: str
    gateway: object


class Caller:
    """Hold the connections of one caller."""

    def __init__(self, name, journal, now):
        self._name = name
        self._journal = journal
        self._now = now
        self._open = {}
        self._count = 0

    async def send_request(self, target, reuse):
        """Send one request and record its Outcome."""
        self._count += 1
        attempt = f'{self._name}-{self._count}'
        gateway = target.gateway
        start = gateway.start_number
        conn = self._open.pop(gateway.name, None)
        if conn is not None and not (reuse and conn.reusable):
            conn.abort()
            conn = None
        try:
            if conn is None:
                conn = await connection.open_connection(
                    gateway.caller_link.address, CONNECT_S
                )
        except (exceptions.EndpointUnreachableError, OSError):
            return None
        sent_at = self._now()
        answer = await self._exchange(conn, target, attempt)
        outcome = records.Outcome(
            attempt=attempt,
            route=target.route,
            key=target.key,
            gateway=gateway.name,
            start=start,
            sent_at=sent_at,
            ended_at=self._now(),
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            complete=answer.complete,
        )
        self._journal.outcomes.append(outcome)
        closing = answer.headers.get(b'connection') == b'close'
        if answer.complete and not closing and conn.finish():
            self._open[gateway.name] = conn
        else:
            conn.abort()
        return outcome

    def close(self):
        """Close all connections."""
        for conn in self._open.values():
            conn.abort()

    async def _exchange(self, conn, target, attempt):
        headers = [
            ('host', deployments.HOST),
            ('attempt-id', attempt),
            ('authorization', f'Bearer {target.key}'),
            ('tenant', FORGED_WORKSPACE),
            ('deadline-remaining-ms', str(int(DEADLINE_S * 1000))),
            ('content-length', '4'),
        ]
        if target.route in STREAMS:
            headers.append(('accept', 'text/event-stream'))
        path = f'/{target.route}/x'
        try:
            conn.send_request('POST', path, headers, b'body')
            return await asyncio.wait_for(
                deployments.read_answer(conn), DEADLINE_S + PATIENCE_S
            )
        except (TimeoutError, exceptions.EndpointBrokenError):
            return deployments.Answer()
