"""Test the parts of rollouts that need no other gateway."""

from __future__ import annotations

import math
import unittest

from persimmonroute.gateway import admission_codec
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import groups
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway.rollout_control import Order
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway.rollout_control import RolloutPlan
from persimmonroute.gateway import rollout_evidence
from persimmonroute.gateway import rollout_exposure
from persimmonroute.gateway import rollout_reports
from persimmonroute.gateway import rollouts
from persimmonroute.gateway import runners
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.generated import peers_pb2 as pb
from standins import gateway_fixtures as fixtures

ORDER = Order(fixtures.SERVICE, 'v2', 12.0, 7)
GROUP = groups.Group(fixtures.SERVICE, 'riga')


def plan(phase=Phase.CANARY, share=0.5, endpoints=0, revision=7):
    """Return a plan for the order."""
    return RolloutPlan(
        fixtures.SERVICE, 'v2', revision, phase, share, endpoints, ''
    )


def views():
    """Return the views of two endpoints of each version."""
    return [
        runners.RunnerView(fixtures.runner(f'{v}-{n}', version=v), 0.0)
        for v in ('v1', 'v2')
        for n in range(2)
    ]


def versions(found):
    """Return the versions of views."""
    return {view.record.version for view in found}


class ExposureLimitTests(unittest.TestCase):
    """Follow plans at the host of a group."""

    def setUp(self):
        """Prepare a limit that follows an order without a plan."""
        self.limit = rollout_exposure.ExposureLimit()
        self.limit.expect(plan(Phase.WAITING))

    def _versions(self, now, version=None):
        return versions(self.limit.filter(views(), version, now))

    def test_nothing_goes_to_the_target_before_the_first_plan(self):
        """Guards against a request that no controller has allowed."""
        self.assertEqual(self._versions(0.0), {'v1'})

    def test_plan_expires(self):
        """Guards against a host that goes on without its controller."""
        self.limit.apply(plan(), 1.0)
        self.assertEqual(self._versions(1.9), {'v2'})
        self.assertEqual(self._versions(2.1), {'v1'})
        self.limit.apply(plan(Phase.CUTOVER, 1.0), 3.0)
        self.assertEqual(self._versions(3.5), {'v2'})
        self.assertEqual(self._versions(4.1), {'v1'})

    def test_delayed_plan_does_not_replace_a_newer_one(self):
        """Datagrams may arrive in any order."""
        self.limit.apply(plan(share=0.0), 2.0)
        self.limit.apply(plan(share=0.5), 1.0)
        self.assertEqual(self.limit.plan.share, 0.0)

    def test_unused_grants_are_lost_when_the_share_becomes_zero(self):
        """Guards against requests after the budget is spent."""
        self.limit.apply(plan(), 1.0)
        for _ in range(10):
            self.limit.record_grant('v1')
        self.limit.apply(plan(share=0.0), 1.1)
        self.assertEqual(self._versions(1.2), {'v1'})

    def test_grant_that_is_due_goes_to_the_target(self):
        """Guards against a target that idle endpoints keep unused."""
        self.limit.apply(plan(), 1.0)
        self.assertEqual(self._versions(1.1), {'v2'})
        excluded = ('v2-0', 'v2-1')
        found = self.limit.filter(views(), None, 1.1, excluded)
        self.assertEqual(versions(found), {'v1'})

    def test_ramp_uses_few_endpoints(self):
        """One endpoint of the target gets its full load."""
        self.limit.apply(plan(Phase.RAMP, endpoints=1), 1.0)
        self.assertEqual(len(self.limit.filter(views(), None, 1.1)), 1)

    def test_share_holds_over_many_grants(self):
        """Guards against a host that exposes more than planned."""
        self.limit.apply(plan(share=0.1), 1.0)
        exposed = 0
        for _ in range(1000):
            (version,) = self._versions(1.5)
            self.limit.record_grant(version)
            exposed += version == 'v2'
        self.assertLessEqual(exposed, 102)
        self.assertGreaterEqual(exposed, 98)

    def test_outcomes_are_final(self):
        """Completed goes before rolled back, and both before all others."""
        self.limit.apply(plan(Phase.ROLLED_BACK, 0.0), 1.0)
        self.limit.apply(plan(), 2.0)
        self.assertEqual(self._versions(2.1), {'v1'})
        self.limit.apply(plan(Phase.COMPLETED, 1.0), 3.0)
        self.limit.apply(plan(Phase.ROLLED_BACK, 0.0), 4.0)
        self.assertEqual(self._versions(9.0), {'v2'})

    def test_stream_goes_on_at_its_version(self):
        """Streams are not limited, except after a rollback."""
        self.limit.apply(plan(share=0.0), 1.0)
        self.assertIn('v2', self._versions(1.1, 'v2'))
        self.limit.apply(plan(Phase.ROLLED_BACK, 0.0), 2.0)
        self.assertEqual(self._versions(2.1, 'v2'), {'v1'})


class ServiceRolloutTests(unittest.TestCase):
    """Track the orders and responses of one gateway."""

    def setUp(self):
        """Prepare the order."""
        self.rollouts = rollouts.Rollouts(runners.RunnerRegistry())
        self.rollouts.adopt(ORDER, 0.0, 1)
        self.policy = rollouts.GroupPolicy(self.rollouts, GROUP)

    @property
    def _rollout(self):
        return self.rollouts.find(fixtures.SERVICE)

    def _end(self, ending, now, view=3, time_s=None, pending=None):
        pending = pending or fixtures.pending_request()
        pending.cold = False
        self.policy.record_end(pending, views()[view], ending, time_s, now)

    def _count(self, version='v2'):
        tally = self._rollout.evidence.count(version)
        return tally.answered, tally.failed

    def test_order_is_adopted_once(self):
        """Guards against an order that starts again with each read."""
        self.assertFalse(self.rollouts.adopt(ORDER, 5.0, 1))
        self.assertFalse(self.rollouts.adopt(ORDER, 5.0, 2))
        older = ORDER._replace(revision=3, target='v0')
        self.assertFalse(self.rollouts.adopt(older, 5.0, 1))

    def test_orders_after_a_restore(self):
        """Versions of rows start again, but old orders are not new ones."""
        newer = ORDER._replace(revision=20, target='v3')
        self.assertTrue(self.rollouts.adopt(newer, 1.0, 1))
        self.assertFalse(self.rollouts.adopt(ORDER, 2.0, 2))
        again = ORDER._replace(revision=15, target='v4')
        self.assertTrue(self.rollouts.adopt(again, 3.0, 2))

    def test_versions_of_replaced_orders_are_not_used(self):
        """Guards against a version that was never accepted."""
        self.rollouts.adopt(ORDER._replace(revision=8, target='v3'), 1.0, 1)
        pending = fixtures.pending_request()
        found = self.policy.filter(pending, views(), 1.0)
        self.assertEqual(versions(found), {'v1'})
        self.rollouts.adopt(ORDER._replace(revision=9), 2.0, 1)
        self.assertEqual(self._rollout.rejected, ('v3',))

    def test_accepted_version_is_one_of_the_others_later(self):
        """The next order begins with what the last one completed."""
        self._rollout.record_stored(Phase.COMPLETED, '', 1.0)
        self.rollouts.adopt(ORDER._replace(revision=8, target='v3'), 2.0, 1)
        self.assertEqual(self._rollout.rejected, ())
        # An older copy of the store has the order before it was completed.
        self._rollout.reject(['v2'])
        self.assertEqual(self._rollout.rejected, ())

    def test_completed_rollout_ends(self):
        """Versions that come later need no order."""
        self._rollout.record_stored(Phase.COMPLETED, '', 1.0)
        pending = fixtures.pending_request()
        found = self.policy.filter(pending, views(), 2.0)
        self.assertEqual(versions(found), {'v2'})
        later = 2.0 + rollouts.COMPLETED_HOLD_S
        found = self.policy.filter(pending, views(), later)
        self.assertEqual(versions(found), {'v1', 'v2'})

    def test_order_that_may_have_ended_long_ago(self):
        """Guards against a gateway that starts and refuses all requests."""
        pending = fixtures.pending_request()
        self._rollout.unconfirmed = True
        found = self.policy.filter(pending, views()[2:], 1.0)
        self.assertEqual(versions(found), {'v2'})
        self.rollouts._runner_registry.apply(
            [fixtures.runner('v1-0')], (), False, 1.0
        )
        self.assertEqual(self.policy.filter(pending, views()[2:], 1.0), [])
        self._rollout.unconfirmed = False
        self.rollouts._runner_registry.apply((), ['v1-0'], False, 2.0)
        self.assertEqual(self.policy.filter(pending, views()[2:], 2.0), [])

    def test_only_responses_are_evidence(self):
        """Guards against blaming a version for what it did not do."""
        for ending in (
            Ending.UNREACHABLE,
            Ending.REFUSED,
            Ending.MISDIRECTED,
            Ending.ABANDONED,
        ):
            self._end(ending, 1.0)
        self.assertEqual(self._count(), (0, 0))
        self._end(Ending.ANSWERED, 1.0, time_s=0.2)
        self._end(Ending.FAILED, 1.0)
        self.assertEqual(self._count(), (1, 1))

    def test_stopping_endpoint_breaks_connections(self):
        """That is no bad response."""
        stopping = views()[3]
        stopping.announced_leaving = True
        pending = fixtures.pending_request()
        pending.cold = False
        self.policy.record_end(pending, stopping, Ending.BROKEN, None, 1.0)
        self.assertEqual(self._count(), (0, 0))

    def test_crash_is_one_bad_response(self):
        """Guards against a rollback after one crash of a good version."""
        for number in range(8):
            self._end(Ending.BROKEN, 1.0 + number / 100)
        self.assertEqual(self._count(), (0, 1))
        self._end(Ending.ANSWERED, 1.1, time_s=0.2)
        self._end(Ending.BROKEN, 1.2)
        self._end(Ending.BROKEN, 1.8)
        self.assertEqual(self._count(), (1, 3))

    def test_attempt_that_its_deadline_ends_was_slow(self):
        """Guards against a version whose slowest responses do not count."""
        pending = fixtures.pending_request(remaining_s=4.0)
        pending.sent_at = 0.5
        self._end(Ending.ABANDONED, 3.98, pending=pending)
        tally = self._rollout.evidence.count('v2')
        self.assertEqual(tally.answered, 1)
        self.assertAlmostEqual(tally.log_sum, math.log(3.48))


class EvidenceTests(unittest.TestCase):
    """Judge many responses."""

    def test_version_that_turns_bad_late(self):
        """Guards against many good responses that hide the last bad ones."""
        evidence = rollout_evidence.VersionEvidence()
        for number in range(4000):
            now = number / 100
            if number == 3800:
                before = evidence.judge('v2', now)
            evidence.record('v1', 'draft', False, 0.1, now)
            failed = now > 38.5 and number % 2 == 0
            evidence.record('v2', 'draft', failed, 0.1, now)
        self.assertIs(
            evidence.judge('v2', 40.0).verdict, rollout_evidence.Verdict.BAD
        )
        self.assertIsNot(before.verdict, rollout_evidence.Verdict.BAD)

    def test_many_failures_of_all_versions(self):
        """Guards against a probability that underflows."""
        evidence = rollout_evidence.VersionEvidence()
        for number in range(10_000):
            evidence.record('v1', 'draft', number % 2 == 0, 0.1, 1.0)
            evidence.record('v2', 'draft', number % 4 > 0, 0.1, 1.0)
        self.assertIs(
            evidence.judge('v2').verdict, rollout_evidence.Verdict.BAD
        )

    def test_few_responses_of_the_others(self):
        """Guards against a rate of failures that is not known yet."""
        evidence = rollout_evidence.VersionEvidence()
        for number in range(9):
            evidence.record('v1', 'draft', False, 0.1, number / 10)
            evidence.record('v2', 'draft', number % 3 == 0, 0.1, number / 10)
        self.assertIs(
            evidence.judge('v2').verdict, rollout_evidence.Verdict.UNDECIDED
        )
        for number in range(400):
            evidence.record('v1', 'draft', False, 0.1, number / 100)
        self.assertIsNot(
            evidence.judge('v2').verdict, rollout_evidence.Verdict.UNDECIDED
        )

    def test_last_moments_are_compared_with_the_usual_failures(self):
        """Guards against a route that fails often, but not just now."""
        evidence = rollout_evidence.VersionEvidence()
        for number in range(1000):
            failed = number % 7 == 0
            evidence.record('v1', 'draft', failed, 0.1, number / 100)
        for number in range(6):
            evidence.record('v1', 'draft', False, 0.1, 20.0)
            evidence.record('v2', 'draft', number % 2 == 0, 0.1, 20.0)
        self.assertIsNot(
            evidence.judge('v2', 20.0).verdict, rollout_evidence.Verdict.BAD
        )

    def test_long_order_has_few_slices(self):
        """Guards against reports that grow with the duration."""
        slice_s = rollout_evidence.find_slice_s(3600.0)
        evidence = rollout_evidence.VersionEvidence(slice_s)
        for second in range(3600):
            evidence.record('v1', 'draft', False, 0.1, float(second))
        self.assertLessEqual(
            len(evidence.tallies), rollout_evidence.MAX_SLICES + 1
        )


class DecisionTimeTests(unittest.TestCase):
    """Find the time at which the cutover begins."""

    def _find_cutover(self, per_s):
        """Return when an order of 12 s is decided at a rate of requests."""
        control = rollout_control.RolloutControl(
            ORDER, rollout_control.Bounds(0.1, 50.0, 5.0), 0.0
        )
        judgement = rollout_evidence.Judgement(
            rollout_evidence.Verdict.GOOD, ''
        )
        for tick in range(120):
            now = tick / 10
            requests = int(per_s * now)
            planned = control.advance(
                rollout_control.Situation(
                    now, judgement, requests, 0, 2, 2, 5, True
                )
            )
            if planned.phase is Phase.CUTOVER:
                return now
            control.record_phase(planned.phase, now)
        return None

    def test_late_fault_is_seen_where_requests_are_many(self):
        """Guards against a decision long before the budget is needed."""
        self.assertAlmostEqual(self._find_cutover(10.0), 9.0, delta=0.11)
        self.assertGreater(self._find_cutover(200.0), 9.6)
        # The time for the cutover, and for the store, is left.
        self.assertLess(self._find_cutover(100_000.0), 10.4)


class ReportTests(unittest.TestCase):
    """Exchange reports, some of which are lost."""

    def setUp(self):
        """Prepare a host with a few responses."""
        self.rollout = rollouts.ServiceRollout(ORDER, 0.0)
        self.sender = rollout_reports.EvidenceSender(self.rollout)
        self.collector = rollout_reports.EvidenceCollector(ORDER)
        self.now = 0.0

    def _record(self, count=1):
        for _ in range(count):
            self.rollout.evidence.record('v2', 'draft', False, 0.1, self.now)
            self.rollout.record_grant('riga', 'v2')

    def _report(self, controller='c'):
        self.now += 0.25
        return self.sender.build(controller, ('riga',), 0, self.now)

    def _receive(self, report, collector=None):
        collector = collector or self.collector
        return collector.receive('host', report, self.now)

    def _confirm(self, report, confirmed, controller='c'):
        decision = messages.RolloutDecision(
            plan(), report.incarnation, report.number, confirmed
        )
        return self.sender.confirm(controller, decision, self.now)

    def _count(self, collector=None):
        return (collector or self.collector).merge().count('v2').answered

    def test_only_changes_are_sent(self):
        """Guards against reports that grow with the time."""
        self._record(3)
        report = self._report()
        self.assertEqual(self._confirm(report, self._receive(report)), 0.25)
        self.assertEqual(self._report().tallies, {})
        self.now += 5.0
        self._record()
        report = self._report()
        self.assertEqual(len(report.tallies), 1)
        self._receive(report)
        self.assertEqual(self._count(), 4)

    def test_lost_and_repeated_reports(self):
        """What is not confirmed is sent again, and counted once."""
        self._record(3)
        self._report()
        self._record(2)
        report = self._report()
        for _ in range(3):
            self._receive(report)
        self.assertEqual(self._count(), 5)
        self.assertEqual(self.collector.exposed, 5)

    def test_another_controller_gets_everything(self):
        """Guards against evidence that is lost with a controller."""
        self._record(3)
        report = self._report()
        self._confirm(report, self._receive(report))
        other = rollout_reports.EvidenceCollector(ORDER)
        self._receive(self._report('other'), other)
        self.assertEqual(self._count(other), 3)

    def test_controller_that_starts_again_gets_everything(self):
        """It lacks the base of the next report, and says so."""
        self._record(3)
        report = self._report()
        self._confirm(report, self._receive(report))
        again = rollout_reports.EvidenceCollector(ORDER)
        report = self._report()
        confirmed = self._receive(report, again)
        self.assertEqual(confirmed, 0)
        self._confirm(report, confirmed)
        self._receive(self._report(), again)
        self.assertEqual(self._count(again), 3)

    def test_host_that_starts_again(self):
        """Its former counts are kept beside those that start again."""
        self._record(3)
        self._receive(self._report())
        self.rollout = rollouts.ServiceRollout(ORDER, 0.0)
        self.sender = rollout_reports.EvidenceSender(self.rollout)
        self._record(2)
        self._receive(self._report())
        self.assertEqual(self._count(), 5)
        self.assertEqual(self.collector.exposed, 5)

    def test_silent_host_does_not_cover_its_region(self):
        """Guards against an outcome without the evidence of a host."""
        self._receive(self._report())
        self.assertTrue(self.collector.covers(['riga'], self.now))
        self.assertFalse(self.collector.covers(['riga', 'x'], self.now))
        self.assertFalse(self.collector.covers(['riga'], self.now + 1.1))


class CodecTests(unittest.TestCase):
    """Send messages as datagrams."""

    def _pass(self, message):
        encoded = admission_codec.encode([message])
        return admission_codec.decode(
            pb.Admission.FromString(encoded.SerializeToString())
        )

    def test_messages_arrive_as_sent(self):
        """Both messages keep their fields."""
        rollout = rollouts.ServiceRollout(ORDER, 0.0)
        rollout.record_grant('riga', 'v2')
        for version in ('v2', ''):
            for now in (1000.0, 1003.0):
                rollout.evidence.record(version, 'draft', False, 1.0, now)
                rollout.evidence.record(version, 'brief', True, 0.0, now)
        sender = rollout_reports.EvidenceSender(rollout)
        report = sender.build('c', ('riga', ''), 5, 1004.0)
        self.assertEqual(self._pass(report), [report])
        decision = messages.RolloutDecision(plan(), 1, 2, 3)
        self.assertEqual(self._pass(decision), [decision])

    def test_values_out_of_range_are_refused(self):
        """Guards against counts and shares that fail where they are used."""
        rollout = rollouts.ServiceRollout(ORDER, 0.0)
        rollout.evidence.record('v2', 'draft', False, 0.1, 1000.0)
        sender = rollout_reports.EvidenceSender(rollout)
        report = sender.build('c', ('riga',), 0, 1000.0)
        (key,) = report.tallies
        tally = rollout_evidence.Tally(1, 0, math.nan, 0.0)
        old = key._replace(slice=key.slice - 100_000)
        good = rollout_evidence.Tally(1, 0, 0.1, 0.1)
        for changed in (
            report._replace(tallies={key: tally}),
            report._replace(tallies={key: good._replace(log_sum=1e9)}),
            report._replace(tallies={key: good._replace(log_square_sum=-1)}),
            report._replace(tallies={old: good}),
            report._replace(phase='sleeping'),
            report._replace(service=''),
            report._replace(regions=('x' * 2000,)),
            report._replace(regions=('riga',) * 300),
            messages.RolloutDecision(plan(share=math.nan), 1, 1, 1),
            messages.RolloutDecision(plan(share=1.5), 1, 1, 1),
            messages.RolloutDecision(plan(revision=2**60), 1, 1, 1),
        ):
            with self.subTest(changed=changed):
                self.assertEqual(self._pass(changed), [])


class HostTests(unittest.TestCase):
    """Grant requests at a host while an order is open."""

    def setUp(self):
        """Prepare a host of endpoints of both versions."""
        self.board = fixtures.board(
            runners=[
                fixtures.runner(f'{v}-{n}', version=v)
                for v in ('v1', 'v2')
                for n in range(2)
            ]
        )
        self.host = admission_host.AdmissionHost(
            self.board.runner_registry,
            fixtures.scheduler(self.board).placement,
            fixtures.LOCALITY,
        )
        self.host.build_version_policy = lambda group: rollouts.GroupPolicy(
            self.board.rollouts, group
        )
        self._number = 0

    @property
    def _rollout(self):
        return self.board.rollouts.find(fixtures.SERVICE)

    def _offer(self, now, **changes):
        """Return the reply to an offer."""
        self._number += 1
        offer = messages.Offer(
            offer_id=self._number,
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
        self.host.receive('g1', 'riga-a', offer._replace(**changes), now)
        return self.host.take_replies()[-1][1]

    def _end(self, offer_id, ending=Ending.ANSWERED, now=0.0):
        ended = messages.OfferEnd(offer_id, ending, 0.1)
        self.host.receive('g1', 'riga-a', ended, now)
        self.host.take_replies()

    def _grant_many(self, count, now):
        granted = []
        for _ in range(count):
            reply = self._offer(now)
            granted.append(reply.runner_id[:2])
            self._end(reply.offer_id, now=now + 0.1)
        return granted

    def test_all_versions_are_used_without_an_order(self):
        """Guards against a limit where no rollout is."""
        replies = [self._offer(0.0) for _ in range(4)]
        granted = {reply.runner_id[:2] for reply in replies}
        self.assertEqual(granted, {'v1', 'v2'})

    def test_grants_follow_the_plan_and_are_counted(self):
        """Guards against requests to the target that nobody counts."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        self.assertNotIn('v2', self._grant_many(20, 0.0))
        self._rollout.apply_plan(plan(share=0.1), 1.0, 1.0)
        granted = self._grant_many(200, 1.0)
        exposed = granted.count('v2')
        self.assertLessEqual(exposed, 22)
        self.assertGreaterEqual(exposed, 18)
        self.assertEqual(self._rollout.requests, 220)
        self.assertEqual(self._rollout.exposed, exposed)
        self.assertEqual(self._rollout.evidence.count('v2').total, exposed)
        self.assertEqual(self._rollout.evidence.count('').total, 220 - exposed)

    def test_excluded_version_is_no_substitute(self):
        """The request waits, and is refused without having run."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        excluded = ('v1-0', 'v1-1')
        reply = self._offer(0.0, excluded=excluded)
        self.assertIsInstance(reply, messages.Queued)
        self._offer(0.4, offer_id=reply.offer_id, excluded=excluded)
        self.host.tick(0.6)
        _, refused = self.host.take_replies()[-1]
        self.assertIsInstance(refused, messages.Refusal)
        self.assertEqual(refused.reason, schedulers.NO_ENDPOINT)
        self.assertEqual(self._rollout.exposed, 0)

    def test_load_is_shed_by_the_slots_of_the_version_in_use(self):
        """Guards against waits that count slots which are not used."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        group = self.host._find_group(GROUP, 0.0)
        usable = list(group.runner_registry)
        policy = group.scheduler.version_policy
        main = policy.list_main(fixtures.SERVICE, usable, 0.0)
        self.assertEqual(versions(main), {'v1'})
        self._rollout.apply_plan(plan(Phase.CUTOVER, 1.0), 1.0, 1.0)
        main = policy.list_main(fixtures.SERVICE, usable, 1.0)
        self.assertEqual(versions(main), {'v2'})

    def test_preview_names_what_a_grant_would_use(self):
        """Guards against an answer of `where` that a grant contradicts."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        scheduler = self.host._find_group(GROUP, 0.0).scheduler
        pending = fixtures.pending_request()
        free = scheduler.find_free(pending, 0.0)
        self.assertEqual(versions(free), {'v1'})
        self._rollout.apply_plan(plan(Phase.CUTOVER, 1.0), 1.0, 1.0)
        free = scheduler.find_free(pending, 1.0)
        self.assertEqual(versions(free), {'v2'})
        pending.version = 'v1'
        free = scheduler.find_free(pending, 1.0)
        self.assertEqual(versions(free), {'v1'})
        # A question is no grant: it takes nothing from the share.
        self.assertEqual(self._rollout.requests, 0)

    def test_stream_goes_on_at_the_target(self):
        """A stream that began there is not limited by the share."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        reply = self._offer(0.0, version='v2')
        self.assertTrue(reply.runner_id.startswith('v2'))

    def test_cold_prompts_are_compared_with_cold_ones(self):
        """Guards against blaming new endpoints for empty caches."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        prompt = (model.PromptPart('a', 900), model.PromptPart('b', 100))
        for _ in range(2):
            reply = self._offer(0.0, prompt=prompt, excluded=('v1-1',))
            self._end(reply.offer_id)
        routes = {key.route for key in self._rollout.evidence.tallies}
        self.assertEqual(routes, {'draft', 'draft (cold)'})

    def test_evidence_outlives_an_idle_group(self):
        """Guards against counts that start again after a pause."""
        self.board.rollouts.adopt(ORDER, 0.0, 1)
        self._grant_many(5, 0.0)
        self.host.tick(admission_host.IDLE_GROUP_S + 1.0)
        self.assertEqual(self.host.groups, [])
        self._grant_many(5, 4.0)
        self.assertEqual(self._rollout.requests, 10)


class OwnPolicyTests(unittest.TestCase):
    """Grant requests without a host."""

    def test_scheduler_uses_the_safe_version(self):
        """Guards against requests to the target that no host counts."""
        board = fixtures.board(
            runners=['r1', fixtures.runner('r2', version='v2')]
        )
        scheduler = fixtures.scheduler(board)
        scheduler.version_policy = rollouts.OwnPolicy(board.rollouts)
        board.rollouts.adopt(ORDER, 0.0, 1)
        rollout = board.rollouts.find(fixtures.SERVICE)
        rollout.apply_plan(plan(Phase.CUTOVER, 1.0), 0.0, 0.0)
        granted = []
        for now in (0.0, 1.0):
            pending = fixtures.pending_request(now)
            scheduler.submit(pending, now)
            granted += [
                effect.runner.id for effect in scheduler.take_effects()
            ]
            scheduler.release(pending, model.Ending.ANSWERED, now)
            rollout.record_stored(Phase.COMPLETED, '', now)
        self.assertEqual(granted, ['r1', 'r2'])
