"""Compute capacity and an upper bound of goodput from engine speeds."""

from __future__ import annotations

# Time between tokens for which the capacity is computed.
PLANNED_TOKEN_GAP_S = 0.04
SAMPLE_SIZE = 2000


def request_seconds(call, speed, gap_s, cached_tokens=0):
    """Return the seconds of engine time per request in a full batch.

    The batch is the largest that the time between tokens permits.
    """
    batch = (gap_s - speed.step_base_s) / speed.step_request_s
    prefill = max(call.prompt_tokens - cached_tokens, 0)
    decode = call.output_tokens * gap_s / batch
    return prefill / speed.prefill_tokens_per_s + decode


def capacity_rate(source, speeds):
    """Return the requests per second that all engines serve together."""
    calls = [source.draw_model() for _ in range(SAMPLE_SIZE)]
    return sum(
        SAMPLE_SIZE
        / sum(
            request_seconds(call, speed, PLANNED_TOKEN_GAP_S) for call in calls
        )
        for speed in speeds
    )


def goodput_bound(calls, classes, speeds, scenario):
    """Return an upper bound of the goodput of any policy, as a share.

    The cheapest requests are served first, assuming that every shared prefix
    is cached and all engines work until the last first-token target.
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
    last_target_s = max(target.first_token_s for target in targets)
    remaining_s = (scenario.seconds + last_target_s) * len(speeds)
    served = 0
    for cost in costs:
        remaining_s -= cost
        if remaining_s < 0:
            break
        served += 1
    return served / len(costs)
