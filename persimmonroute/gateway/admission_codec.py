"""Encode the admission messages between gateways as protobuf."""

from __future__ import annotations

from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import model
from persimmonroute.generated import peers_pb2 as pb

MAX_UINT32 = 2**32 - 1
# One more still fits, where zero stands for none.
MAX_MS = MAX_UINT32 - 1
MAX_SIGNED_MS = 2**31 - 1


def encode(batch):
    """Encode messages as one protobuf Admission."""
    encoded = pb.Admission()
    for message in batch:
        if isinstance(message, messages.Offer):
            _add_offer(encoded, message)
        elif isinstance(message, messages.Reply):
            _add_reply(encoded, message)
        elif isinstance(message, messages.OfferEnd):
            encoded.ends.add(
                offer_id=message.offer_id,
                ending=message.ending.value,
                first_byte_ms_plus_one=_plus_one(message.first_byte_s),
                endpoint=message.runner_id,
            )
        elif isinstance(message, messages.LeaseList):
            _add_lease_list(encoded, message)
        elif isinstance(message, messages.StreamMessage):
            _add_stream_message(encoded, message)
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


def decode(encoded):
    """Return the messages of an Admission.

    Raises ValueError if an ending is not known.
    """
    return [
        *(_read_offer(offer) for offer in encoded.offers),
        *(_read_reply(reply) for reply in encoded.replies),
        *(
            messages.OfferEnd(
                end.offer_id,
                model.Ending(end.ending),
                _minus_one(end.first_byte_ms_plus_one),
                end.endpoint,
            )
            for end in encoded.ends
        ),
        *(
            messages.LeaseList(
                listed.service,
                listed.region,
                tuple(
                    messages.Lease(lease.offer_id, lease.endpoint)
                    for lease in listed.leases
                ),
            )
            for listed in encoded.lease_lists
        ),
        *(
            messages.GroupSummary(
                summary.service,
                summary.region,
                {t: w / 1000 for t, w in summary.wait_ms.items()},
            )
            for summary in encoded.summaries
        ),
        *(
            messages.StreamBegun(begun.key, begun.service, begun.version)
            for begun in encoded.streams_begun
        ),
        *(
            messages.StreamQuestion(question.key, question.service)
            for question in encoded.stream_questions
        ),
        *(
            messages.StreamReply(
                reply.key,
                reply.service,
                reply.version,
                tuple(reply.versions),
                reply.complete,
            )
            for reply in encoded.stream_replies
        ),
    ]


def _add_offer(encoded, offer):
    encoded.offers.add(
        offer_id=offer.offer_id,
        service=offer.service,
        region=offer.region,
        route=offer.route,
        tier=min(offer.tier, MAX_UINT32),
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
    )


def _read_offer(offer):
    return messages.Offer(
        offer_id=offer.offer_id,
        service=offer.service,
        region=offer.region,
        route=offer.route,
        tier=offer.tier,
        objective_s=offer.objective_ms / 1000,
        due_s=offer.due_ms / 1000,
        remaining_s=offer.remaining_ms / 1000,
        age_s=offer.age_ms / 1000,
        prompt=tuple(
            model.PromptPart(part.id, part.tokens) for part in offer.prompt
        ),
        excluded=tuple(offer.excluded),
        redirected=offer.redirected,
        limits=tuple(decode_limit(limit) for limit in offer.limits),
        version=offer.version or None,
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
    """Return the LimitReport of a message."""
    return endpoint_limits.LimitReport(
        limit.id, limit.started_at_ms, limit.per_s, limit.age_ms / 1000
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
            reply.granted.endpoint,
            reply.granted.started_at_ms,
        )
    if decision == 'refused':
        return messages.Refusal(
            reply.offer_id,
            reply.refused.reason,
            _minus_one(reply.refused.wait_ms_plus_one),
        )
    if decision == 'redirected':
        return messages.Redirect(reply.offer_id, reply.redirected)
    if decision == 'not_host':
        return messages.NotHost(reply.offer_id)
    return messages.Queued(reply.offer_id)


def _add_lease_list(encoded, message):
    listed = encoded.lease_lists.add(
        service=message.service, region=message.region
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


def _ms(seconds):
    # Not a number is sent as zero, too.
    return round(min(seconds * 1000, MAX_MS)) if seconds > 0 else 0


def _signed_ms(seconds):
    return round(min(max(seconds * 1000, -MAX_SIGNED_MS), MAX_SIGNED_MS))


def _plus_one(seconds):
    return 0 if seconds is None else _ms(seconds) + 1


def _minus_one(milliseconds):
    return None if milliseconds == 0 else (milliseconds - 1) / 1000
