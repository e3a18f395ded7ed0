"""Bound what engines can do, from their speeds alone."""

from __future__ import annotations

# Time between tokens that the capacity is worked out for.
PLANNED_GAP_S = 0.04
SAMPLE = 2000


def request_seconds(call, speed, gap_s, cached_tokens=0):
    """Return the engine time that a request takes in a full batch.

    The batch is as large as the time between tokens allows.
    """
    batch = (gap_s - speed.step_base_s) / speed.step_request_s
    prefill = max(call.prompt_tokens - cached_tokens, 0)
    decode = call.output_tokens * gap_s / batch
    return prefill / speed.prefill_tokens_per_s + decode


def capacity_rate(source, speeds):
    """Return the requests a second that all engines carry together."""
    calls = [source.draw_model() for _ in range(SAMPLE)]
    return sum(
        SAMPLE
        / sum(request_seconds(call, speed, PLANNED_GAP_S) for call in calls)
        for speed in speeds
    )


def goodput_bound(calls, classes, speeds, scenario):
    """Return a share of requests that no policy can exceed.

    The cheapest requests are taken first, as if every shared prefix were
    cached and all engines worked until the last target of a first token.
    """
    targets = [classes[call.class_name].target for call in calls]
    costs = sorted(
        sum(
            request_seconds(
                call, speed, target.token_gap_s, scenario.prefix_tokens
            )
            for speed in speeds
        )
        / len(speeds)
        for call, target in zip(calls, targets)
    )
    last = max(target.first_token_s for target in targets)
    left = (scenario.seconds + last) * len(speeds)
    taken = 0
    for cost in costs:
        left -= cost
        if left < 0:
            break
        taken += 1
    return taken / len(costs)
