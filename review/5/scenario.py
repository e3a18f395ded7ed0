"""Streams sent shortly after a SIGTERM on connections that are kept."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from persimmonroute import exceptions
from persimmonroute import http_connection
from review import harness

RUNNERS = 6
CALLERS = 80
# The callers send one after the other, at these times after the SIGTERM.
FIRST_AT_S = 2.6
STEP_S = 0.01
# Requests that were sent no later than this are excused.
EXCUSED_S = 3.0
EVENTS = 140
EVENT_PAUSE_S = 0.05
READ_S = 14.0


class Stream:
    """Hold what a caller saw of one stream."""

    def __init__(self, attempt):
        self.attempt = attempt
        # Seconds after the SIGTERM, or after the time at which it would come.
        self.sent_s = 0.0
        self.status = None
        self.complete = False


async def run(deployment, recorder):
    """Return whether a request that was read is answered."""
    runners = [
        await deployment.add_runner(f'i-{number}') for number in range(RUNNERS)
    ]
    for runner in runners:
        runner.event_count = EVENTS
        runner.event_pause_s = EVENT_PAUSE_S
    await deployment.start(2, [])
    gateway = deployment.gateways[0]
    connections = [
        await _open_used(gateway, number) for number in range(CALLERS)
    ]
    if harness.trouble_wanted():
        gateway.process.send_signal(signal.SIGTERM)
    stopped_at = recorder.now()
    recorder.write(f'{gateway.name} gets SIGTERM: {harness.trouble_wanted()}')
    streams = await asyncio.gather(
        *(
            _send(conn, number, stopped_at, recorder)
            for number, conn in enumerate(connections)
        )
    )
    ran = {attempt for runner in runners for attempt in runner.runs.elements()}
    lost = [
        stream
        for stream in streams
        if stream.attempt in ran
        and not stream.complete
        and stream.sent_s > EXCUSED_S
    ]
    for stream in lost:
        recorder.write(
            f'{stream.attempt}, sent {stream.sent_s:.3f} s after the SIGTERM,'
            f' ran and has no complete answer (status {stream.status})'
        )
    whole = sum(stream.complete for stream in streams)
    recorder.conclude(
        f'{len(streams)} streams, {whole} whole; {len(lost)} that were sent'
        f' later than {EXCUSED_S} s after the SIGTERM ran and were cut off'
    )
    return harness.BROKEN if lost else harness.HELD


async def _open_used(gateway, number):
    """Return a connection that has carried a request."""
    conn = await http_connection.open_connection(
        gateway.settings['address'], harness.CONNECT_S
    )
    conn.send_request(
        'GET',
        '/find/x',
        [('host', harness.HOST), ('attempt-id', f'first-{number}')],
        b'',
    )
    await http_connection.read_response(conn, 4.0)
    conn.finish()
    return conn


async def _send(conn, number, stopped_at, recorder):
    """Send a stream's request at its time, and read the answer."""
    stream = Stream(f's-{number}')
    due = stopped_at + FIRST_AT_S + number * STEP_S
    await asyncio.sleep(max(due - recorder.now(), 0))
    stream.sent_s = recorder.now() - stopped_at
    if not conn.reusable:
        recorder.write(f'{stream.attempt}: the connection is closed')
        return stream
    conn.send_request(
        'POST',
        '/draft/x',
        [
            ('host', harness.HOST),
            ('attempt-id', stream.attempt),
            ('accept', 'text/event-stream'),
            ('deadline-remaining-ms', '15000'),
            ('content-length', '4'),
        ],
        b'text',
    )
    recorder.write(f'{stream.attempt} is sent {stream.sent_s:.3f} s after')
    try:
        response = await http_connection.read_response(conn, READ_S)
        stream.status = response.status
        stream.complete = response.status == 200
        recorder.write(f'{stream.attempt} gets a whole {response.status}')
    except (exceptions.EndpointBrokenError, TimeoutError) as error:
        recorder.write(f'{stream.attempt} is cut off: {error!r}')
    conn.abort()
    return stream


if __name__ == '__main__':
    harness.main(pathlib.Path(__file__).parent, run)
