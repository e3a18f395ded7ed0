"""Test the estimated speed and capacity of endpoints."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import groups
from persimmonroute.gateway import model
from persimmonroute.gateway import offers
from persimmonroute.gateway import peers
from persimmonroute.gateway import placement
from persimmonroute.gateway import runners
from persimmonroute.gateway import slots
from standins import gateway_fixtures as fixtures

SLOTS = 5
PROMPT_TOKENS = 2000
# Time of a request at an endpoint of usual speed.
FIRST_BYTE_S = 0.04
SLOT_S = 0.08


def _load(cost_percent=100):
    return model.RunnerLoad(1, 0, SLOTS, cost_percent)


class CapacityCase(unittest.TestCase):
    """Play attempts at endpoints whose speed is known."""

    def setUp(self):
        """Register three endpoints that report the usual cost."""
        self.registry = runners.RunnerRegistry()
        self.now = 0.0
        self.registry.apply(
            [fixtures.runner(name, slots=SLOTS) for name in ('a', 'b', 'c')],
            (),
            False,
            self.now,
        )
        self.policy = slots.OwnedSlots(self.registry, 0.1)

    def view(self, name):
        """Return the view of an endpoint."""
        return self.registry.find(name)

    def pending(self, tokens=PROMPT_TOKENS):
        """Return a request."""
        return fixtures.pending_request(
            self.now, prompt_tokens=tokens, output_tokens=0
        )

    def attempt(self, name, factor=1.0, cost_percent=100, tokens=None):
        """Play one attempt that takes factor times as long as usual."""
        view = self.view(name)
        pending = self.pending(tokens or PROMPT_TOKENS)
        size = pending.request.prompt_tokens / PROMPT_TOKENS
        pending.runner = view
        pending.sent_at = self.now
        view.record_sent(pending, self.now)
        self.now += factor * size * FIRST_BYTE_S
        pending.first_byte_at = self.now
        pending.reported_load = _load(cost_percent)
        self.registry.record_load(view, pending.reported_load, self.now)
        self.now += factor * size * (SLOT_S - FIRST_BYTE_S)
        self.registry.record_end(
            pending, view, model.Ending.ANSWERED, self.now
        )
        self.registry.record_capacity(pending, view, self.now)
        pending.runner = None

    def learn(self, count=60, **factors):
        """Play attempts at all endpoints, with a factor for some."""
        for number in range(count):
            for name in ('a', 'b', 'c'):
                self.attempt(
                    name, factors.get(name, 1.0), tokens=500 + 100 * number
                )

    def expect(self, name, tokens=PROMPT_TOKENS):
        """Return the expected Times of a request now."""
        return self.view(name).expect(self.pending(tokens), self.now)


class SpeedTests(CapacityCase):
    """Tell slow endpoints from large requests."""

    def test_lasting_speed_is_free_of_the_size(self):
        """Guards against large requests that make an endpoint look slow."""
        for number in range(60):
            self.attempt('a', tokens=500 + 50 * number)
            self.attempt('b', tokens=5000 + 500 * number)
        a, b = (self.expect(name).first_byte_s for name in ('a', 'b'))
        self.assertAlmostEqual(a / b, 1.0, delta=0.15)

    def test_slow_endpoint_is_expected_to_take_longer(self):
        """Guards against equal shares for unequal machines."""
        self.learn(b=2.0, c=0.6)
        a, b, c = (self.expect(name).first_byte_s for name in 'abc')
        self.assertAlmostEqual(b / a, 2.0, delta=0.3)
        self.assertAlmostEqual(c / a, 0.6, delta=0.1)

    def test_belief_returns_to_the_usual(self):
        """Guards against an endpoint that is starved for an old word."""
        self.learn(b=2.5)
        slow = self.expect('b').first_byte_s
        self.now += 5 * endpoint_capacity.SPEED_LIFE_S
        a, b = (self.expect(name).first_byte_s for name in 'ab')
        self.assertAlmostEqual(b / a, 1.0, delta=0.1)
        self.assertLess(b, 0.7 * slow)

    def test_endpoint_that_is_born_again_is_unknown(self):
        """Guards against the beliefs about an earlier incarnation."""
        self.learn(b=2.5)
        self.registry.apply(
            [fixtures.runner('b', slots=SLOTS, started_at_ms=2)],
            (),
            False,
            self.now,
        )
        belief = self.view('b').estimate.describe(self.now)
        self.assertEqual((belief.lasting, belief.attempts), (1.0, 0))
        self.assertIsNone(belief.cost_percent)

    def test_endpoints_that_report_nothing_are_treated_as_before(self):
        """Guards against effects where no cost of work is reported."""
        for _ in range(30):
            self.attempt('a', cost_percent=None)
        self.assertIsNone(self.view('a').estimate)
        self.assertIsNone(self.expect('a'))
        self.assertEqual(self.policy.capacity_of(self.view('a'), 1.0), SLOTS)
        pending = self.pending()
        self.assertEqual(
            self.registry.expect_first_byte_s(pending),
            self.registry.first_byte_s['draft'],
        )

    def test_attempt_that_takes_no_time(self):
        """Guards against a division by a time of zero."""
        self.learn()
        self.attempt('a', 0.0)
        self.assertGreater(self.expect('a').first_byte_s, 0.0)

    def test_estimates_are_bounded(self):
        """Guards against endpoints that come and go for ever."""
        capacities = endpoint_capacity.EndpointCapacities()
        for number in range(endpoint_capacity.MAX_ENDPOINTS + 10):
            record = fixtures.runner(f'r{number}')
            capacities.record_load(record, _load(), 1.0)
        self.assertEqual(
            len(capacities._estimates), endpoint_capacity.MAX_ENDPOINTS
        )


class CostTests(CapacityCase):
    """Believe a reported cost as long as it is fresh and right."""

    def test_fresh_cost_counts_and_expires(self):
        """Guards against a stale figure that outlives its slowdown."""
        self.learn()
        usual = self.expect('a').first_byte_s
        self.registry.record_load(self.view('a'), _load(250), self.now)
        self.assertGreater(self.expect('a').first_byte_s, 2 * usual)
        self.now += endpoint_capacity.MAX_COST_AGE_S + 0.1
        self.assertAlmostEqual(self.expect('a').first_byte_s, usual, 2)

    def test_older_figure_does_not_replace_a_newer(self):
        """Guards against messages that arrive in another order."""
        self.learn()
        self.registry.record_load(self.view('a'), _load(100), self.now)
        usual = self.expect('a').first_byte_s
        self.registry.record_load(self.view('a'), _load(250), self.now - 0.2)
        self.assertEqual(self.expect('a').first_byte_s, usual)

    def test_contradicted_figure_loses_its_weight(self):
        """Guards against an endpoint that always claims to be slow."""
        self.learn()
        for _ in range(60):
            self.attempt('a', 1.0, cost_percent=250)
        self.assertLess(self.view('a').estimate.trust, 0.3)
        ratio = self.expect('a').first_byte_s / self.expect('b').first_byte_s
        self.assertLess(ratio, 1.4)

    def test_confirmed_figure_keeps_its_weight(self):
        """Guards against trust that is lost for no reason."""
        self.learn()
        for number in range(60):
            if number % 5:
                self.attempt('a')
            else:
                self.attempt('a', 2.5, cost_percent=250)
        self.assertGreater(self.view('a').estimate.trust, 0.8)

    def test_extreme_figures_are_bounded(self):
        """Guards against figures that no machine can have."""
        self.learn()
        for percent in (0, 10**9):
            self.registry.record_load(self.view('a'), _load(percent), self.now)
            first_byte_s = self.expect('a').first_byte_s
            self.assertGreater(first_byte_s, FIRST_BYTE_S / 20)
            self.assertLess(first_byte_s, FIRST_BYTE_S * 50)


class LimitTests(CapacityCase):
    """Send an endpoint what it handles well."""

    def test_unknown_endpoint_gets_all_its_slots(self):
        """Guards against limits that nothing justifies."""
        self.attempt('a')
        free = self.policy.find_free(fixtures.SERVICE, 0, 0, self.now)
        self.assertGreaterEqual(free[self.view('a')], SLOTS)

    def test_slow_endpoint_is_sent_fewer_but_some(self):
        """Guards against slots that fill up at a slow machine, or idle."""
        for _ in range(60):
            for name, factor in (('a', 1.0), ('b', 2.5), ('c', 1.0)):
                self.attempt(name, factor, tokens=500)
        self.registry.record_load(self.view('b'), _load(250), self.now)
        free = self.policy.find_free(fixtures.SERVICE, 0, 0, self.now)
        self.assertLess(free[self.view('b')], free[self.view('a')])
        self.assertGreaterEqual(free[self.view('b')], 1)

    def test_capacity_follows_the_speed(self):
        """Guards against waits that count a slow slot like a fast one."""
        self.learn(b=2.5)
        a, b = (
            self.policy.capacity_of(self.view(name), self.now) for name in 'ab'
        )
        self.assertGreater(a, 1.5 * b)

    def test_request_goes_where_its_first_byte_is_soonest(self):
        """Guards against a fast idle endpoint that is passed over."""
        self.learn(b=2.5, c=0.6)
        choice = placement.Placement(fixtures.LOCALITY).choose(
            self.pending(),
            [self.view(name) for name in 'abc'],
            self.policy.limit_of,
            self.now,
        )
        self.assertIs(choice, self.view('c'))


class RankTests(CapacityCase):
    """Tell late requests by their own size."""

    def test_small_request_is_expected_sooner(self):
        """Guards against small requests that count as late too soon."""
        self.learn()
        small, large = (
            self.registry.expect_first_byte_s(self.pending(tokens))
            for tokens in (100, 2000)
        )
        self.assertLess(small, 0.5 * large)

    def test_large_request_is_not_late_for_its_size_alone(self):
        """Guards against large requests that always go last."""
        self.learn()
        large, largest = (
            self.registry.expect_first_byte_s(self.pending(tokens))
            for tokens in (8000, 80_000)
        )
        self.assertEqual(large, largest)


class MessageTests(unittest.TestCase):
    """Tell hosts what endpoints reported."""

    def setUp(self):
        """Create a client whose group another gateway hosts, and the host."""
        record = fixtures.runner('r1')
        self.registry = runners.RunnerRegistry()
        self.registry.apply([record], (), False, 0.0)
        registered = peers.PeerRegistry('own', fixtures.LOCALITY)
        registered.update_peer('host', '127.0.0.1:1', 0.0, 'riga-a', 9.0)
        own = groups.Member('own', 'riga-a', 0.1)
        self.client = offers.OfferClient(
            self.registry,
            groups.HostDirectory(own, fixtures.LOCALITY, registered),
            fixtures.LOCALITY,
        )
        self.host_registry = runners.RunnerRegistry()
        self.host_registry.apply([record], (), False, 0.0)
        self.host = admission_host.AdmissionHost(
            self.host_registry,
            placement.Placement(fixtures.LOCALITY),
            fixtures.LOCALITY,
        )

    def _offer(self, now):
        self.client.submit(fixtures.pending_request(now), now)
        return self.client.take_effects()[-1].message

    def _hear(self, cost_percent, now):
        view = self.registry.find('r1')
        self.registry.record_load(view, _load(cost_percent), now)

    def _believe(self, now):
        view = self.host_registry.find('r1')
        return view.estimate and view.estimate.describe(now).cost_percent

    def test_offer_tells_a_figure_once(self):
        """Guards against figures that arrive with the end of an attempt."""
        self._hear(250, 1.0)
        offer = self._offer(1.1)
        (report,) = offer.loads
        self.assertEqual(report.load.cost_percent, 250)
        self.assertAlmostEqual(report.age_s, 0.1)
        self.assertEqual(self._offer(1.2).loads, ())
        self.host.receive('own', 'riga-a', offer, 1.1)
        self.assertEqual(self._believe(1.1), 250)

    def test_old_figure_is_not_told(self):
        """Guards against bytes for what the host would not believe."""
        self._hear(250, 1.0)
        late = 1.0 + offers.MAX_LOAD_AGE_S + 0.1
        self.assertEqual(self._offer(late).loads, ())

    def test_lease_list_tells_figures(self):
        """Guards against figures that wait for the next offer."""
        offer = self._offer(0.9)
        grant = messages.Grant(offer.offer_id, 'r1', 1)
        self.client.receive('host', grant, 0.95)
        self.client.take_effects()
        self._hear(250, 1.0)
        self.client.tick(1.05)
        (listed,) = [
            effect.message
            for effect in self.client.take_effects()
            if isinstance(effect.message, messages.LeaseList)
        ]
        self.host.receive('own', 'riga-a', listed, 1.05)
        self.assertEqual(self._believe(1.05), 250)

    def test_report_of_another_incarnation_is_ignored(self):
        """Guards against figures of a process that is gone."""
        report = messages.LoadReport('r1', 0, 0.0, _load(250))
        offer = self._offer(1.0)._replace(loads=(report,))
        self.host.receive('own', 'riga-a', offer, 1.0)
        self.assertIsNone(self._believe(1.0))

    def test_end_of_an_attempt_does_not_renew_an_old_figure(self):
        """Guards against a figure that counts from the end of its attempt."""
        offer = self._offer(1.0)
        self.host.receive('own', 'riga-a', offer, 1.0)
        end = messages.OfferEnd(
            offer.offer_id, model.Ending.ANSWERED, 0.1, '', _load(250)
        )
        self.host.receive('own', 'riga-a', end, 3.0)
        hosted = self.host.find(groups.Group(fixtures.SERVICE, 'riga'))
        view = hosted.runner_registry.find('r1')
        self.assertAlmostEqual(view.load_reported_at, 1.1)

    def test_new_host_knows_what_it_observed_itself(self):
        """Guards against a group that begins without any estimate."""
        self._hear(250, 1.0)
        host = admission_host.AdmissionHost(
            self.registry,
            placement.Placement(fixtures.LOCALITY),
            fixtures.LOCALITY,
        )
        host.receive('g1', 'riga-a', self._offer(1.0), 1.0)
        hosted = host.find(groups.Group(fixtures.SERVICE, 'riga'))
        view = hosted.runner_registry.find('r1')
        self.assertIs(view.estimate, self.registry.find('r1').estimate)

    def test_services_without_cost_get_the_same_messages(self):
        """Guards against bytes where no cost of work is reported."""
        load = model.RunnerLoad(1, 0, SLOTS)
        self.registry.record_load(self.registry.find('r1'), load, 1.0)
        offer = self._offer(1.1)
        self.assertEqual((offer.loads, offer.prompt_tokens), ((), 0))

    def test_reports_survive_the_way(self):
        """Guards against fields that the encoding leaves out."""
        report = messages.LoadReport('r1', 7, 0.25, _load(130))
        sent = [
            self._offer(1.0)._replace(loads=(report,), prompt_tokens=2950),
            messages.LeaseList(
                'llm', 'riga', (messages.Lease(1, 'r1'),), (report,)
            ),
        ]
        decoded = admission_codec.decode(admission_codec.encode(sent))
        self.assertEqual(decoded[0].loads, (report,))
        self.assertEqual(decoded[0].prompt_tokens, 2950)
        self.assertEqual(decoded[1], sent[1])


class UnreadableTests(unittest.TestCase):
    """Count loads that cannot be read."""

    def test_first_of_each_service_is_told(self):
        """Guards against a log line for each response."""
        capacities = endpoint_capacity.EndpointCapacities()
        told = [capacities.record_unreadable(s) for s in ('a', 'a', 'b')]
        self.assertEqual(told, [True, False, True])
        self.assertEqual(capacities.unreadable, {'a': 2, 'b': 1})
