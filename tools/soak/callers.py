"""Send requests as callers and record the outcomes."""

from __future__ import annotations

import asyncio
import typing

from persimmonroute import exceptions
from persimmonroute import http_connection
from standins import gateway_deployment as deployments
from tools.soak import records

CONNECT_S = 1.0
DEADLINE_S = 2.0
# Long enough for an answer that goes on after a silence.
LONG_DEADLINE_S = 4.0
# How long a caller waits for a response after its deadline.
RESPONSE_GRACE_S = 1.5
# A stream of the route 'single' is sent to one endpoint only, so that callers
# take it up when it breaks off.
ROUTES = ('book', 'find', 'draft', 'resume', 'single', 'seek', 'long')
STREAM_ROUTES = ('draft', 'resume', 'single', 'long')
RESUMABLE_ROUTES = ('resume', 'single', 'long')
LONG_ROUTES = ('seek', 'long')
# Requests of these routes must not be repeated.
AT_MOST_ONCE_ROUTES = ('book', 'draft')
# Share of requests that may reuse an open connection, of callers that open
# new ones at times.
REUSE_SHARE = 0.7
# Gateways must ignore the workspace that callers send.
FORGED_WORKSPACE = 'somebody-else'


def kind_of(route):
    """Return the route of ROUTES that a route of a storm is like."""
    return route.partition('-')[0]


def deadline_s(route):
    """Return the deadline of requests to a route."""
    if kind_of(route) in LONG_ROUTES:
        return LONG_DEADLINE_S
    return DEADLINE_S


class Target(typing.NamedTuple):
    """Hold the route, key and gateway of one request."""

    route: str
    key: str
    gateway: object


class Place(typing.NamedTuple):
    """Hold where a caller takes a stream up again."""

    # Attempt that brought the first event.
    first_attempt: str
    last_event_id: int


class Caller:
    """Send the requests of one caller over reused connections."""

    def __init__(self, name, journal, now):
        self._name = name
        self._journal = journal
        self._now = now
        self._connections = {}
        self._attempt_count = 0

    async def send_request(self, target, reuse, place=None):
        """Send one request and record its Outcome; None if unreachable."""
        self._attempt_count += 1
        attempt = f'{self._name}-{self._attempt_count}'
        gateway = target.gateway
        start_number = gateway.start_number
        conn = self._connections.pop(gateway.name, None)
        if conn is not None and not (reuse and conn.reusable):
            conn.abort()
            conn = None
        try:
            if conn is None:
                conn = await http_connection.open_connection(
                    gateway.caller_link.address, CONNECT_S
                )
        except (exceptions.EndpointUnreachableError, OSError):
            return None
        sent_at = self._now()
        response = await self._exchange(conn, target, attempt, place)
        outcome = records.Outcome(
            attempt=attempt,
            route=target.route,
            key=target.key,
            gateway=gateway.name,
            start_number=start_number,
            sent_at=sent_at,
            ended_at=self._now(),
            status=response.status,
            headers=response.headers,
            body=response.body,
            complete=response.complete,
            resumes=place.first_attempt if place else None,
            last_event_id=place.last_event_id if place else 0,
        )
        self._journal.outcomes.append(outcome)
        closing = response.headers.get(b'connection') == b'close'
        if response.complete and not closing and conn.finish():
            self._connections[gateway.name] = conn
        else:
            conn.abort()
        return outcome

    def close(self):
        """Close all connections."""
        for conn in self._connections.values():
            conn.abort()

    async def _exchange(self, conn, target, attempt, place):
        time_s = deadline_s(target.route)
        headers = [
            ('host', deployments.HOST),
            ('attempt-id', attempt),
            ('authorization', f'Bearer {target.key}'),
            ('tenant', FORGED_WORKSPACE),
            ('deadline-remaining-ms', str(int(time_s * 1000))),
            ('content-length', '4'),
        ]
        if kind_of(target.route) in STREAM_ROUTES:
            headers.append(('accept', 'text/event-stream'))
        if place is not None:
            headers.append(('resumes', place.first_attempt))
            headers.append(('last-event-id', str(place.last_event_id)))
        path = f'/{target.route}/x'
        try:
            conn.send_request('POST', path, headers, b'body')
            return await asyncio.wait_for(
                deployments.read_response(conn), time_s + RESPONSE_GRACE_S
            )
        except (TimeoutError, exceptions.EndpointBrokenError):
            return deployments.Response()
