"""Play loads in which a part of a prompt crashes endpoints."""

from __future__ import annotations

import heapq
import itertools
import random
import typing
import unittest

from persimmonroute.gateway import model
from persimmonroute.gateway import quarantine
from standins import gateway_fixtures as fixtures

DURATION_S = 40.0
# What the operators allow: after the fifth crash and this time, at most three
# more requests with the part reach endpoints.
ALLOWED_CRASHES = 5
STABLE_S = 3.0
ALLOWED_LATER = 3
SLOTS = 5
RESTART_S = 2.0
FIRST_EVENT_S = (0.05, 0.4)
STREAM_S = (0.05, 1.0)
CRASH_S = 0.08
GROUPS = 6
SUBJECTS = 40


class Fleet(typing.NamedTuple):
    """Describe the size of a fleet and its load per second."""

    gateways: int
    endpoints: int
    sound_per_s: float
    crashing_per_s: float
    report_s: float


class Attempt:
    """Follow one request at an endpoint."""

    def __init__(self, request, gateway):
        self.request = request
        self.gateway = gateway
        self.begun = False


class Play:
    """Send sound and crashing requests through gateways' quarantines."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []
        self.trackers = [
            quarantine.Quarantine() for _ in range(fleet.gateways)
        ]
        # Attempts in progress by endpoint; None while it is down.
        self._running = {n: [] for n in range(fleet.endpoints)}
        self._born = dict.fromkeys(self._running, 1)
        self.crashes = []
        # When requests with the part were sent, and sound ones refused.
        self.sent_crashing = []
        self.refused_sound = []
        self.sound = 0

    def run(self):
        """Play all arrivals, crashes and reports."""
        self._schedule_arrivals()
        for number in range(self._fleet.gateways):
            offset = self._rng.uniform(0, self._fleet.report_s)
            self._at(offset, self._report, number)
        while self._events and self._events[0][0] < DURATION_S:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def _at(self, when, action, *arguments):
        entry = (when, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def _schedule_arrivals(self):
        for rate, crashing in (
            (self._fleet.sound_per_s, False),
            (self._fleet.crashing_per_s, True),
        ):
            at = 0.0
            while (at := at + self._rng.expovariate(rate)) < DURATION_S:
                # Crashing requests begin to come after a while.
                if not crashing or at > 5.0:
                    self._at(at, self._arrive, crashing)

    def _arrive(self, now, crashing):
        middle = f'subject{self._rng.randrange(SUBJECTS)}'
        parts = (
            'system',
            f'group{self._rng.randrange(GROUPS)}',
            'bad' if crashing else middle,
            f'own{next(self._numbers)}',
        )
        request = fixtures.request(
            body=parts[-1].encode(),
            prompt=tuple(model.PromptPart(part, 10) for part in parts),
        )
        gateway = self._rng.choice(self.trackers)
        self.sound += not crashing
        if gateway.is_quarantined(request):
            if not crashing:
                self.refused_sound.append(now)
            return
        up = [
            number
            for number, running in self._running.items()
            if running is not None and len(running) < 2 * SLOTS
        ]
        if not up:
            return
        endpoint = self._rng.choice(up)
        attempt = Attempt(request, gateway)
        self._running[endpoint].append(attempt)
        if crashing:
            self.sent_crashing.append(now)
            self._at(now + CRASH_S, self._crash, endpoint, attempt)
            return
        first_event_at = now + self._rng.uniform(*FIRST_EVENT_S)
        self._at(first_event_at, self._begin, attempt)
        end = first_event_at + self._rng.uniform(*STREAM_S)
        self._at(end, self._end, endpoint, attempt)

    def _begin(self, now, attempt):
        attempt.begun = True

    def _end(self, now, endpoint, attempt):
        running = self._running[endpoint]
        if running is not None and attempt in running:
            running.remove(attempt)
            attempt.gateway.record_response(attempt.request, now)

    def _crash(self, now, endpoint, attempt):
        running = self._running[endpoint]
        if running is None or attempt not in running:
            return
        self.crashes.append(now)
        self._running[endpoint] = None
        self._at(now + RESTART_S, self._restart, endpoint)
        runner = fixtures.runner(
            f'r{endpoint}', started_at_ms=self._born[endpoint]
        )
        for broken in running:
            if not broken.begun:
                broken.gateway.record_broken(
                    quarantine.read_traits(broken.request), runner, now
                )
        for gateway in {broken.gateway for broken in running}:
            gateway.record_crash(runner, now)

    def _restart(self, now, endpoint):
        self._running[endpoint] = []
        self._born[endpoint] += 1

    def _report(self, now, number):
        findings = self.trackers[number].report(now)
        for other, tracker in enumerate(self.trackers):
            if other != number:
                tracker.apply_peer_findings(f'g{number}', findings, now)
        self.trackers[number].expire(now)
        self._at(now + self._fleet.report_s, self._report, number)


class QuarantineLoadTests(unittest.TestCase):
    """Check what callers and endpoints get over whole plays."""

    def _check(self, fleet, seeds):
        for seed in range(seeds):
            play = Play(fleet, seed)
            play.run()
            with self.subTest(fleet=fleet, seed=seed):
                self.assertGreaterEqual(len(play.crashes), 3)
                since = DURATION_S
                if len(play.crashes) >= ALLOWED_CRASHES:
                    since = play.crashes[ALLOWED_CRASHES - 1] + STABLE_S
                later = [at for at in play.sent_crashing if at > since]
                self.assertLessEqual(len(later), ALLOWED_LATER)
                settled = play.crashes[-1] + 2 * STABLE_S
                refused = [at for at in play.refused_sound if at > settled]
                self.assertEqual(refused, [])
                self.assertLess(len(play.refused_sound), 0.01 * play.sound)

    def test_small_fleet(self):
        """Four gateways, five endpoints, and crashes once a second."""
        self._check(Fleet(4, 5, 40.0, 1.0, 0.3), 30)

    def test_rare_crashes(self):
        """Crashing requests that come every few seconds."""
        self._check(Fleet(4, 5, 40.0, 0.4, 0.3), 30)

    def test_many_crashing_requests_at_once(self):
        """Crashing requests come faster than reports."""
        self._check(Fleet(4, 8, 60.0, 6.0, 0.3), 30)

    def test_large_fleet(self):
        """Reports of 68 gateways are old when they arrive."""
        self._check(Fleet(68, 37, 150.0, 2.0, 1.4), 3)
