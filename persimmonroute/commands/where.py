"""Print where a request would go now, without sending it."""

from __future__ import annotations

import json
import urllib.parse

from persimmonroute import exceptions
from persimmonroute import http_connection

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0
STATUS_OK = 200


async def where(address, query, as_json):
    """Ask a gateway, at its metrics address, and print its answer."""
    found = await _fetch(address, query)
    if as_json:
        print(json.dumps(found, indent=2))
    else:
        print('\n'.join(format_preview(found)))


async def _fetch(address, query):
    target = '/placement?' + urllib.parse.urlencode(query)
    try:
        conn = await http_connection.open_connection(
            address, CONNECT_TIMEOUT_S
        )
        try:
            conn.send_request('GET', target, [('host', address)], b'')
            response = await http_connection.read_response(
                conn, RESPONSE_TIMEOUT_S
            )
        finally:
            conn.abort()
        found = json.loads(response.body)
    except (
        exceptions.EndpointUnreachableError,
        exceptions.EndpointBrokenError,
        TimeoutError,
        ValueError,
    ) as error:
        raise exceptions.GatewayQueryError(
            f'the gateway at {address} did not answer: {error!r}'
        ) from error
    if response.status != STATUS_OK:
        raise exceptions.GatewayQueryError(
            f'the gateway at {address} refused the query: {found.get("error")}'
        )
    return found


def format_preview(found):
    """Return the lines of text for the answer of a gateway."""
    lines = [
        f'gateway {found["gateway"]}, configuration {found["configuration"]}'
        f' confirmed {found["configuration_age_s"]} s ago'
    ]
    rejected = found.get('rejected')
    if rejected is not None:
        lines.append(
            f'rejected with {rejected["status"]}: {rejected["reason"]}'
        )
        return lines
    lines.append(
        f'route {found["route"]}, tier {found["tier"]},'
        f' objective {found["objective_s"]} s'
    )
    for service in found['services']:
        lines.append(
            f'service {service["service"]}, weight {service["weight"]}'
        )
        for group in service['groups']:
            lines += _format_group(group)
    return lines


def _format_group(group):
    source = 'its own queue' if group['exact'] else 'views of this gateway'
    waits = ', '.join(
        f'tier {tier}: {wait_s} s'
        for tier, wait_s in group['expected_wait_s'].items()
    )
    lines = [
        f'  region {group["region"]}, decided by {group["host"]};'
        f' below from {source}',
        f'    queued {group["queued"]}; expected wait: {waits or "none"}',
        f'    goes to: {group["endpoint"] or "none now, would be queued"}',
    ]
    for endpoint in sorted(group['endpoints'], key=lambda e: e['cost_ms']):
        lines.append('    ' + _format_endpoint(endpoint))
    return lines


def _format_endpoint(endpoint):
    text = (
        f'{endpoint["id"]} {endpoint["failure_domain"]}'
        f' {endpoint["version"]}:'
        f' {endpoint["in_flight"]} of {endpoint["limit"]} in flight;'
        f' cost {endpoint["cost_ms"]} ms,'
        f' {endpoint["cached_tokens"]} tokens cached'
    )
    reported = endpoint.get('reported')
    if reported is not None:
        text += f'; reported {reported["age_s"]} s ago:'
        text += f' running {reported["running"]},'
        text += f' waiting {reported["waiting"]}'
        if reported['cost_percent'] is not None:
            text += f', work takes {reported["cost_percent"]} %'
    if endpoint['problem']:
        text += f'; {endpoint["problem"]}'
    return text
