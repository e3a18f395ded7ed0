"""The store gives one gateway no response for a while; later, a leaving."""

from __future__ import annotations

import asyncio
import pathlib

from review import harness

# The gateway that decides for all which endpoint a request gets.
QUIET = 'edge-2'
QUIET_S = 5.0
# Over StableMs (3 s), so that the gateway is in touch again.
CALM_S = 4.0
# Callers send nothing for this long after the acknowledgement.
PAUSE_S = 3.0
MEASURED_S = 4.0
CALLERS_PER_GATEWAY = 3


async def run(deployment, recorder):
    """Return whether a leaving endpoint is left alone after DrainMs."""
    leaving = await deployment.add_runner('i-1')
    await deployment.start(3, ['i-2'])
    callers = [
        harness.Caller(f'{gateway.name}-{number}', gateway, recorder)
        for gateway in deployment.gateways
        for number in range(CALLERS_PER_GATEWAY)
    ]
    await _send(callers, recorder, 1.0)
    # Its registration ends a long poll, so all begin a new one.
    await deployment.add_runner('i-3')
    await _send(callers, recorder, 1.0)
    link = deployment.store_links[QUIET]
    link.quiet = harness.trouble_wanted()
    recorder.write(f'the store gives {QUIET} no response: {link.quiet}')
    await _send(callers, recorder, 1.0)
    await deployment.add_runner('i-4')
    await _send(callers, recorder, QUIET_S - 1.0)
    link.quiet = False
    recorder.write('the store responds to all again')
    await _send(callers, recorder, CALM_S)
    leaving.leaving = True
    deployment.register(leaving, 'draining')
    acknowledged_at = recorder.now()
    recorder.write('the store has acknowledged that i-1 is draining')
    await asyncio.sleep(PAUSE_S)
    await _send(callers, recorder, MEASURED_S)
    bound = acknowledged_at + harness.DRAIN_S
    late = [(attempt, at) for at, attempt in leaving.run_times if at > bound]
    for attempt, at in late:
        recorder.write(
            f'{attempt} reached i-1 {at - acknowledged_at:.3f} s after'
        )
    recorder.conclude(
        f'{len(late)} requests ran at i-1 later than DrainMs'
        ' after the acknowledgement that it is draining'
    )
    served = [a for c in callers for a in c.answers if a.served]
    if not served:
        return harness.NOT_RUN
    return harness.BROKEN if late else harness.HELD


async def _send(callers, recorder, seconds):
    until = recorder.now() + seconds
    await asyncio.gather(*(caller.run(until) for caller in callers))


if __name__ == '__main__':
    harness.main(pathlib.Path(__file__).parent, run)
