"""Test the replies of a sidecar about attempts it no longer stores."""

from __future__ import annotations

import unittest
from unittest import mock

from persimmonroute import composition
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import board as boards
from persimmonroute.sidecar import messages
from persimmonroute.sidecar import responses

LINK = 'entry-1#1'


class DiscardedAttemptTests(unittest.TestCase):
    """Resume and grant attempts whose responses were discarded."""

    def setUp(self):
        """Connect one entry."""
        self.core = composition.build_sidecar_core('s', 'llm', 'model', 'i1')
        self._handle(messages.LinkOpened(LINK), 0.0)

    def _handle(self, event, now):
        return self.core.handle(event, now)

    def _send(self, attempt_id, now, **body):
        """Send a frame and return the kinds of the frames sent back."""
        frame = pb.Frame(request_id=attempt_id, **body)
        envelope = pb.Envelope(frames=[frame])
        effects = self._handle(messages.EnvelopeArrived(LINK, envelope), now)
        return [
            effect.frame.WhichOneof('body')
            for effect in effects
            if isinstance(effect, messages.SendFrame)
        ]

    def _run(self, attempt_id, now, size=10):
        offer = pb.Offer(tier=1, patience_s=5.0, idempotent=True)
        self._send(attempt_id, now, offer=offer)
        self._send(attempt_id, now, grant=pb.Grant())
        self._handle(messages.EndpointData(attempt_id, b'x' * size, 1), now)
        self._handle(messages.EndpointEnded(attempt_id, 200, 't'), now)

    def _resume(self, attempt_id, now):
        return self._send(attempt_id, now, resume=pb.Resume(incarnation='i1'))

    def test_response_is_resent(self):
        """A buffered response is sent from the requested offset."""
        self._run('a', 0.0)
        self.assertEqual(self._resume('a', 1.0), ['chunk', 'finished'])

    def test_unknown_attempt_never_starts(self):
        """A resume of an unknown attempt prevents a later offer of it."""
        self.assertEqual(self._resume('a', 0.0), ['never_starts'])
        offer = pb.Offer(tier=1, patience_s=5.0)
        self.assertEqual(self._send('a', 0.0, offer=offer), ['refused'])

    def test_discarded_attempt_is_lost(self):
        """A discarded attempt that ran is reported lost, not never started."""
        self._run('a', 0.0)
        later = responses.IDEMPOTENT_RETENTION_S + 1.0
        self.assertEqual(self._resume('a', later), ['lost'])
        self.assertEqual(self._send('a', later, grant=pb.Grant()), ['lost'])

    def test_attempt_discarded_for_space_is_lost(self):
        """A response discarded for its size is reported as lost."""
        with mock.patch.object(responses, 'MAX_RETAINED_BYTES', 100):
            self._run('a', 0.0, size=90)
            self._run('b', 0.1, size=90)
        self.assertEqual(self._resume('a', 0.2), ['lost'])

    def test_unknown_attempts_are_lost_after_id_eviction(self):
        """Once ids were evicted, an unknown attempt is reported as lost.

        It may have run, so the sidecar must not reply that it never starts.
        """
        with mock.patch.object(boards, 'MAX_STARTED_IDS', 1):
            self._run('a', 0.0)
            self._run('b', 0.1)
        later = responses.IDEMPOTENT_RETENTION_S + 1.0
        self.assertEqual(self._resume('a', later), ['lost'])
        self.assertEqual(self._resume('unknown', later), ['lost'])

    def test_late_grant_of_a_dropped_attempt(self):
        """A grant received after the ready timeout starts nothing."""
        offer = pb.Offer(tier=1, patience_s=5.0)
        self._send('a', 0.0, offer=offer)
        self._handle(messages.TimePassed(), 2.0)
        kinds = self._send('a', 2.1, grant=pb.Grant())
        self.assertEqual(kinds, ['never_starts'])

    def test_unsent_call_closes_no_endpoint_that_responds(self):
        """Guards against refusals because one connection was not opened."""
        offer = pb.Offer(tier=1, patience_s=5.0, idempotent=True)
        self._send('a', 0.0, offer=offer)
        self._send('a', 0.0, grant=pb.Grant())
        self._handle(messages.EndpointProbed(True), 1.0)
        effects = self._handle(
            messages.EndpointFailed('a', False, 'no connection'), 1.0
        )
        sent = [
            e.frame.WhichOneof('body') for e in effects if hasattr(e, 'frame')
        ]
        self.assertEqual(sent, ['never_starts'])
        self.assertFalse(self.core.load(1.0).endpoint_down)
        self.assertEqual(
            self._send('b', 1.0, offer=offer), ['accepted', 'ready']
        )
