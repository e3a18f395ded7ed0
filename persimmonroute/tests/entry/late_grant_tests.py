"""Test which calls a stopping entry grants a start, and how it ends others."""

from __future__ import annotations

import json
import unittest

from persimmonroute import composition
from persimmonroute import durations
from persimmonroute.entry import messages
from persimmonroute.entry import server
from persimmonroute.generated import exchange_pb2 as pb
from standins import small_simulation

SIDECARS = ('trade-desk-1', 'trade-desk-2')
GRACE_S = 8.0
SHORT_S = 0.2
LONG_S = 4.0
STATUS = 200


class LateGrantTests(unittest.TestCase):
    """Stop an entry whose calls of a class take a known time."""

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

    def _submit(self, request_id, now):
        """Return the attempt that a lookup is offered as, and the effects."""
        call = small_simulation.order(request_id)._replace(
            class_name='stock-lookup', key=None
        )
        effects = self._handle(messages.CallArrived(call), now)
        offered = [f for f in _frames(effects) if f.HasField('offer')]
        return offered[0].request_id if offered else None, effects

    def _queue(self, request_id, now):
        """Submit a lookup that the sidecar queues; return its attempt."""
        attempt, _ = self._submit(request_id, now)
        self._reply(attempt, now, accepted=pb.Accepted())
        return attempt

    def _learn(self, took_s):
        """Let lookups take some time, until an entry knows it."""
        for number in range(durations.MIN_REQUESTS):
            began_at = -100.0 + number * LONG_S
            attempt = self._queue(f'learned-{number}', began_at)
            self._reply(attempt, began_at, ready=pb.Ready())
            finished = pb.Finished(status=STATUS, complete=True)
            self._reply(attempt, began_at + took_s, finished=finished)

    def _stop(self):
        drain = server.begin_drain(0.0, GRACE_S)
        return self._handle(messages.StopRequested(drain), 0.0)

    def _check_not_run(self, effects):
        self.assertFalse([f for f in _frames(effects) if f.HasField('grant')])
        (ended,) = [
            e for e in effects if isinstance(e, messages.ResponseEnded)
        ]
        self.assertEqual(ended.outcome, messages.Outcome.NOT_RUN)
        self.assertGreater(ended.retry_after_s, 0)

    def _check_granted(self, effects):
        self.assertTrue([f for f in _frames(effects) if f.HasField('grant')])

    def test_waiting_call_is_not_granted_and_then_cut_off(self):
        """Guards against calls that a stop cuts off after they have run."""
        self._learn(LONG_S)
        attempt = self._queue('a', -0.1)
        self._stop()
        effects = self._reply(attempt, 3.8, ready=pb.Ready())
        self._check_not_run(effects)

    def test_waiting_call_is_told_as_soon_as_it_cannot_end(self):
        """Guards against calls that wait for the end of a stop."""
        self._learn(LONG_S)
        self._queue('a', -0.1)
        self._stop()
        self.assertEqual(self._handle(messages.TimePassed(), 2.9), [])
        self._check_not_run(self._handle(messages.TimePassed(), 3.1))

    def test_long_call_after_the_signal_is_not_begun(self):
        """Guards against calls that are longer than what is left."""
        self._learn(LONG_S)
        for number in range(durations.WINDOW_REQUESTS):
            self.core.board.durations.record(
                'stock-lookup', 0, 0.0, GRACE_S + number
            )
        self._stop()
        attempt, effects = self._submit('a', 0.5)
        self.assertIsNone(attempt)
        self._check_not_run(effects)

    def test_waiting_call_that_ends_in_time_is_granted(self):
        """Guards against refusing what would have ended in time."""
        self._learn(SHORT_S)
        attempt = self._queue('a', -0.1)
        self._stop()
        self._check_granted(self._reply(attempt, 3.8, ready=pb.Ready()))

    def test_late_call_that_ends_in_time_is_granted(self):
        """Guards against refusing all that comes on kept connections."""
        self._learn(SHORT_S)
        self._stop()
        attempt = self._queue('a', 1.3)
        self._check_granted(self._reply(attempt, 1.3, ready=pb.Ready()))

    def test_second_offer_is_not_granted_and_then_cut_off(self):
        """Guards against a call that is offered again late in a stop."""
        self._learn(LONG_S)
        attempt = self._queue('a', -0.1)
        self._reply(attempt, -0.1, ready=pb.Ready())
        self._stop()
        effects = self._reply(attempt, 3.5, never_starts=pb.NeverStarts())
        for frame in _frames(effects):
            if frame.HasField('offer'):
                effects += self._reply(frame.request_id, 3.5, ready=pb.Ready())
        self._check_not_run(effects)


def _frames(effects):
    return [e.frame for e in effects if isinstance(e, messages.SendFrame)]
