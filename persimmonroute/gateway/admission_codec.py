"""Encode the admission messages between gateways as protobuf."""

from __future__ import annotations

from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import model
from persimmonroute.gateway import peer_reading
from persimmonroute.gateway.peer_reading import read_integer
from persimmonroute.gateway.peer_reading import read_number
from persimmonroute.gateway.peer_reading import read_optional_text
from persimmonroute.gateway.peer_reading import read_text
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway import rollout_evidence
from persimmonroute.gateway import rollout_forwarding
from persimmonroute.generated import peers_pb2 as pb

MAX_UINT32 = 2**32 - 1
# One more still fits, where zero stands for none.
MAX_MS = MAX_UINT32 - 1
MAX_SIGNED_MS = 2**31 - 1
# A report of evidence has hundreds of tallies at most, of the slices of one
# order.
MAX_TALLIES = 4096
MAX_SLICE_AGE = 10_000
# Logarithms of times in seconds are from -6.3 to 9.
MAX_LOG = 20.0
MAX_REGIONS = 256
MAX_REASON_CHARACTERS = 300
# An order lasts for a week at most and may be kept open by a store that is
# down; a year is longer than any process runs.
MAX_ORDER_S = 604_800.0
MAX_ORDER_AGE_MS = 366 * 86_400_000
# Versions that a service does not use after earlier orders, as remembered.
MAX_REJECTED = 16


def encode(batch):
    """Encode messages as one protobuf Admission."""
    encoded = pb.Admission()
    for message in batch:
        if isinstance(message, messages.Offer):
            _add_offer(encoded, message)
        elif isinstance(message, messages.Reply):
            _add_reply(encoded, message)
        elif isinstance(message, messages.OfferEnd):
            _add_end(encoded, message)
        elif isinstance(message, messages.LeaseList):
            _add_lease_list(encoded, message)
        elif isinstance(message, messages.StreamMessage):
            _add_stream_message(encoded, message)
        elif isinstance(message, messages.RolloutEvidence):
            _add_evidence(encoded, message)
        elif isinstance(message, messages.RolloutDecision):
            _add_decision(encoded, message)
        else:
            encoded.summaries.add(
                service=message.service,
                region=message.region,
                wait_ms={
                    min(t, MAX_UINT32): _ms(w)
                    for t, w in message.wait_s.items()
                },
            )
    return encoded


def decode(encoded, parts=None):
    """Return the readable messages of an Admission.

    parts is the PartReader that counts the others.
    """
    if parts is None:
        parts = peer_reading.PartReader(peer_reading.UnreadableParts(), '')
    return [
        *parts.read_all('offer', encoded.offers, _read_offer),
        *parts.read_all('reply', encoded.replies, _read_reply),
        *parts.read_all('end', encoded.ends, _read_end),
        *parts.read_all('leases', encoded.lease_lists, _read_lease_list),
        *parts.read_all('summary', encoded.summaries, _read_summary),
        *parts.read_all('stream', encoded.streams_begun, _read_begun),
        *parts.read_all(
            'stream question', encoded.stream_questions, _read_question
        ),
        *parts.read_all(
            'stream reply', encoded.stream_replies, _read_stream_reply
        ),
        *parts.read_all('evidence', encoded.rollout_evidence, _read_evidence),
        *parts.read_all(
            'rollout decision', encoded.rollout_decisions, _read_decision
        ),
    ]


def _read_end(end):
    return messages.OfferEnd(
        end.offer_id,
        model.Ending(end.ending),
        _minus_one(end.first_byte_ms_plus_one),
        read_optional_text(end.endpoint),
        _read_load(end.load) if end.HasField('load') else None,
    )


def _add_end(encoded, message):
    added = encoded.ends.add(
        offer_id=message.offer_id,
        ending=message.ending.value,
        first_byte_ms_plus_one=_plus_one(message.first_byte_s),
        endpoint=message.runner_id,
    )
    if message.load is not None:
        added.load.CopyFrom(_encode_load(message.load))


def _encode_load(load):
    encoded = pb.Admission.EndpointLoad(
        running=_count(load.running),
        waiting=_count(load.waiting),
        slots=_count(load.slots),
    )
    if load.cost_percent is not None:
        encoded.cost_percent_plus_one = _count(load.cost_percent) + 1
    return encoded


def _encode_report(report):
    return pb.Admission.LoadReport(
        endpoint=report.runner_id,
        started_at_ms=report.started_at_ms,
        age_ms=_ms(report.age_s),
        load=_encode_load(report.load),
    )


def _read_report(report):
    return messages.LoadReport(
        read_text(report.endpoint),
        read_integer(report.started_at_ms),
        report.age_ms / 1000,
        _read_load(report.load),
    )


def _read_load(load):
    cost_percent = load.cost_percent_plus_one - 1
    return model.RunnerLoad(
        load.running,
        load.waiting,
        load.slots,
        cost_percent if cost_percent >= 0 else None,
    )


def _read_lease_list(listed):
    return messages.LeaseList(
        read_text(listed.service),
        read_optional_text(listed.region),
        tuple(
            messages.Lease(lease.offer_id, read_text(lease.endpoint))
            for lease in listed.leases
        ),
        tuple(_read_report(report) for report in listed.loads),
    )


def _read_summary(summary):
    return messages.GroupSummary(
        read_text(summary.service),
        read_optional_text(summary.region),
        {t: w / 1000 for t, w in summary.wait_ms.items()},
    )


def _read_begun(begun):
    return messages.StreamBegun(
        begun.key, read_text(begun.service), read_text(begun.version)
    )


def _read_question(question):
    return messages.StreamQuestion(
        question.key, read_optional_text(question.service)
    )


def _read_stream_reply(reply):
    return messages.StreamReply(
        reply.key,
        read_optional_text(reply.service),
        read_optional_text(reply.version),
        tuple(read_text(version) for version in reply.versions),
        reply.complete,
    )


def _add_offer(encoded, offer):
    encoded.offers.add(
        offer_id=offer.offer_id,
        service=offer.service,
        region=offer.region,
        route=offer.route,
        tier=min(max(offer.tier, 0), MAX_UINT32),
        objective_ms=_ms(offer.objective_s),
        due_ms=_signed_ms(offer.due_s),
        remaining_ms=_ms(offer.remaining_s),
        age_ms=_ms(offer.age_s),
        prompt=[
            pb.Admission.PromptPart(
                id=part.id, tokens=min(part.tokens, MAX_UINT32)
            )
            for part in offer.prompt
        ],
        excluded=offer.excluded,
        redirected=offer.redirected,
        limits=[encode_limit(limit) for limit in offer.limits],
        version=offer.version or '',
        caller=offer.caller,
        workspace=offer.workspace,
        output_tokens=_count(offer.output_tokens),
        prompt_tokens=_count(offer.prompt_tokens),
        loads=[_encode_report(report) for report in offer.loads],
        expected_output=_count(offer.expected_output),
    )


def _read_offer(offer):
    return messages.Offer(
        offer_id=offer.offer_id,
        service=read_text(offer.service),
        region=read_optional_text(offer.region),
        route=read_text(offer.route),
        tier=offer.tier,
        objective_s=offer.objective_ms / 1000,
        due_s=offer.due_ms / 1000,
        remaining_s=offer.remaining_ms / 1000,
        age_s=offer.age_ms / 1000,
        prompt=tuple(
            model.PromptPart(part.id, part.tokens) for part in offer.prompt
        ),
        excluded=tuple(read_text(runner) for runner in offer.excluded),
        redirected=offer.redirected,
        limits=tuple(decode_limit(limit) for limit in offer.limits),
        version=read_optional_text(offer.version) or None,
        caller=offer.caller,
        workspace=offer.workspace,
        output_tokens=offer.output_tokens,
        prompt_tokens=offer.prompt_tokens,
        loads=tuple(_read_report(report) for report in offer.loads),
        expected_output=offer.expected_output,
    )


def encode_limit(limit):
    """Encode a LimitReport."""
    return pb.EndpointLimit(
        id=limit.runner_id,
        started_at_ms=limit.started_at_ms,
        per_s=limit.per_s,
        age_ms=_ms(limit.age_s),
    )


def decode_limit(limit):
    """Return the LimitReport of a message, or raise ValueError."""
    return endpoint_limits.LimitReport(
        read_text(limit.id),
        read_integer(limit.started_at_ms),
        peer_reading.read_rate(limit.per_s),
        limit.age_ms / 1000,
    )


def encode_order(forwarded):
    """Encode a ForwardedOrder."""
    order = forwarded.order
    outcome = forwarded.outcome
    return pb.ForwardedOrder(
        service=order.service,
        target=order.target,
        duration_s=order.duration_s,
        revision=order.revision,
        era_plus_one=forwarded.era + 1,
        age_ms_plus_one=_age_ms(forwarded.age_s) + 1,
        outcome='' if outcome is None else outcome.value,
        reason=forwarded.reason[:MAX_REASON_CHARACTERS],
        rejected=forwarded.rejected,
    )


def decode_order(order, store_era):
    """Return the ForwardedOrder of a message, or raise ValueError.

    store_era is the era that its sender knows, in which the order must have
    been read, or before.
    """
    if not order.era_plus_one or not order.age_ms_plus_one:
        raise ValueError('the era or the age of the order is not known')
    if len(order.rejected) > MAX_REJECTED:
        raise ValueError('there are too many rejected versions')
    outcome = None
    if order.outcome:
        outcome = rollout_control.Phase(order.outcome)
        if not outcome.final:
            raise ValueError(f'{order.outcome!r} is no outcome')
    return rollout_forwarding.ForwardedOrder(
        rollout_control.Order(
            read_text(order.service),
            read_text(order.target),
            read_number(order.duration_s, 0.0, MAX_ORDER_S),
            read_integer(order.revision),
        ),
        read_integer(order.era_plus_one - 1, store_era),
        read_integer(order.age_ms_plus_one - 1, MAX_ORDER_AGE_MS) / 1000,
        outcome,
        read_optional_text(order.reason),
        tuple(read_text(version) for version in order.rejected),
    )


def _add_reply(encoded, reply):
    added = encoded.replies.add(offer_id=reply.offer_id)
    if isinstance(reply, messages.Grant):
        added.granted.endpoint = reply.runner_id
        added.granted.started_at_ms = reply.started_at_ms
    elif isinstance(reply, messages.Queued):
        added.queued = True
    elif isinstance(reply, messages.Refusal):
        added.refused.reason = reply.reason
        added.refused.wait_ms_plus_one = _plus_one(reply.wait_s)
    elif isinstance(reply, messages.Redirect):
        added.redirected = reply.region
    else:
        added.not_host = True


def _read_reply(reply):
    decision = reply.WhichOneof('decision')
    if decision == 'granted':
        return messages.Grant(
            reply.offer_id,
            read_text(reply.granted.endpoint),
            read_integer(reply.granted.started_at_ms),
        )
    if decision == 'refused':
        return messages.Refusal(
            reply.offer_id,
            read_optional_text(reply.refused.reason),
            _minus_one(reply.refused.wait_ms_plus_one),
        )
    if decision == 'redirected':
        return messages.Redirect(
            reply.offer_id, read_optional_text(reply.redirected)
        )
    if decision == 'not_host':
        return messages.NotHost(reply.offer_id)
    if decision == 'queued':
        return messages.Queued(reply.offer_id)
    raise ValueError('the reply has no decision')


def _add_lease_list(encoded, message):
    listed = encoded.lease_lists.add(
        service=message.service,
        region=message.region,
        loads=[_encode_report(report) for report in message.loads],
    )
    for lease in message.leases:
        listed.leases.add(offer_id=lease.offer_id, endpoint=lease.runner_id)


def _add_stream_message(encoded, message):
    if isinstance(message, messages.StreamBegun):
        encoded.streams_begun.add(**message._asdict())
    elif isinstance(message, messages.StreamQuestion):
        encoded.stream_questions.add(**message._asdict())
    else:
        encoded.stream_replies.add(**message._asdict())


def _add_evidence(encoded, message):
    added = encoded.rollout_evidence.add(
        service=message.service,
        revision=message.revision,
        incarnation=message.incarnation,
        number=_count(message.number),
        base=_count(message.base),
        slice=message.slice,
        regions=message.regions,
        requests=_count(message.requests),
        exposed=_count(message.exposed),
        others_in_flight=_count(message.others_in_flight),
        phase=message.phase,
    )
    routes = {}
    for key, tally in message.tallies.items():
        if key.route not in routes:
            routes[key.route] = added.routes.add(route=key.route)
        # All versions but the target are one, without a name.
        added.target = added.target or key.version
        routes[key.route].tallies.add(
            age=_count(message.slice - key.slice),
            of_target=bool(key.version),
            answered=_count(tally.answered),
            failed=_count(tally.failed),
            log_sum=tally.log_sum,
            log_square_sum=tally.log_square_sum,
        )


def _read_evidence(evidence):
    if sum(len(r.tallies) for r in evidence.routes) > MAX_TALLIES:
        raise ValueError('there are too many tallies')
    if len(evidence.regions) > MAX_REGIONS:
        raise ValueError('there are too many regions')
    present = read_integer(evidence.slice)
    target = read_optional_text(evidence.target)
    if not target and any(
        t.of_target for r in evidence.routes for t in r.tallies
    ):
        raise ValueError('the target has no name')
    tallies = {}
    for listed in evidence.routes:
        route = read_text(listed.route)
        for tally in listed.tallies:
            age = read_integer(tally.age, MAX_SLICE_AGE)
            key = rollout_evidence.Key(
                present - age, route, target if tally.of_target else ''
            )
            tallies[key] = _read_tally(tally)
    return messages.RolloutEvidence(
        read_text(evidence.service),
        read_integer(evidence.revision),
        evidence.incarnation,
        evidence.number,
        evidence.base,
        present,
        tuple(read_optional_text(region) for region in evidence.regions),
        evidence.requests,
        evidence.exposed,
        evidence.others_in_flight,
        rollout_control.Phase(evidence.phase).value,
        tallies,
    )


def _read_tally(tally):
    most = MAX_LOG * tally.answered
    return rollout_evidence.Tally(
        tally.answered,
        tally.failed,
        read_number(tally.log_sum, -most, most),
        read_number(tally.log_square_sum, 0.0, MAX_LOG * most),
    )


def _add_decision(encoded, message):
    plan = message.plan
    encoded.rollout_decisions.add(
        service=plan.service,
        target=plan.target,
        revision=plan.revision,
        phase=plan.phase.value,
        share=plan.share,
        endpoints=_count(plan.endpoints),
        reason=plan.reason[:MAX_REASON_CHARACTERS],
        incarnation=message.incarnation,
        number=_count(message.number),
        confirmed=_count(message.confirmed),
    )


def _read_decision(decision):
    plan = rollout_control.RolloutPlan(
        read_text(decision.service),
        read_text(decision.target),
        read_integer(decision.revision),
        rollout_control.Phase(decision.phase),
        read_number(decision.share, 0.0, 1.0),
        decision.endpoints,
        read_optional_text(decision.reason),
    )
    return messages.RolloutDecision(
        plan, decision.incarnation, decision.number, decision.confirmed
    )


def _count(number):
    """Return a count that fits, also with one added."""
    return min(max(number, 0), MAX_MS)


def _ms(seconds):
    # Not a number is sent as zero, too.
    return round(min(seconds * 1000, MAX_MS)) if seconds > 0 else 0


def _age_ms(seconds):
    return round(min(max(seconds, 0.0) * 1000, MAX_ORDER_AGE_MS))


def _signed_ms(seconds):
    return round(min(max(seconds * 1000, -MAX_SIGNED_MS), MAX_SIGNED_MS))


def _plus_one(seconds):
    return 0 if seconds is None else _ms(seconds) + 1


def _minus_one(milliseconds):
    return None if milliseconds == 0 else (milliseconds - 1) / 1000
