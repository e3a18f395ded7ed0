"""Inject faults into a trial of the fault matrix."""

from __future__ import annotations

import typing

from persimmonroute.entry import messages as entry_messages
from persimmonroute.sidecar import messages as sidecar_messages

FREEZE_S = 5.0
OUTAGE_S = 8.0
STALL_S = 1.5
COMPLETED = frozenset({'completed'})
COMPLETED_OR_UNKNOWN = frozenset({'completed', 'unknown'})
ANY_OUTCOME = frozenset({'completed', 'unknown', 'not-run'})


class Fault(typing.NamedTuple):
    """Name a fault, inject it, and say how the last send may end."""

    name: str
    inject: typing.Callable
    allowed: frozenset
    kinds: tuple[str, ...] = ('order', 'draft')


def kill_entry(trial):
    """Kill the entry that holds the caller's connection."""
    trial.simulation.entries[trial.entry].kill()
    trial.simulation.schedule(1.0, trial.simulation.entries[trial.entry].start)


def kill_sidecar(trial):
    """Kill the sidecar; a new one starts a second later."""
    node = trial.simulation.sidecars[trial.sidecar]
    node.kill()
    trial.simulation.schedule(1.0, node.start)


def kill_endpoint(trial):
    """Kill the endpoint; it restarts a second later."""
    trial.simulation.endpoints[trial.sidecar].crash()


def freeze_entry(trial):
    """Freeze the entry while the caller sends again elsewhere."""
    node = trial.simulation.entries[trial.entry]
    node.freeze()
    trial.simulation.schedule(FREEZE_S, node.unfreeze)
    trial.simulation.schedule(0.5, trial.resend, trial.other_entry())


def freeze_sidecar(trial):
    """Freeze the sidecar until entries give it up, then unfreeze it."""
    trial.simulation.freeze_sidecar(trial.sidecar)
    node = trial.simulation.sidecars[trial.sidecar]
    trial.simulation.schedule(FREEZE_S, node.unfreeze)


def freeze_endpoint(trial):
    """Make the engine stand still for a while."""
    node = trial.simulation.endpoints[trial.sidecar]
    if hasattr(node, 'slow_down'):
        node.slow_down(100.0)
        trial.simulation.schedule(FREEZE_S, node.slow_down, 1.0)


def stop_entry(trial):
    """Begin a planned stop of the entry."""
    node = trial.simulation.entries[trial.entry]
    node.handle(entry_messages.StopRequested())


def stop_sidecar(trial, name=None):
    """Begin a planned stop of the sidecar."""
    name = name or trial.sidecar
    trial.left[name] = trial.simulation.now
    stop = sidecar_messages.StopRequested()
    trial.simulation.sidecars[name].handle(stop)


def leave_endpoint(trial):
    """Put the endpoint on the platform's leaving list, with its lag."""
    name = trial.sidecar
    trial.left[name] = trial.simulation.now
    trial.simulation.leaving.add(name)
    for node in trial.simulation.entries.values():
        trial.simulation.schedule(2.0, node.list_instances)


def cut_link(trial):
    """Cut the connection of entry and sidecar for a while."""
    trial.simulation.partition(trial.entry, trial.sidecar)
    trial.simulation.schedule(3.0, trial.simulation.heal)


def stall_to_sidecar(trial):
    """Hold back what goes to the sidecar."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_sidecar', STALL_S)


def stall_to_entry(trial):
    """Hold back what comes from the sidecar."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_entry', STALL_S)


def stall_long(trial):
    """Hold back what comes from the sidecar until the entry drops it."""
    trial.simulation.stall(trial.entry, trial.sidecar, 'to_entry', FREEZE_S)


def double_messages(trial):
    """Bring each later message of the connection twice."""
    simulation = trial.simulation
    observe = simulation.on_arrival

    def twice(node, event):
        observe(node, event)
        if hasattr(event, 'envelope'):
            node.handle(event)

    simulation.on_arrival = twice


def break_store(fault):
    """Return an injector of a fault of the table service."""

    def inject(trial):
        trial.simulation.store.fault = fault
        trial.simulation.schedule(OUTAGE_S, heal_store, trial)

    return inject


def heal_store(trial):
    """End the fault of the table service."""
    trial.simulation.store.fault = 'none'


def race_operators(trial):
    """Accept two revisions, the later one first."""
    trial.add_revision(3)
    trial.simulation.schedule(0.001, trial.add_revision, 2)


def send_again(trial):
    """Send the request again through another entry at once."""
    trial.resend(trial.other_entry())


def poison_request(trial):
    """Make the request crash each endpoint that runs it."""
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
    Fault('stop entry', stop_entry, COMPLETED),
    Fault('stop sidecar', stop_sidecar, COMPLETED),
    Fault('endpoint leaves', leave_endpoint, COMPLETED),
    Fault('cut', cut_link, COMPLETED),
    Fault('delay to sidecar', stall_to_sidecar, COMPLETED),
    Fault('delay to entry', stall_to_entry, COMPLETED),
    Fault('silent sidecar', stall_long, COMPLETED),
    Fault('doubled', double_messages, COMPLETED),
    Fault('store down', break_store('down'), COMPLETED),
    Fault('store slow', break_store('slow'), COMPLETED),
    Fault('store answer lost', break_store('lose_answers'), COMPLETED),
    Fault('store write late', break_store('late_effect'), COMPLETED),
    Fault('operators race', race_operators, COMPLETED),
    Fault('sent again', send_again, COMPLETED),
    Fault('crashing request', poison_request, ANY_OUTCOME),
)
