"""Simulate endpoints with random service times and misbehaviour."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from standins import platform_runner
from tools.soak import records
from tools.soak import silence

EVENTS = 6
EVENT_PAUSE_S = 0.03
SERVICE_S = (0.01, 0.12)
# Some requests take longer than a gateway process takes to exit.
LONG_SERVICE_S = (0.4, 1.0)
LONG_SHARE = 0.2
# Longer than the deadline of most callers.
HANG_S = 4.0
# Interval at which an endpoint looks whether its peer has closed.
WATCH_S = 0.01
WHOLE_BEHAVIOURS = ('answer', 'unframed_whole_stream')


class SoakEndpoint(platform_runner.RunnerStandIn):
    """Record executions and misbehave for a share of the requests."""

    event_count = EVENTS
    event_pause_s = EVENT_PAUSE_S
    hang_s = HANG_S

    def __init__(self, endpoint_id, start_number, rng, journal, now):
        super().__init__(endpoint_id)
        self.start_number = self.born = start_number
        self.version = 'v2' if start_number % 3 == 0 else 'v1'
        # Share of requests by the behaviour applied to them.
        self.misbehaviour_shares = {}
        self.long_share = LONG_SHARE
        self.leaving = False
        self._rng = rng
        self._journal = journal
        self._now = now
        self._gate = silence.WriteGate(rng, asyncio.Event())
        # What is known of the visits in progress, by their task.
        self._behaviours = {}
        self._executing = set()

    @contextlib.contextmanager
    def fall_silent(self):
        """Write nothing for a while, keep the connections, and go on."""
        begin = self._now()
        try:
            with self._gate.close():
                yield
        finally:
            self._journal.silences.append(
                records.Silence(self.id, begin, self._now())
            )

    def choose_behaviour(self):
        """Return a random misbehaviour or the default behaviour."""
        chosen = self.default_behaviour
        for behaviour, share in self.misbehaviour_shares.items():
            if self._rng.random() < share:
                chosen = behaviour
                break
        self._behaviours[asyncio.current_task()] = chosen
        return chosen

    def apply_fault(self, reply, behaviour, path):
        """Return the behaviour that the fault of the version leads to."""
        chosen = super().apply_fault(reply, behaviour, path)
        self._behaviours[asyncio.current_task()] = chosen
        return chosen

    def record_run(self, attempt, headers):
        """Record that the execution of an attempt started."""
        super().record_run(attempt, headers)
        self._executing.add(asyncio.current_task())
        workspace = headers.get(b'tenant', b'').decode()
        self._journal.executions.append(
            records.Execution(attempt, self._now(), self.id, workspace)
        )

    def make_event(self, attempt, number):
        """Return one event of the stream for an attempt."""
        if number > self.event_count:
            return b''
        return event(attempt, number, self.version)

    async def _accept(self, reader, writer):
        await super()._accept(
            reader, silence.GatedWriter(reader, writer, self._gate)
        )

    async def _respond(self, http, writer, request, body):
        """Respond to a request, and record how that ended."""
        attempt = dict(request.headers).get(b'attempt-id')
        if attempt is None:
            return await super()._respond(http, writer, request, body)
        begin, ending = self._now(), records.Ending.STOPPED
        work = asyncio.create_task(
            super()._respond(http, writer, request, body)
        )
        try:
            keep = await _watch(work, writer)
            ending = self._find_ending(work)
            return keep
        except OSError:
            ending = records.Ending.CLOSED
            raise
        finally:
            work.cancel()
            self._journal.visits.append(
                records.Visit(
                    attempt.decode('latin-1'),
                    self.id,
                    begin,
                    self._now(),
                    self._behaviours.pop(work, ''),
                    ending,
                    work in self._executing,
                )
            )
            self._executing.discard(work)

    def _find_ending(self, work):
        if work not in self._executing:
            return records.Ending.REFUSED
        if self._behaviours.get(work) in WHOLE_BEHAVIOURS:
            return records.Ending.WHOLE
        return records.Ending.BROKE_OFF

    async def _do_answer(self, reply, headers):
        is_long = self._rng.random() < self.long_share
        service_s = LONG_SERVICE_S if is_long else SERVICE_S
        await asyncio.sleep(self._rng.uniform(*service_s) * reply.slower)
        return await super()._do_answer(reply, headers)


async def _watch(work, writer):
    """Return the result of a task; end it when the peer closes."""
    while not work.done():
        await asyncio.wait([work], timeout=WATCH_S)
        if not work.done() and writer.peer_closed:
            raise ConnectionResetError
    keep = work.result()
    while keep and writer.holding:
        await asyncio.sleep(WATCH_S)
        if writer.peer_closed:
            raise ConnectionResetError
    return keep


def event(attempt, number, version='v1'):
    """Return one event of the stream for an attempt."""
    text = f'{attempt.decode()} {number} {version}'
    return f'id: {number}\ndata: {text}\n\n'.encode()


def versions_of(body):
    """Return the versions that wrote the events of a body."""
    lines = body.split(b'\n')
    return {
        line.split()[-1].decode()
        for line in lines
        if line.startswith(b'data: ')
    }


def last_event_id(body):
    """Return the number of the last event of a body, or 0."""
    ids = [line for line in body.split(b'\n') if line.startswith(b'id: ')]
    return int(ids[-1][4:]) if ids else 0


def plain_body(attempt):
    """Return the body of a non-streaming response to an attempt."""
    return b'answer ' + attempt


class Bodies(typing.NamedTuple):
    """Hold the complete bodies that an attempt may receive."""

    stream: bytes
    plain: bytes


def expected_bodies(attempt, version, after=0):
    """Return the expected streaming and plain bodies of an attempt.

    after is the last event that the caller had before.
    """
    name = attempt.encode()
    numbers = range(after + 1, EVENTS + 1)
    stream = b''.join(event(name, n, version) for n in numbers)
    return Bodies(stream, plain_body(name))
