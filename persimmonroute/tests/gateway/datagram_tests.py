"""Test gateways whose datagrams are lost, doubled, late or out of order."""

from __future__ import annotations

import collections
import unittest

from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import groups
from persimmonroute.gateway import model
from persimmonroute.gateway import offers
from persimmonroute.gateway import peers
from persimmonroute.gateway import placement
from persimmonroute.gateway import runners
from standins import datagram_simulation
from standins import gateway_fixtures as fixtures

SEEDS = range(5)


class RandomDatagramTests(unittest.TestCase):
    """Play seeds of lossy links, restarts, cuts and searches."""

    def test_any_order_of_datagrams(self):
        """Slots are freed, requests decided and quotas kept."""
        counts = collections.Counter()
        for seed in SEEDS:
            play = datagram_simulation.play(seed)
            self.assertEqual(play.violations, [], f'seed {seed}')
            counts += play.counts
        for kind in (
            'granted',
            'granted alone',
            'rejected',
            'left',
            'search',
            'successor',
            'origin',
            'over quota',
            'kill',
            'stop',
            'cut',
            'suspend',
        ):
            self.assertGreater(counts[kind], 0, kind)


class HostTests(unittest.TestCase):
    """Drive one host with the messages of gateways."""

    def setUp(self):
        """Create a host of two endpoints that take two requests each."""
        registry = runners.RunnerRegistry()
        self.records = [fixtures.runner('r1'), fixtures.runner('r2')]
        registry.apply(self.records, (), False, 0.0)
        self.host = admission_host.AdmissionHost(
            registry, placement.Placement(fixtures.LOCALITY), fixtures.LOCALITY
        )

    def _receive(self, message, now, gateway='g1'):
        self.host.receive(gateway, 'riga-a', message, now)
        return [reply for _, reply in self.host.take_replies()]

    def _list(self, *leases):
        return messages.LeaseList(fixtures.SERVICE, 'riga', leases)

    def _count_in_flight(self):
        group = groups.Group(fixtures.SERVICE, 'riga')
        registry = self.host.find(group).runner_registry
        return {view.id: len(view.in_flight) for view in registry}

    def _keep_in_touch(self, start, end):
        """Send messages of another group, as a gateway that works does."""
        summary = messages.GroupSummary('other', 'frankfurt', {})
        now = start
        while now < end:
            self._receive(summary, now)
            self.host.tick(now)
            now += 0.1

    def test_slot_is_freed_though_its_gateway_is_in_touch(self):
        """Guards against a slot whose lost end no list repairs."""
        self._receive(_offer(1), 1.0)
        self._keep_in_touch(1.0, 2.2)
        self.assertEqual(sum(self._count_in_flight().values()), 0)

    def test_late_list_takes_no_slot_for_good(self):
        """Guards against a list that comes after the last empty one."""
        self._receive(self._list(messages.Lease(1, 'r1')), 1.0)
        self._keep_in_touch(1.0, 2.2)
        self.assertEqual(sum(self._count_in_flight().values()), 0)

    def test_listed_request_keeps_its_slot(self):
        """What a gateway lists is in use, however long it takes."""
        (grant,) = self._receive(_offer(1), 1.0)
        listed = self._list(messages.Lease(1, grant.runner_id))
        for step in range(20):
            now = 1.2 + 0.2 * step
            self._receive(listed, now)
            self.host.tick(now)
        self.assertEqual(self._count_in_flight()[grant.runner_id], 1)

    def test_request_takes_one_slot_though_granted_twice(self):
        """Guards against a slot beside the one that a gateway lists."""
        (grant,) = self._receive(_offer(1), 1.0)
        (used,) = {'r1', 'r2'} - {grant.runner_id}
        for now in (1.1, 1.3):
            self._receive(self._list(messages.Lease(1, used)), now)
        self.assertEqual(
            self._count_in_flight(), {used: 1, grant.runner_id: 0}
        )

    def test_returned_grant_frees_no_other_endpoint(self):
        """Guards against an endpoint in use that counts as free."""
        (grant,) = self._receive(_offer(1), 1.0)
        (other,) = {'r1', 'r2'} - {grant.runner_id}
        returned = messages.OfferEnd(1, model.Ending.ABANDONED, None, other)
        self._receive(returned, 1.1)
        self.assertEqual(self._count_in_flight()[grant.runner_id], 1)


class ClientTests(unittest.TestCase):
    """Drive the offers of one gateway to two hosts."""

    def setUp(self):
        """Create a client with two hosts for its only group."""
        registry = runners.RunnerRegistry()
        records = [fixtures.runner('r1'), fixtures.runner('r2')]
        registry.apply(records, (), False, 0.0)
        registered = peers.PeerRegistry('own', fixtures.LOCALITY)
        for name in ('host-1', 'host-2'):
            registered.update_peer(name, '127.0.0.1:1', 0.0, 'riga-a', 9.0)
        own = groups.Member('own', 'riga-a', 0.1)
        self.directory = groups.HostDirectory(
            own, fixtures.LOCALITY, registered
        )
        self.client = offers.OfferClient(
            registry, self.directory, fixtures.LOCALITY
        )

    def _begin(self):
        """Return a request granted by the second host, and both hosts."""
        pending = fixtures.pending_request(1.0)
        self.client.submit(pending, 1.0)
        first = self.client.take_effects()[0].peer
        (second,) = {'host-1', 'host-2'} - {first}
        self.client.receive(first, messages.NotHost(pending.offer_id), 1.01)
        grant = messages.Grant(pending.offer_id, 'r1', 1)
        self.client.receive(second, grant, 1.02)
        self.client.take_effects()
        return pending, first, second

    def _receive_grant(self, pending, host, runner_id):
        grant = messages.Grant(pending.offer_id, runner_id, 1)
        self.client.receive(host, grant, 1.1)
        return self.client.take_effects()

    def test_second_grant_of_another_host_is_returned(self):
        """Guards against a slot held by two hosts for one request."""
        pending, first, second = self._begin()
        (returned,) = self._receive_grant(pending, first, 'r2')
        self.assertEqual(returned.peer, first)
        self.assertEqual(returned.message.runner_id, 'r2')
        self.assertEqual(self._receive_grant(pending, second, 'r1'), [])

    def test_second_grant_of_the_same_host_is_returned(self):
        """A host that was restarted has forgotten its first grant."""
        pending, _, second = self._begin()
        (returned,) = self._receive_grant(pending, second, 'r2')
        self.assertEqual(returned.message.runner_id, 'r2')

    def test_requests_are_listed_to_the_host_that_granted_them(self):
        """Guards against a slot that its host takes for given up."""
        _, first, second = self._begin()
        # The first host responds again, and is the present one.
        self.directory.record_response(first)
        self.client.tick(1.3)
        listed = {
            effect.peer: effect.message.leases
            for effect in self.client.take_effects()
        }
        self.assertEqual(listed.keys(), {first, second})
        self.assertTrue(all(listed.values()))


def _offer(offer_id):
    return messages.Offer(
        offer_id=offer_id,
        service=fixtures.SERVICE,
        region='riga',
        route='draft',
        tier=1,
        objective_s=0.5,
        due_s=0.5,
        remaining_s=4.0,
        age_s=0.0,
        prompt=(),
        excluded=(),
        redirected=False,
    )
