"""Stop two gateways in turn while two versions of a service are in use."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2 as harness  # noqa: E402

SERVICE = 'modelo-citas'
PATH = '/asistente-cita/'
VERSIONS = ('v1', 'v2')
RUNNERS_PER_VERSION = 2
STREAMS = 16
# As asistente-cita on the sheet: 93 events on the mean, a deadline of 15 s.
EVENTS = 93
EVENT_S = 0.15
DEADLINE_S = 15.0
GRACE_S = 8.0
# The platform starts a process again after a short delay.
RESTART_S = 0.5
# From the moment at which the first gateway is ready again until the second
# one is asked to stop.
TURN_S = 1.0
# A machine is in touch so long after its processes started.
STABLE_S = 3.0
# Pause between a caller's tries; longer than the Retry-After of refusals.
TRY_PAUSE_S = 1.0
# New streams begin so often after the streams were cut.
NEW_STREAMS = 16
NEW_PAUSE_S = 0.1
# Of so many streams that are taken up the share that goes on is judged.
MIN_TAKEN_UP = 12


class StreamRunner(harness.Runner):
    """Write a stream of numbered events, from Last-Event-Id on."""

    version = 'v1'

    def registration(self, state='ready'):
        """Return the row of the runner in the store."""
        return {**super().registration(state), 'Version': self.version}

    async def respond(self, message, writer, attempt, number):
        """Answer a request; return whether to keep the connection."""
        self.run(message, attempt)
        first = int(message.headers.get('last-event-id', '0')) + 1
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {attempt}\r\n'
                f'Upstream-Signature: {self.signature(attempt)}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        for event_id in range(first, EVENTS + 1):
            event = f'id: {event_id}\ndata: {self.version}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True


class Stream:
    """Read a stream, and take it up again after it broke."""

    def __init__(self, name, gateways, record):
        self.name = name
        self._gateways = gateways
        self._record = record
        self.last_event_id = 0
        # Attempt that brought the first event.
        self.first_attempt = None
        self.began = False
        self.complete = False
        # Whether a machine in touch was asked to go on, and whether it did.
        self.taken_up = False
        self.went_on = False

    def allow(self, gateways):
        """Set the gateways that the load balancer may choose for the rest."""
        self._gateways = gateways

    async def read(self, number):
        """Read the stream until its end or its deadline."""
        ends_at = time.monotonic() + DEADLINE_S
        tries = 0
        while not self.complete and time.monotonic() < ends_at:
            # The load balancer: to those that are ready, all if none is.
            ready = [g for g in self._gateways if g.in_rotation]
            ready = ready or self._gateways
            tries += 1
            await self._try(
                ready[(number + tries) % len(ready)],
                f'{self.name}-{tries}',
                ends_at,
            )
            if not self.complete:
                await asyncio.sleep(TRY_PAUSE_S)

    async def _try(self, gateway, attempt, ends_at):
        headers = []
        takes_up = self.first_attempt is not None
        in_touch = time.monotonic() - gateway.started_at >= STABLE_S
        if takes_up:
            headers = [
                ('Last-Event-Id', self.last_event_id),
                ('Resumes', self.first_attempt),
            ]
        left_s = ends_at - time.monotonic()
        status = None
        try:
            async with asyncio.timeout(max(left_s, 0.1)):
                reader, writer = await asyncio.open_connection(
                    harness.HOST, gateway.front
                )
                try:
                    writer.write(
                        harness.request(
                            attempt,
                            PATH,
                            body=b'question',
                            headers=headers,
                            deadline=int(left_s * 1000),
                        )
                    )
                    status = await self._read_answer(reader, attempt)
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            status = status or 'no answer'
        if takes_up and in_touch and status not in (None, 'no answer'):
            self.taken_up = True
            self.went_on |= status == 200
        self._record.add(
            f'client {attempt}{" takes up" if takes_up else ""} at'
            f' {gateway.name}{" in touch" if in_touch else ""}: {status},'
            f' last event {self.last_event_id}, complete {self.complete}'
        )

    async def _read_answer(self, reader, attempt):
        """Read the events of an answer; return its status."""
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split()[1])
        if status != 200:
            return status
        while True:
            line = await reader.readline()
            if not line.strip():
                return status
            size = int(line, 16)
            if size == 0:
                self.complete = True
                return status
            chunk = await reader.readexactly(size + 2)
            for field in chunk.decode().splitlines():
                if field.startswith('id: '):
                    self.last_event_id = int(field[4:])
                    self.first_attempt = self.first_attempt or attempt
                    self.began = True


async def start(gateway):
    """Start a gateway, and put it into rotation when it is ready."""
    await gateway.start()
    gateway.started_at = time.monotonic()
    await gateway.wait_ready()
    gateway.in_rotation = True


async def stop(gateway, record):
    """Stop a gateway as the platform does, and start it again."""
    record.add(f'{gateway.name} gets SIGTERM')
    gateway.signal(signal.SIGTERM)
    # It says that it is not ready; the second miss takes it out.
    asyncio.get_running_loop().call_later(
        2.0, setattr, gateway, 'in_rotation', False
    )
    try:
        await asyncio.wait_for(gateway.process.wait(), GRACE_S)
    except TimeoutError:
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
    gateway.in_rotation = False
    record.add(f'{gateway.name} has ended')
    await asyncio.sleep(RESTART_S)
    await start(gateway)
    record.add(f'{gateway.name} is ready again')


async def play(record, folder, gateways):
    """Return whether streams went on as often as new ones began."""
    store = harness.Store()
    await store.start()
    for version in VERSIONS:
        for number in range(RUNNERS_PER_VERSION):
            runner = StreamRunner(f'{version}-{number}', SERVICE, record)
            runner.version = version
            await runner.start()
            store.put('servers', runner.id, runner.registration())
    routes = [
        harness.route(
            'asistente-cita',
            SERVICE,
            Kind='streaming',
            StreamResume=True,
            TimeoutMs=int(DEADLINE_S * 1000),
            TargetLatencyMs=300,
        )
    ]
    store.put('op', 'config', harness.configuration(1, routes, [SERVICE]))
    first = harness.Gateway('edge-1', store.port, folder)
    seeds = [f'{harness.HOST}:{first.control}']
    second = harness.Gateway('edge-2', store.port, folder, seeds)
    gateways += [first, second]
    for gateway in gateways:
        await start(gateway)
    await asyncio.sleep(STABLE_S)

    stopping = None
    if harness.TROUBLE:
        stopping = asyncio.create_task(stop(first, record))
        await asyncio.sleep(0.5)
    # Callers whose connections lead to the second gateway.
    streams = [Stream(f's{n}', [second], record) for n in range(STREAMS)]
    reading = [
        asyncio.create_task(stream.read(number))
        for number, stream in enumerate(streams)
    ]
    await asyncio.sleep(1.0)
    if sum(stream.began for stream in streams) < MIN_TAKEN_UP:
        raise harness.CannotRun('too few streams began')
    for stream in streams:
        # The next tries go wherever the load balancer leads.
        stream.allow(gateways)
    if stopping is not None:
        await stopping
        await asyncio.sleep(TURN_S)
        stopping = asyncio.create_task(stop(second, record))
        await asyncio.sleep(GRACE_S)
    record.add('new streams begin')
    new_streams = [
        Stream(f'n{n}', gateways, record) for n in range(NEW_STREAMS)
    ]
    for number, stream in enumerate(new_streams):
        reading.append(asyncio.create_task(stream.read(number)))
        await asyncio.sleep(NEW_PAUSE_S)
    await asyncio.sleep(1.0)
    begun = sum(stream.began for stream in new_streams) / NEW_STREAMS
    await asyncio.gather(*reading[:STREAMS])
    if stopping is not None:
        await stopping
    for task in reading:
        task.cancel()
    taken_up = [stream for stream in streams if stream.taken_up]
    went_on = sum(stream.went_on for stream in taken_up)
    whole = sum(stream.complete for stream in streams)
    record.add(
        f'taken up at machines in touch: {len(taken_up)}, went on: {went_on};'
        f' share of new streams that began: {begun:.2f};'
        f' whole at their deadline: {whole} of {STREAMS}'
    )
    if begun < 0.5:
        raise harness.CannotRun('new streams are not served')
    if not harness.TROUBLE:
        return whole == STREAMS
    if len(taken_up) < MIN_TAKEN_UP:
        raise harness.CannotRun('too few streams were taken up')
    return went_on / len(taken_up) >= begun / 2


if __name__ == '__main__':
    harness.run_case(FOLDER, play)
