"""Attribute requests that got neither an answer nor a refusal."""

from __future__ import annotations

import enum

from persimmonroute.gateway import model
from tools.soak import callers
from tools.soak import gateways
from tools.soak import records
from tools.soak import schedule

# A connection that a gateway closes may cross a request; it has not read the
# request if it is closed this soon after it was sent.
CROSSING_S = 0.2
# What a stop may end: answers still in progress in this share of its grace
# period.
LAST_GRACE_SHARE = 1 / 6
# A fault reaches the other parts within this time.
DELIVERY_S = 0.1
LINK_BREAKS = ('reset', 'cut_up', 'cut_down', 'silent')


class Cause(enum.Enum):
    """Define what excuses the end of a request."""

    DEADLINE = 'the deadline passed'
    KILLED = 'the gateway was killed'
    GRACE = 'the grace period of a stop was over'
    CALLER_LINK = 'the link of the caller was reset'
    ENDPOINT = 'the endpoint failed or broke off by itself'
    ENDPOINT_LINK = 'a way to an endpoint was reset, cut or refused'
    DOWN = 'the gateway did not listen'
    CROSSING = 'the request crossed the close of its connection'


class Attributor:
    """Find what callers and endpoints saw of a request."""

    def __init__(self, journal):
        self._journal = journal
        self._visits = {}
        for visit in sorted(journal.visits, key=lambda visit: visit.begin):
            self._visits.setdefault(visit.attempt, []).append(visit)

    def visits_of(self, attempt):
        """Return the visits of an attempt at endpoints, in their order."""
        return self._visits.get(attempt, [])

    def find_cause(self, outcome):
        """Return the Cause that excuses the end of a request, or None."""
        if self.reached_deadline(outcome):
            return Cause.DEADLINE
        if self._was_killed(outcome):
            return Cause.KILLED
        if self._outlasted_stop(outcome):
            return Cause.GRACE
        if self._has_disturbance(
            (outcome.gateway,),
            ('caller_link_reset',),
            outcome.sent_at,
            outcome.ended_at,
        ):
            return Cause.CALLER_LINK
        visits = self.visits_of(outcome.attempt)
        if visits:
            return self._find_endpoint_cause(visits, outcome)
        if self._was_refused((outcome.gateway,), outcome.sent_at, outcome):
            return Cause.DOWN
        crossed = outcome.ended_at - outcome.sent_at <= CROSSING_S
        if crossed and outcome.status is None:
            return Cause.CROSSING
        return self._find_broken_way(outcome, outcome.sent_at)

    def fell_silent(self, outcome):
        """Return whether an endpoint fell silent while it had a request."""
        return any(
            silence.endpoint == visit.endpoint
            and silence.begin <= visit.end
            and silence.end >= visit.begin
            for visit in self.visits_of(outcome.attempt)
            for silence in self._journal.silences
        )

    def was_sent_in_stop(self, outcome):
        """Return whether a request was taken and sent in a sound stop.

        A stop cannot know that what it sends will be held up by a fault.
        """
        return any(
            self._was_taken_in(stop, outcome)
            and any(v.executed for v in self.visits_of(outcome.attempt))
            and not self._was_held_up(stop, outcome)
            for stop in self._stops_of(outcome)
        )

    def was_refused_in_stop(self, outcome):
        """Return whether a gateway refused a request because of its stop."""
        return (
            outcome.complete
            and outcome.status == model.STOPPING.status
            and model.STOPPING.reason.encode() in outcome.body
        )

    def reached_deadline(self, outcome):
        """Return whether the time of a request was over at its end."""
        limit_s = callers.deadline_s(outcome.route)
        if callers.kind_of(outcome.route) in callers.LONG_ROUTES:
            shortened = [
                change.timeout_s
                for change in self._journal.timeouts
                if change.at <= outcome.ended_at
            ]
            limit_s = min([limit_s, *shortened])
        return outcome.ended_at - outcome.sent_at >= limit_s

    def describe(self, outcome):
        """Return what became of a request, at all parts."""
        visits = [
            f'{visit.endpoint} from {visit.begin:.2f} to {visit.end:.2f} '
            f'{visit.ending.value} ({visit.behaviour})'
            for visit in self.visits_of(outcome.attempt)
        ]
        silences = [
            f'{silence.endpoint} from {silence.begin:.2f} to {silence.end:.2f}'
            for silence in self._journal.silences
            if silence.begin <= outcome.ended_at
            and silence.end >= outcome.sent_at
        ]
        kept = 'whole' if outcome.complete else 'cut off'
        return (
            f'{outcome.attempt} on {outcome.route} at {outcome.gateway} from '
            f'{outcome.sent_at:.2f} to {outcome.ended_at:.2f} got '
            f'{outcome.status} and {len(outcome.body)} bytes, {kept}; '
            f'endpoints: {visits}; silent: {silences}'
        )

    def _was_killed(self, outcome):
        return self._has_disturbance(
            (outcome.gateway,), ('kill',), outcome.sent_at, outcome.ended_at
        )

    def _stops_of(self, outcome):
        return [s for s in self._journal.stops if s.gateway == outcome.gateway]

    def _was_taken_in(self, stop, outcome):
        return stop.begin + DELIVERY_S < outcome.sent_at < stop.end

    def _was_held_up(self, stop, outcome):
        """Return whether a fault met a request that a stop had taken."""
        visits = self.visits_of(outcome.attempt)
        components = {outcome.gateway, *(visit.endpoint for visit in visits)}
        kinds = {d.kind for d in self._journal.disturbances}
        return self.fell_silent(outcome) or self._has_disturbance(
            components,
            kinds.difference(schedule.STOP_KINDS),
            stop.begin,
            outcome.ended_at,
        )

    def _outlasted_stop(self, outcome):
        share = (1 - LAST_GRACE_SHARE) * gateways.STOP_GRACE_S
        return any(
            outcome.sent_at <= stop.begin + share <= outcome.ended_at
            for stop in self._stops_of(outcome)
        ) and not self.was_sent_in_stop(outcome)

    def _find_endpoint_cause(self, visits, outcome):
        ended = (records.Ending.BROKE_OFF, records.Ending.STOPPED)
        answering = [
            v for v in visits if v.ending is not records.Ending.REFUSED
        ]
        if not answering:
            return self._find_broken_way(outcome, outcome.sent_at)
        last = answering[-1]
        if last.ending in ended:
            return Cause.ENDPOINT
        links = [f'endpoint_link_{mode}' for mode in LINK_BREAKS]
        if self._has_disturbance(
            (last.endpoint,), links, last.begin, last.end
        ):
            return Cause.ENDPOINT_LINK
        if last.ending is records.Ending.CLOSED:
            return self._find_broken_way(outcome, last.end)
        return None

    def _find_broken_way(self, outcome, since):
        """Return why an endpoint that was sent to may not have got it."""
        kinds = [f'endpoint_link_{mode}' for mode in LINK_BREAKS]
        endpoints = {visit.endpoint for visit in self._journal.visits}
        # Some are lost before anything reaches them.
        endpoints |= self._journal.services.keys()
        components = {d.component for d in self._journal.disturbances}
        if self._was_refused(endpoints, since, outcome) or (
            self._has_disturbance(components, kinds, since, outcome.ended_at)
        ):
            return Cause.ENDPOINT_LINK
        return None

    def _was_refused(self, components, since, outcome):
        return any(
            refusal.component in components
            and since - DELIVERY_S <= refusal.at <= outcome.ended_at
            for refusal in self._journal.refusals
        )

    def _has_disturbance(self, components, kinds, begin, end):
        return any(
            disturbance.component in components
            and disturbance.kind in kinds
            and disturbance.begin <= end + DELIVERY_S
            and disturbance.end >= begin - DELIVERY_S
            for disturbance in self._journal.disturbances
        )
