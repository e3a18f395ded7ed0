"""Track the sidecars of the platform's list and their load."""

from __future__ import annotations

import collections

from persimmonroute.entry import board as boards
from persimmonroute.entry import messages
from persimmonroute.entry import subsets
from persimmonroute.events import Event


class MembershipTracker:
    """Maintain a view of each sidecar in this entry's subset."""

    def __init__(self, board):
        self._board = board

    def on_instances(self, event, now):
        """Open and close connections to match the platform's list."""
        board = self._board
        listed = {i.name: i for i in self._select_subsets(event.instances)}
        awaited = {record.sidecar for record in board.calls.values()}
        for name in list(board.sidecars):
            gone = name not in listed and name not in awaited
            if gone and not board.sidecars[name].linked:
                del board.sidecars[name]
                board.put(messages.CloseLink(name))
        for name, instance in listed.items():
            self._update_view(name, instance, name in awaited)

    def on_link_opened(self, event, now):
        """Mark a sidecar as connected."""
        view = self._board.sidecars.get(event.sidecar)
        if view is None:
            return
        view.linked = True
        view.incarnation = event.incarnation
        self._board.log(
            Event.SIDECAR_LINKED,
            sidecar=event.sidecar,
            incarnation=event.incarnation,
        )

    def on_link_closed(self, event, now):
        """Mark a sidecar as disconnected."""
        view = self._board.sidecars.get(event.sidecar)
        if view is None or not view.linked:
            return
        view.linked = False
        view.clear_outstanding()
        if view.moved:
            self._move(view)
        self._board.log(Event.SIDECAR_UNLINKED, sidecar=event.sidecar)

    def on_envelope(self, event, now):
        """Apply the revision and load report of an envelope."""
        view = self._board.sidecars.get(event.sidecar)
        envelope = event.envelope
        if view is None:
            return
        view.revision = envelope.revision
        if not envelope.HasField('load'):
            return
        if envelope.load.leaving and not view.load.leaving:
            self._board.log(Event.SIDECAR_LEAVING, sidecar=event.sidecar)
        view.update_load(envelope.load)
        self._board.quarantine.on_load(envelope.load, now)

    def _select_subsets(self, instances):
        board = self._board
        by_service = collections.defaultdict(list)
        for instance in instances:
            by_service[instance.service].append(instance)
        return [
            chosen
            for service in by_service.values()
            for chosen in subsets.choose_subset(
                board.name, board.locality, service
            )
        ]

    def _update_view(self, name, instance, awaited):
        board = self._board
        view = board.sidecars.get(name)
        if view is None:
            board.sidecars[name] = boards.SidecarView(instance)
            board.put(messages.OpenLink(name, instance.sidecar))
            return
        if view.instance.sidecar != instance.sidecar:
            view.moved = True
        view.instance = instance
        # Requests may still get their responses over a former link.
        if view.moved and not (view.linked and awaited):
            self._move(view)

    def _move(self, view):
        view.moved = False
        instance = view.instance
        self._board.put(messages.OpenLink(instance.name, instance.sidecar))
