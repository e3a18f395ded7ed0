"""Test what a gateway reports to its peers, and how often."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import peer_link
from standins import gateway_fixtures as fixtures

NEAR, FAR = 'riga-b', 'frankfurt-a'


class RecordingTransport:
    """Record the datagrams in place of a socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Record one datagram."""
        self.sent.append((address[0], data))


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

    def test_small_fleet_reports_as_often_everywhere(self):
        """Few peers cost little, wherever they are."""
        board, _ = self._build(2, 2)
        intervals_s = {
            board.peers.idle_interval_s(d) for d in peer_link.Distance
        }
        self.assertEqual(len(intervals_s), 1)
