"""Test what a sidecar still sends to its endpoint while it stops."""

from __future__ import annotations

import unittest

from persimmonroute import composition
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import messages

LINK = 'entry-1#1'
SENDS = (messages.StartCall, messages.ResumeCall)
STARTED_AT = 0.0
STOPPED_AT = 1.0
EXPIRED_AT = 5.0


class LateStartTests(unittest.TestCase):
    """Stop a sidecar before, while and after attempts are granted."""

    def setUp(self):
        """Connect one entry; the engine retains the stream r."""
        self.core = composition.build_sidecar_core('s', 'llm', 'model', 'i1')
        self._handle(messages.LinkOpened(LINK), STARTED_AT)
        self._handle(messages.StreamsListed(frozenset('r')), STARTED_AT)

    def _handle(self, event, now):
        return self.core.handle(event, now)

    def _send(self, attempt, now, **body):
        """Return the effects of a frame about an attempt."""
        frame = pb.Frame(request_id=attempt, **body)
        envelope = pb.Envelope(frames=[frame])
        return self._handle(messages.EnvelopeArrived(LINK, envelope), now)

    def _offer(self, attempt, now, **fields):
        offer = pb.Offer(tier=1, patience_s=30.0, stream=True, **fields)
        return self._send(attempt, now, offer=offer)

    def _start(self, attempt, now):
        self._offer(attempt, now)
        effects = self._send(attempt, now, grant=pb.Grant())
        self.assertEqual(len(_sent(effects)), 1)

    def _stop(self):
        return self._handle(messages.StopRequested(), STOPPED_AT)

    def _expire(self):
        return self._handle(messages.StopExpired(), EXPIRED_AT)

    def _check_never_runs(self, attempt):
        """Send all that could start an attempt that was refused."""
        for now in (STOPPED_AT + 0.1, STOPPED_AT + 2.0):
            bodies = (
                {'grant': pb.Grant()},
                {'clear': pb.Clear()},
                {'grant': pb.Grant()},
                {'offer': pb.Offer(tier=1, patience_s=30.0)},
                {'grant': pb.Grant()},
                {'resume': pb.Resume(incarnation='i1')},
            )
            for body in bodies:
                effects = self._send(attempt, now, **body)
                self.assertEqual(_sent(effects), [])
                kinds = [
                    frame.WhichOneof('body') for frame in _frames(effects)
                ]
                self.assertNotIn('ready', kinds)
        self.assertTrue(self.core.is_drained(STOPPED_AT + 2.0))

    def test_grant_that_crosses_the_stop_starts_nothing(self):
        """Guards against an order that is refused and runs."""
        self.assertIn('ready', _kinds(self._offer('a', STARTED_AT)))
        self.assertIn('refused', _kinds(self._stop()))
        effects = self._send('a', STOPPED_AT, grant=pb.Grant())
        self.assertEqual(_kinds(effects), ['never_starts'])
        self._check_never_runs('a')

    def test_held_offer_that_is_cleared_in_a_stop_starts_nothing(self):
        """Guards against an order whose key is claimed during the stop."""
        self._offer('a', STARTED_AT, held=True)
        self.assertIn('refused', _kinds(self._stop()))
        self._check_never_runs('a')

    def test_queued_offer_is_refused_as_soon_as_the_stop_begins(self):
        """Guards against offers that wait in a sidecar that stops."""
        number = 0
        while 'ready' in _kinds(self._offer(f'a{number}', STARTED_AT)):
            number += 1
        self._stop()
        self._check_never_runs(f'a{number}')

    def test_offer_in_a_stop_is_refused(self):
        """Guards against offers that are taken in a stop."""
        self._stop()
        effects = self._offer('a', STOPPED_AT)
        self.assertEqual(_kinds(effects), ['refused'])
        self._check_never_runs('a')

    def test_call_that_was_not_sent_never_runs(self):
        """Guards against a start that is tried again during the stop."""
        self._start('a', STARTED_AT)
        self._stop()
        failed = messages.EndpointFailed('a', False, 'refused')
        effects = self._handle(failed, STOPPED_AT)
        self.assertEqual(_kinds(effects), ['never_starts'])
        self._check_never_runs('a')

    def test_cancelled_call_is_cancelled_in_a_stop_and_sent_once(self):
        """Guards against a stop that waits for what nobody reads."""
        self._offer('a', STARTED_AT, idempotent=True)
        self._send('a', STARTED_AT, grant=pb.Grant())
        self._stop()
        effects = self._send('a', STOPPED_AT, withdraw=pb.Withdraw())
        self.assertIn(messages.CancelCall('a'), effects)
        self.assertEqual(_sent(effects), [])
        failed = messages.EndpointFailed('a', True, 'cancelled')
        self.assertEqual(_sent(self._handle(failed, STOPPED_AT)), [])
        self.assertTrue(self.core.is_drained(STOPPED_AT))

    def test_broken_stream_is_resumed_during_the_stop(self):
        """Guards against streams that a stop ends too early."""
        self._start('a', STARTED_AT)
        self._stop()
        data = messages.EndpointData('a', b'x' * 10, 1)
        self._handle(data, STOPPED_AT)
        failed = messages.EndpointFailed('a', True, 'broken')
        effects = self._handle(failed, STOPPED_AT)
        self.assertIn(messages.ResumeCall('a', 10), effects)

    def test_nothing_is_sent_at_the_end_of_a_stop(self):
        """Guards against streams that are resumed and then cut off."""
        self._start('a', STARTED_AT)
        self._stop()
        self._handle(messages.EndpointData('a', b'x', 1), STOPPED_AT)
        self.assertEqual(_frames(self._expire()), [])
        failed = messages.EndpointFailed('a', True, 'broken')
        effects = self._handle(failed, EXPIRED_AT)
        self.assertEqual(_sent(effects), [])
        self.assertEqual(_frames(effects), [])
        resume = pb.Resume(incarnation='i0')
        effects = self._send('r', EXPIRED_AT, resume=resume)
        self.assertEqual(_sent(effects), [])
        self.assertEqual(_frames(effects), [])

    def test_order_that_runs_at_the_end_of_a_stop_ends_once(self):
        """Guards against two ends of an order that outlasts a stop."""
        offer = pb.Offer(tier=1, patience_s=30.0)
        self._send('a', STARTED_AT, offer=offer)
        self._send('a', STARTED_AT, grant=pb.Grant())
        self._stop()
        (finished,) = _frames(self._expire())
        self.assertFalse(finished.finished.complete)
        failed = messages.EndpointFailed('a', True, 'broken')
        self.assertEqual(_sent(self._handle(failed, EXPIRED_AT)), [])
        self._check_ended('a')

    def _check_ended(self, attempt):
        """An attempt that was ended gets no second end."""
        for event in (
            messages.EndpointData(attempt, b'y', 1),
            messages.EndpointEnded(attempt, 200, ''),
        ):
            self.assertEqual(_frames(self._handle(event, EXPIRED_AT)), [])
        self.assertTrue(self.core.is_drained(EXPIRED_AT))


def _sent(effects):
    """Return the effects that send a request to the endpoint."""
    return [effect for effect in effects if isinstance(effect, SENDS)]


def _frames(effects):
    return [e.frame for e in effects if isinstance(e, messages.SendFrame)]


def _kinds(effects):
    return [frame.WhichOneof('body') for frame in _frames(effects)]
