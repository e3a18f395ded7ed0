"""Inject faults into a trial of the fault matrix."""

from __future__ import annotations

import typing

from persimmonroute.entry import messages as entry_messages
from persimmonroute.entry import server as entry_server
from persimmonroute.sidecar import messages as sidecar_messages

FREEZE_S = 5.0
STOP_GRACE_S = 8.0
OUTAGE_S = 8.0
STALL_S = 1.5
COMPLETED = frozenset({'completed'})
COMPLETED_OR_UNKNOWN = frozenset({'completed', 'unknown'})
ANY_OUTCOME = frozenset({'completed', 'unknown', 'not-run'})


class Fault(typing.NamedTuple):
    """Describe a fault and the outcomes it allows for the last send."""

    name: str
    inject: typing.Callable
    allowed: frozenset
    kinds: tuple[str, ...] = ('order', 'draft')


def kill_entry(trial):
    """Kill the caller's entry; it restarts a second later."""
    trial.simulation.entries[trial.entry].kill()
    trial.simulation.schedule(1.0, trial.simulation.entries[trial.entry].start)


def kill_sidecar(trial):
    """Kill the sidecar; it restarts a second later."""
    node = trial.simulation.sidecars[trial.sidecar]
    node.kill()
    trial.simulation.schedule(1.0, node.start)


def kill_endpoint(trial):
    """Crash the endpoint; it restarts a second later."""
    trial.simulation.endpoints[trial.sidecar].crash()


def freeze_entry(trial):
    """Freeze the entry while the caller retries through another one."""
    node = trial.simulation.entries[trial.entry]
    node.freeze()
    trial.simulation.schedule(FREEZE_S, node.unfreeze)
    trial.simulation.schedule(0.5, trial.resend, trial.other_entry())


def freeze_sidecar(trial):
    """Freeze the sidecar for longer than the link timeout."""
    trial.simulation.freeze_sidecar(trial.sidecar)
    node = trial.simulation.sidecars[trial.sidecar]
    trial.simulation.schedule(FREEZE_S, node.unfreeze)


def freeze_endpoint(trial):
    """Slow the engine almost to a standstill for FREEZE_S."""
    node = trial.simulation.endpoints[trial.sidecar]
    if hasattr(node, 'slow_down'):
        node.slow_down(100.0)
        trial.simulation.schedule(FREEZE_S, node.slow_down, 1.0)


def stop_entry(trial):
    """Request a graceful stop of the entry."""
    node = trial.simulation.entries[trial.entry]
    drain = entry_server.begin_drain(trial.simulation.now, STOP_GRACE_S)
    node.handle(entry_messages.StopRequested(drain))


def stop_sidecar(trial, name=None):
    """Request a graceful stop of the sidecar."""
    name = name or trial.sidecar
    trial.leave_times[name] = trial.simulation.now
    stop = sidecar_messages.StopRequested()
    trial.simulation.sidecars[name].handle(stop)


def silence_endpoint(trial):
    """Let the endpoint fall silent and go on."""
    trial.simulation.endpoints[trial.sidecar].fall_silent(STALL_S)


def leave_endpoint(trial):
    """Mark the endpoint as leaving; entries see it after the list's lag."""
    name = trial.sidecar
    trial.leave_times[name] = trial.simulation.now
    trial.simulation.leaving.add(name)
    for node in trial.simulation.entries.values():
        trial.simulation.schedule(2.0, node.list_instances)


def partition_link(trial):
    """Partition the entry from the sidecar for three seconds."""
    trial.simulation.partition(trial.entry, trial.sidecar)
    trial.simulation.schedule(3.0, trial.simulation.heal)


def stall_to_sidecar(trial):
    """Delay messages from the entry to the sidecar."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_sidecar', STALL_S)


def stall_to_entry(trial):
    """Delay messages from the sidecar to the entry."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_entry', STALL_S)


def stall_until_timeout(trial):
    """Delay the sidecar's messages until the entry closes the link."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_entry', FREEZE_S)


def duplicate_messages(trial):
    """Deliver every envelope twice from now on."""
    simulation = trial.simulation
    observe = simulation.on_arrival

    def deliver_twice(node, event):
        observe(node, event)
        if hasattr(event, 'envelope'):
            node.handle(event)

    simulation.on_arrival = deliver_twice


def break_store(fault):
    """Return an injector for a fault of the table service."""

    def inject(trial):
        trial.simulation.store.fault = fault
        trial.simulation.schedule(OUTAGE_S, restore_store, trial)

    return inject


def restore_store(trial):
    """End the fault of the table service."""
    trial.simulation.store.fault = 'none'


def race_operators(trial):
    """Deliver two configuration revisions out of order."""
    trial.add_revision(3)
    trial.simulation.schedule(0.001, trial.add_revision, 2)


def send_again(trial):
    """Retry the request through another entry at once."""
    trial.resend(trial.other_entry())


def poison_request(trial):
    """Make the request crash every endpoint that runs it."""
    body = trial.sends[0].call.body
    for node in trial.simulation.endpoints.values():
        node.poison = frozenset({body})


FAULTS = (
    Fault('kill entry', kill_entry, COMPLETED_OR_UNKNOWN),
    Fault('kill sidecar', kill_sidecar, COMPLETED_OR_UNKNOWN),
    Fault('kill endpoint', kill_endpoint, COMPLETED_OR_UNKNOWN),
    Fault('freeze entry, send again', freeze_entry, COMPLETED),
    Fault('freeze sidecar', freeze_sidecar, COMPLETED),
    Fault('freeze endpoint', freeze_endpoint, COMPLETED, ('draft',)),
    Fault('silent endpoint', silence_endpoint, COMPLETED),
    Fault('stop entry', stop_entry, COMPLETED),
    Fault('stop sidecar', stop_sidecar, COMPLETED),
    Fault('endpoint leaves', leave_endpoint, COMPLETED),
    Fault('cut', partition_link, COMPLETED),
    Fault('delay to sidecar', stall_to_sidecar, COMPLETED),
    Fault('delay to entry', stall_to_entry, COMPLETED),
    Fault('silent sidecar', stall_until_timeout, COMPLETED),
    Fault('doubled', duplicate_messages, COMPLETED),
    Fault('store down', break_store('down'), COMPLETED),
    Fault('store slow', break_store('slow'), COMPLETED),
    Fault('store answer lost', break_store('lose_answers'), COMPLETED),
    Fault('store write late', break_store('late_effect'), COMPLETED),
    Fault('operators race', race_operators, COMPLETED),
    Fault('sent again', send_again, COMPLETED),
    Fault('crashing request', poison_request, ANY_OUTCOME),
)
