"""Test what an entry learns and ends while it stops."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import types
import unittest
from unittest import mock

from persimmonroute import composition
from persimmonroute import durations
from persimmonroute.entry import http_api
from persimmonroute.entry import messages
from persimmonroute.entry import server
from persimmonroute.generated import exchange_pb2 as pb
from standins import entry_fixtures
from standins import gateway_deployment as deployments
from standins import small_simulation

CLASS = 'stock-lookup'
SIDECARS = ('trade-desk-1', 'trade-desk-2')
GRACE_S = 8.0
SHORT_GRACE_S = 2
# Of calls that cannot end within the grace period if they start later than
# LATEST_S after the signal.
LONG_S = 4.0
LATEST_S = 3.0
FAILED = 500
# Time in which an entry begins to serve.
START_S = 0.3
PARTIAL_CALL = (
    'POST /services/trade-desk/x HTTP/1.1\r\nHost: x\r\n'
    'Persimmon-Workspace: desk\r\nPersimmon-Class: stock-lookup\r\n'
    'Content-Length: 100\r\n\r\npart'
).encode()


class CoreTests(unittest.TestCase):
    """Stop an entry whose calls wait again after their grant."""

    def setUp(self):
        """Connect an entry to two sidecars of a plain service."""
        self.core = composition.build_entry_core('e', 'riga', 'riga-a')
        document = json.dumps(small_simulation.DECLARATIONS).encode()
        # Sidecar of each attempt that was offered.
        self.sidecars = {}
        self._handle(messages.ConfigurationReceived(1, document), 0.0)
        listed = tuple(
            messages.Instance(
                name, small_simulation.PLAIN, 'riga', 'riga-a', 'a', False
            )
            for name in SIDECARS
        )
        self._handle(messages.InstancesListed(listed), 0.0)
        for name in SIDECARS:
            self._handle(messages.LinkOpened(name, f'{name}-1'), 0.0)

    def _handle(self, event, now):
        effects = self.core.handle(event, now)
        for effect in effects:
            if isinstance(effect, messages.SendFrame):
                self.sidecars[effect.frame.request_id] = effect.sidecar
        return effects

    def _reply(self, attempt, now, **body):
        frame = pb.Frame(request_id=attempt, **body)
        envelope = pb.Envelope(revision=1, frames=[frame])
        event = messages.EnvelopeArrived(self.sidecars[attempt], envelope)
        return self._handle(event, now)

    def _grant(self, request_id, now):
        """Submit a lookup and grant it a start; return its attempt."""
        call = small_simulation.order(request_id)._replace(
            class_name=CLASS, key=None
        )
        attempt = _find_offer(self._handle(messages.CallArrived(call), now))
        self._reply(attempt, now, accepted=pb.Accepted())
        self._reply(attempt, now, ready=pb.Ready())
        return attempt

    def test_call_that_waits_again_is_told_as_soon_as_it_cannot_end(self):
        """Guards against calls that wait again until the end of a stop."""
        for _ in range(durations.MIN_REQUESTS):
            self.core.board.durations.record(CLASS, 0, LONG_S, LONG_S)
        attempt = self._grant('a', -0.1)
        drain = server.begin_drain(0.0, GRACE_S)
        self._handle(messages.StopRequested(drain), 0.0)
        effects = self._reply(attempt, 1.0, never_starts=pb.NeverStarts())
        self._reply(_find_offer(effects), 1.0, accepted=pb.Accepted())
        effects = self._handle(messages.TimePassed(), LATEST_S + 0.1)
        ended = [e for e in effects if isinstance(e, messages.ResponseEnded)]
        self.assertEqual(
            [e.outcome for e in ended], [messages.Outcome.NOT_RUN]
        )

    def test_failures_do_not_tell_how_long_calls_take(self):
        """Guards against calls that are cut off after quick failures."""
        for number in range(durations.MIN_REQUESTS):
            attempt = self._grant(f'failed-{number}', number)
            finished = pb.Finished(status=FAILED, complete=True)
            self._reply(attempt, number, finished=finished)
        estimate_s = self.core.board.durations.estimate_s(CLASS, 0)
        self.assertEqual(estimate_s, math.inf)


class LateBodyTests(unittest.IsolatedAsyncioTestCase):
    """Stop an entry while a caller still sends the body of a call."""

    async def test_call_whose_body_is_late_has_not_run(self):
        """Guards against 500 for a call that was never read whole."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        entry = entry_fixtures.EntryFixture(stack)
        entry.configure(1)
        await entry.add_endpoint(small_simulation.PLAIN)
        address = f'127.0.0.1:{deployments.free_port()}'
        settings = types.SimpleNamespace(
            address=address, stop_grace_s=SHORT_GRACE_S
        )
        app = http_api.HttpApi(entry.shell).build_app()
        stop = asyncio.Event()
        with mock.patch.object(entry.shell, 'start'):
            running = asyncio.create_task(
                server.EntryServer(entry.shell, app, settings).run(stop)
            )
            await asyncio.sleep(START_S)
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(PARTIAL_CALL)
        await asyncio.sleep(0.1)
        stop.set()
        answer = await reader.read()
        await running
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)


def _find_offer(effects):
    """Return the attempt that is offered."""
    frames = [e.frame for e in effects if isinstance(e, messages.SendFrame)]
    return next(f.request_id for f in frames if f.HasField('offer'))
