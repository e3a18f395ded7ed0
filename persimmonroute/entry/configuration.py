"""Maintain the highest configuration revision seen by an entry."""

from __future__ import annotations

from persimmonroute.config import declarations
from persimmonroute.entry import messages
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.generated import exchange_pb2 as pb


class ConfigurationManager:
    """Adopt higher revisions and send them to sidecars that lag."""

    def __init__(self, board, verifier):
        self._board = board
        self._verifier = verifier
        self._frame_handlers = {
            'configuration_request': self._on_request,
            'configuration_update': self._on_update,
        }

    def on_received(self, event, now):
        """Adopt a valid document with a revision above the current one."""
        board = self._board
        if event.revision <= board.revision:
            return
        try:
            document = self._verifier.verify(event.revision, event.document)
            adopted = declarations.parse_declarations(document)
        except (
            exceptions.DeclarationError,
            exceptions.UntrustedRevisionError,
        ) as error:
            board.log(
                Event.CONFIGURATION_REJECTED,
                revision=event.revision,
                problem=str(error),
            )
            return
        board.declarations = adopted
        board.revision = event.revision
        board.document = event.document
        board.log(Event.CONFIGURATION_IN_FORCE, revision=event.revision)
        for name, view in board.sidecars.items():
            if view.linked:
                self._send_update(name)

    def on_envelope(self, event, now):
        """Request a higher revision from a sidecar, or send it ours."""
        board = self._board
        view = board.sidecars.get(event.sidecar)
        if event.envelope.revision < board.revision:
            if view is not None and view.pushed_revision < board.revision:
                self._send_update(event.sidecar)
        elif event.envelope.revision > board.revision:
            request = pb.ConfigurationRequest(known_revision=board.revision)
            frame = pb.Frame(configuration_request=request)
            board.put(messages.SendFrame(event.sidecar, frame))

    def on_link_opened(self, event, now):
        """Reset the revision last sent, since the connection is new."""
        view = self._board.sidecars.get(event.sidecar)
        if view is not None:
            view.pushed_revision = 0

    def on_frame(self, sidecar, frame, now):
        """Handle a configuration request or update frame."""
        kind = frame.WhichOneof('body')
        handler = self._frame_handlers.get(kind)
        if handler is not None:
            handler(sidecar, getattr(frame, kind), now)

    def _on_request(self, sidecar, request, now):
        if request.known_revision < self._board.revision:
            self._send_update(sidecar)

    def _on_update(self, sidecar, update, now):
        received = messages.ConfigurationReceived(
            update.revision, update.document
        )
        self.on_received(received, now)

    def _send_update(self, sidecar):
        self._board.sidecars[sidecar].pushed_revision = self._board.revision
        update = pb.ConfigurationUpdate(
            revision=self._board.revision, document=self._board.document
        )
        frame = pb.Frame(configuration_update=update)
        self._board.put(messages.SendFrame(sidecar, frame))
