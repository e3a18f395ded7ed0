"""Choose the orders of rollouts that a gateway forwards to the others.

It answers the load of a fleet in which single gateways lose the store: each
report carries the orders that are open, so that such a gateway learns of an
order as soon as of the other gateways' load. Only what the sender itself has
read from the store is forwarded, so an order does not circulate after its end.
"""

from __future__ import annotations

import typing

from persimmonroute.gateway import rollout_control

# An outcome is forwarded for as long as a completed order limits grants. The
# reports to gateways of other regions are up to 10 s apart.
OUTCOME_FORWARD_S = 30.0
# Orders in one report, newest first; a report has to fit into a datagram of
# 65,507 bytes beside the load of all endpoints.
MAX_FORWARDED = 16
MAX_FORWARDED_CHARACTERS = 8_000


class ForwardedOrder(typing.NamedTuple):
    """Tell another gateway of an order that was read from the store."""

    order: rollout_control.Order
    # Era of the store in which the sender read it.
    era: int
    # Time since the order was issued.
    age_s: float
    # Final phase that the store has; None while the order is open.
    outcome: rollout_control.Phase | None = None
    reason: str = ''
    # Versions of earlier orders that were not accepted.
    rejected: tuple[str, ...] = ()

    @property
    def characters(self):
        """Return the length of the texts, which may be long."""
        texts = (*self.order[:2], self.reason, *self.rejected)
        return sum(len(text) for text in texts)


def list_forwarded(rollouts, now):
    """Return a ForwardedOrder for each order that peers have to know."""
    open_orders = [r for r in rollouts if _is_forwarded(r, now)]
    open_orders.sort(key=lambda rollout: -rollout.given_at)
    forwarded, characters = [], 0
    for rollout in open_orders[:MAX_FORWARDED]:
        added = _describe(rollout, now)
        characters += added.characters
        if characters > MAX_FORWARDED_CHARACTERS:
            break
        forwarded.append(added)
    return tuple(forwarded)


def _is_forwarded(rollout, now):
    """Return whether an order is open, or ended a short time ago.

    One that was read at the start may have ended long ago, until the store
    told whether it has.
    """
    if rollout.forwarded_by or rollout.unconfirmed or rollout.ended_before:
        return False
    if not rollout.phase.final:
        return True
    return now - rollout.ended_at <= OUTCOME_FORWARD_S


def _describe(rollout, now):
    final = rollout.phase.final
    return ForwardedOrder(
        rollout.order,
        rollout.era,
        max(now - rollout.given_at, 0.0),
        rollout.phase if final else None,
        rollout.reason if final else '',
        rollout.rejected,
    )
