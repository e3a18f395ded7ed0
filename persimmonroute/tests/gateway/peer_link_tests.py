"""Test what a gateway reports to its peers, and how often."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import freshness
from persimmonroute.gateway import model
from persimmonroute.gateway import peer_link
from persimmonroute.generated import peers_pb2 as pb
from standins import gateway_fixtures as fixtures

NEAR, FAR = 'riga-b', 'frankfurt-a'


class RecordingTransport:
    """Record the datagrams in place of a socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Record one datagram."""
        self.sent.append((address[0], data))

    def is_closing(self):
        """Return that the socket is open."""
        return False


class ReportTests(unittest.TestCase):
    """Send the reports of one gateway of a fleet in two regions."""

    def _build(self, near, far):
        board = fixtures.board(name='own')
        for number in range(near):
            self._add_peer(board, NEAR, number)
        for number in range(far):
            self._add_peer(board, FAR, number)
        link = peer_link.PeerLink(
            board,
            fixtures.scheduler(board),
            '127.0.0.1:1',
            fixtures.LOCALITY,
            None,
            1.0,
        )
        link._transport = RecordingTransport()
        return board, link

    def _add_peer(self, board, domain, number):
        name = f'{domain}-{number}'
        board.peers.update_peer(name, f'{domain}:1', 0.0, domain, 1.0)

    def test_each_peer_learns_when_the_next_report_comes(self):
        """Reports to other regions are rarer, and say so."""
        _, link = self._build(33, 34)
        link.send_stopping()
        promised = {NEAR: set(), FAR: set()}
        for host, data in link._transport.sent:
            promised[host].add(peer_link.decode(data).interval_s)
        (near_s,), (far_s,) = promised[NEAR], promised[FAR]
        self.assertLess(near_s, 1.0)
        self.assertGreater(far_s, 2 * near_s)

    def test_reports_to_other_regions_do_not_grow_with_the_fleet(self):
        """An idle gateway sends few datagrams over the narrow link."""
        for near, far in ((33, 34), (149, 150), (349, 350)):
            with self.subTest(far=far):
                board, _ = self._build(near, far)
                peers = board.peers
                by_distance = {
                    distance: len(peers.at_distance(distance))
                    / peers.idle_interval_s(distance)
                    for distance in peer_link.Distance
                }
                far_per_s = by_distance[peer_link.Distance.OTHER_REGION]
                self.assertLessEqual(far_per_s, 50)
                self.assertLessEqual(sum(by_distance.values()), 101)

    def test_peers_learn_the_limits_of_endpoints(self):
        """A limit that one gateway heard is in force at the others."""
        board, link = self._build(1, 0)
        (view,) = board.runner_registry
        board.runner_registry.limits.record(view.record, 1.1, 0.0, 1.0)
        report = peer_link.decode(link.encode(1.5).SerializeToString())
        peer = fixtures.board(name='peer')
        peer.peers.update_peer('own', 'own:1', 0.0, NEAR, 1.0)
        self.assertTrue(peer.apply_peer_report(report, 7.0))
        self.assertEqual(
            peer.runner_registry.limits.find_rate(view.record), 1.1
        )
        self.assertEqual(peer.runner_registry.limits.report(7.0), [])

    def _send_offers(self, count, parts):
        """Return the datagrams of offers that are made at once."""
        _, link = self._build(1, 0)
        link._transport = RecordingTransport()
        prompt = tuple(
            model.PromptPart(f'{number:08x}', 100) for number in range(parts)
        )

        async def send():
            for number in range(count):
                offer = admission_messages.Offer(
                    offer_id=number,
                    service=fixtures.SERVICE,
                    region='riga',
                    route='draft',
                    tier=1,
                    objective_s=0.5,
                    due_s=0.5,
                    remaining_s=4.0,
                    age_s=0.0,
                    prompt=prompt,
                    excluded=(),
                    redirected=False,
                )
                link.send_admission(f'{NEAR}-0', offer)
            await asyncio.sleep(0)

        asyncio.run(send())
        return [data for _, data in link._transport.sent]

    def test_messages_that_fit_no_datagram_together_are_split(self):
        """Guards against grants lost with the long offers beside them."""
        datagrams = self._send_offers(count=9, parts=1000)
        self.assertLessEqual(max(map(len, datagrams)), 65_507)
        offers = [
            offer.offer_id
            for data in datagrams
            for offer in admission_codec.decode(
                pb.GatewayReport.FromString(data).admission
            )
        ]
        self.assertEqual(offers, list(range(9)))

    def test_messages_to_one_gateway_share_a_datagram(self):
        """Few and short messages cost one datagram."""
        self.assertEqual(len(self._send_offers(count=20, parts=10)), 1)

    def test_small_fleet_reports_as_often_everywhere(self):
        """Few peers cost little, wherever they are."""
        board, _ = self._build(2, 2)
        intervals_s = {
            board.peers.idle_interval_s(d) for d in peer_link.Distance
        }
        self.assertEqual(len(intervals_s), 1)


class ConfirmationTests(unittest.TestCase):
    """Confirm the configuration of a gateway by a peer with the store.

    Each start has a clock of its own, as after a loss of power.
    """

    def setUp(self):
        """Prepare a peer that is in touch with the store."""
        self.now = 0.0
        self.origins = {}
        self.confirmed_at = 0.0
        self.peer = self._start('peer', 1000.0)
        patch = mock.patch.object(
            clock, 'now_s', lambda: self.now + self.origins[self.running]
        )
        patch.start()
        self.addCleanup(patch.stop)

    def _start(self, name, origin_s):
        board = fixtures.board(name=name, now=self.now + origin_s)
        other = 'peer' if name == 'own' else 'own'
        board.peers.update_peer(other, '127.0.0.1:2', 0.0, NEAR, 1.0)
        link = peer_link.PeerLink(
            board,
            fixtures.scheduler(board),
            '127.0.0.1:1',
            fixtures.LOCALITY,
            mock.Mock(),
            1.0,
        )
        link._transport = RecordingTransport()
        link._incarnation = len(self.origins) + 1
        board.configuration_freshness = freshness.Freshness()
        self.origins[link] = origin_s
        return link

    def _do(self, link, function, *args):
        self.running = link
        return function(*args)

    def _confirm_peer(self):
        now = self.now + self.origins[self.peer]
        self.peer._board.configuration_freshness.confirm(now, now)
        self.confirmed_at = self.now

    def _report(self, link):
        self._do(link, link.send_stopping)
        return link._transport.sent[-1][1]

    def _check(self, own):
        """Check that nothing is dated later than the peer confirmed it."""
        now = self.now + self.origins[own]
        age_s = own._board.configuration_freshness.age_s(now)
        self.assertGreaterEqual(age_s, self.now - self.confirmed_at - 0.002)

    def test_echo_of_an_earlier_start_confirms_nothing(self):
        """Guards against keys that stay trusted after a loss of power."""
        former = self._start('own', 500.0)
        self._confirm_peer()
        self._do(self.peer, self.peer.datagram_received, *self._to(former))
        echo = self._report(self.peer)
        self.now += 30.0
        own = self._start('own', -25.0)
        self._do(own, own.datagram_received, echo, None)
        self._check(own)
        # Reports with such an age can still be sent.
        self._report(own)

    def _to(self, link):
        return self._report(link), None

    def test_any_order_of_messages_and_starts(self):
        """No confirmation is dated later than it can be known."""
        confirmed = sum(self._play(seed) for seed in range(60))
        self.assertGreater(confirmed, 600)

    def _play(self, seed):
        """Return how often the gateway was confirmed by its peer."""
        rng = random.Random(seed)
        own = self._start('own', rng.uniform(0.0, 1000.0))
        to_peer, to_own, confirmed = [], [], 0
        for _ in range(200):
            self.now += rng.expovariate(10.0)
            step = rng.random()
            if step < 0.05:
                own = self._start('own', rng.uniform(-self.now, 1000.0))
            elif step < 0.15:
                self._confirm_peer()
            elif step < 0.4:
                to_peer.append(self._report(own))
            elif step < 0.65:
                to_own.append(self._report(self.peer))
            elif step < 0.8 and to_peer:
                # Datagrams come late, in any order, twice or never.
                data = rng.choice(to_peer[-5:])
                self._do(self.peer, self.peer.datagram_received, data, None)
            elif to_own:
                data = rng.choice(to_own[-5:])
                self._do(own, own.datagram_received, data, None)
                self._check(own)
                age_s = own._board.configuration_freshness.age_s(
                    self.now + self.origins[own]
                )
                confirmed += age_s < 1e6
        return confirmed
