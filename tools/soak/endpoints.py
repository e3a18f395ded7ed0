"""Stand in for endpoints that take time, misbehave and keep a record."""

from __future__ import annotations

import asyncio
import typing

from standins import platform_runner
from tools.soak import records

EVENTS = 6
EVENT_PAUSE_S = 0.03
SERVICE_S = (0.01, 0.12)
# Some requests last longer than a process takes to end.
LONG_SERVICE_S = (0.4, 1.0)
LONG_SHARE = 0.2
# Beyond the deadline of callers.
HANG_S = 4.0


class SoakEndpoint(platform_runner.RunnerStandIn):
    """Note what runs, and misbehave for a share of the requests."""

    event_count = EVENTS
    event_pause_s = EVENT_PAUSE_S
    hang_s = HANG_S

    def __init__(self, endpoint_id, born, rng, journal, now):
        super().__init__(endpoint_id)
        self.born = born
        # Share of requests by behaviour of the stand-in.
        self.mischief = {}
        self.long_share = LONG_SHARE
        self.leaving = False
        self._rng = rng
        self._journal = journal
        self._now = now

    def choose_behaviour(self):
        """Return a drawn misbehaviour, or the regular behaviour."""
        for behaviour, share in self.mischief.items():
            if self._rng.random() < share:
                return behaviour
        return self.default_behaviour

    def record_run(self, attempt, headers):
        """Record an attempt that begins to run."""
        super().record_run(attempt, headers)
        workspace = headers.get(b'tenant', b'').decode()
        self._journal.runs.append(
            records.Run(attempt, self._now(), self.id, workspace)
        )

    def make_event(self, attempt, number):
        """Return one event of the stream for an attempt."""
        return event(attempt, number)

    async def _do_answer(self, reply, headers):
        is_long = self._rng.random() < self.long_share
        service_s = LONG_SERVICE_S if is_long else SERVICE_S
        await asyncio.sleep(self._rng.uniform(*service_s))
        return await super()._do_answer(reply, headers)


def event(attempt, number):
    """Return one event of the stream for an attempt."""
    return f'id: {number}\ndata: {attempt.decode()} {number}\n\n'.encode()


def whole_body(attempt):
    """Return the answer to an attempt that is no stream."""
    return b'answer ' + attempt


class Bodies(typing.NamedTuple):
    """Hold the whole answers that an attempt may have."""

    stream: bytes
    whole: bytes


def expected_bodies(attempt):
    """Return the bodies of a stream and of a whole answer."""
    name = attempt.encode()
    stream = b''.join(event(name, n) for n in range(1, EVENTS + 1))
    return Bodies(stream, whole_body(name))
