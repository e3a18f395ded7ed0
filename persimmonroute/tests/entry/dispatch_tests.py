"""Test the dispatcher through the core of an entry."""

from __future__ import annotations

import json
import unittest

from persimmonroute import composition
from persimmonroute.entry import messages
from persimmonroute.entry import server
from persimmonroute import exceptions
from persimmonroute.generated import exchange_pb2 as pb
from standins import small_simulation

SIDECARS = ('llm-pool-1', 'llm-pool-2', 'llm-pool-3')


class DispatchTests(unittest.TestCase):
    """Feed frames and time to the core of an entry."""

    def setUp(self):
        """Connect an entry to three sidecars."""
        self.core = composition.build_entry_core('e', 'riga', 'riga-a')
        document = json.dumps(small_simulation.DECLARATIONS).encode()
        self._handle(messages.ConfigurationReceived(1, document), 0.0)
        listed = tuple(
            messages.Instance(
                name, small_simulation.MODEL, 'riga', 'riga-a', 'a', False
            )
            for name in SIDECARS
        )
        self._handle(messages.InstancesListed(listed), 0.0)
        for name in SIDECARS:
            self._handle(messages.LinkOpened(name, f'{name}-1'), 0.0)

    def _handle(self, event, now):
        return self.core.handle(event, now)

    def _frames(self, effects):
        return [
            (effect.sidecar, effect.frame)
            for effect in effects
            if isinstance(effect, messages.SendFrame)
        ]

    def _submit(self, now=0.0):
        effects = self._handle(
            messages.CallArrived(small_simulation.draft('d')), now
        )
        return self._frames(effects)[0]

    def _reply(self, sidecar, attempt, now, **body):
        frame = pb.Frame(request_id=attempt, **body)
        # An overloaded sidecar reports its admitted tier with the refusal.
        load = pb.Load(admitted_tier=1) if 'refused' in body else None
        envelope = pb.Envelope(revision=1, frames=[frame], load=load)
        event = messages.EnvelopeArrived(sidecar, envelope)
        return self._handle(event, now)

    def _refuse(self, sidecar, attempt, now):
        refused = pb.Refused(reason=pb.OVERLOADED)
        return self._reply(sidecar, attempt, now, refused=refused)

    def test_offer_keeps_its_own_timeout(self):
        """The timer of an earlier offer must not time out the next one."""
        sidecar, frame = self._submit()
        effects = self._refuse(sidecar, frame.request_id, 0.4)
        second, offer = self._frames(effects)[-1]
        self.assertNotEqual(second, sidecar)
        effects = self._handle(messages.TimePassed(), 0.6)
        self.assertEqual(self._frames(effects), [])
        effects = self._handle(messages.TimePassed(), 0.95)
        kinds = [f.WhichOneof('body') for _, f in self._frames(effects)]
        self.assertEqual(kinds, ['withdraw', 'offer'])

    def test_refused_everywhere_is_not_run_at_once(self):
        """A request refused by all sidecars ends with a Retry-After."""
        sidecar, frame = self._submit()
        for _ in SIDECARS[1:]:
            effects = self._refuse(sidecar, frame.request_id, 0.01)
            sidecar, frame = self._frames(effects)[-1]
        effects = self._refuse(sidecar, frame.request_id, 0.02)
        ended = [e for e in effects if isinstance(e, messages.ResponseEnded)]
        self.assertEqual(ended[0].outcome, messages.Outcome.NOT_RUN)
        self.assertGreaterEqual(ended[0].retry_after_s, 1.0)

    def test_retry_after_is_spread(self):
        """Requests refused together get different Retry-After delays.

        Equal delays would make all callers retry at the same time.
        """
        spread = set()
        for number in range(20):
            call = small_simulation.draft(f'd-{number}')
            effects = self._handle(messages.CallArrived(call), 0.0)
            sidecar, frame = self._frames(effects)[0]
            for _ in SIDECARS:
                effects = self._refuse(sidecar, frame.request_id, 0.01)
                frames = [
                    f
                    for f in self._frames(effects)
                    if f[1].WhichOneof('body') == 'offer'
                ]
                if frames:
                    sidecar, frame = frames[-1]
            ended = [
                e for e in effects if isinstance(e, messages.ResponseEnded)
            ]
            spread.add(round(ended[0].retry_after_s, 3))
        self.assertGreater(len(spread), 15)
        self.assertLessEqual(max(spread), 2 * min(spread))

    def _shed(self, name, now):
        """Let all sidecars refuse a request; return the last frame kinds."""
        effects = self._handle(
            messages.CallArrived(small_simulation.draft(name)), now
        )
        sidecar, frame = self._frames(effects)[0]
        for _ in SIDECARS:
            effects = self._refuse(sidecar, frame.request_id, now)
            sidecar, frame = self._frames(effects)[-1]
        return [f.WhichOneof('body') for _, f in self._frames(effects)]

    def test_each_shed_is_notified_eventually(self):
        """A shed soon after a notice is sent when the next notice is due.

        Dropping it would let sidecars admit lower tiers before this one.
        """
        self.assertEqual(self._shed('a', 0.0), ['shed_notice'] * 3)
        call = messages.CallArrived(small_simulation.draft('b'))
        sidecar, frame = self._frames(self._handle(call, 0.01))[0]
        for _ in SIDECARS[1:]:
            effects = self._refuse(sidecar, frame.request_id, 0.01)
            sidecar, frame = self._frames(effects)[-1]
        effects = self._refuse(sidecar, frame.request_id, 0.01)
        self.assertEqual(self._frames(effects), [])
        effects = self._handle(messages.TimePassed(), 0.06)
        kinds = [f.WhichOneof('body') for _, f in self._frames(effects)]
        self.assertEqual(kinds, ['shed_notice'] * 3)

    def test_stray_ready_is_withdrawn(self):
        """A ready frame for an unknown attempt gets a withdraw in reply."""
        effects = self._reply(SIDECARS[0], 'x.1', 0.0, ready=pb.Ready())
        kinds = [f.WhichOneof('body') for _, f in self._frames(effects)]
        self.assertEqual(kinds, ['withdraw'])

    def test_end_before_what_was_received_is_not_complete(self):
        """Guards against a stream that ends as complete with another's end."""
        sidecar, frame = self._submit()
        attempt = frame.request_id
        self._reply(sidecar, attempt, 0.0, accepted=pb.Accepted())
        self._reply(sidecar, attempt, 0.0, ready=pb.Ready())
        chunk = pb.Chunk(offset=0, data=b'0123456789')
        self._reply(sidecar, attempt, 0.1, chunk=chunk)
        finished = pb.Finished(status=200, length=5, complete=True)
        effects = self._reply(sidecar, attempt, 0.2, finished=finished)
        ended = [e for e in effects if isinstance(e, messages.ResponseEnded)]
        self.assertEqual(ended[0].outcome, messages.Outcome.UNKNOWN)

    def test_moved_sidecar_keeps_its_link_while_a_stream_uses_it(self):
        """Guards against a link that is closed before its stream has ended."""
        sidecar, frame = self._submit()
        attempt = frame.request_id
        self._reply(sidecar, attempt, 0.0, accepted=pb.Accepted())
        self._reply(sidecar, attempt, 0.0, ready=pb.Ready())
        listed = tuple(
            messages.Instance(
                name, small_simulation.MODEL, 'riga', 'riga-a', 'b', False
            )
            for name in SIDECARS
        )
        effects = self._handle(messages.InstancesListed(listed), 0.1)
        opened = [
            e.sidecar for e in effects if isinstance(e, messages.OpenLink)
        ]
        self.assertEqual(set(opened), set(SIDECARS) - {sidecar})
        effects = self._handle(messages.LinkClosed(sidecar), 0.2)
        self.assertIn(messages.OpenLink(sidecar, 'b'), effects)

    def test_late_call_of_a_stopping_entry_is_not_run(self):
        """Guards against calls that a stop accepts late and then cuts off."""
        stop = messages.StopRequested(server.begin_drain(0.0, 8.0))
        self._handle(stop, 0.0)
        self._submit(0.9)
        call = small_simulation.draft('late')
        effects = self._handle(messages.CallArrived(call), 1.1)
        self.assertEqual(self._frames(effects), [])
        ended = [e for e in effects if isinstance(e, messages.ResponseEnded)]
        self.assertEqual(ended[0].outcome, messages.Outcome.NOT_RUN)
        self.assertGreater(ended[0].retry_after_s, 0)

    def test_invalid_calls_raise_typed_errors(self):
        """Each kind of invalid call raises its own error type."""
        call = small_simulation.order('o')
        cases = (
            (call._replace(key=None), exceptions.MissingKeyError),
            (call._replace(workspace='x'), exceptions.UnknownWorkspaceError),
            (call._replace(class_name='x'), exceptions.UnknownClassError),
        )
        for bad, error in cases:
            with self.subTest(error=error), self.assertRaises(error):
                self.core.validate_call(bad)
