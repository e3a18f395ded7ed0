"""Relay the configuration, so that restarted entries can fetch it."""

from __future__ import annotations

from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb


class ConfigurationRelay:
    """Store the highest revision and send it to entries that lag."""

    def __init__(self, board):
        self._board = board

    def on_envelope(self, event, now):
        """Request the configuration from an entry with a higher revision."""
        if event.envelope.revision > self._board.revision:
            request = pb.ConfigurationRequest(
                known_revision=self._board.revision
            )
            self._board.send(event.link, '', configuration_request=request)

    def on_frame(self, link, frame):
        """Handle a configuration frame; others are ignored."""
        kind = frame.WhichOneof('body')
        if kind == 'configuration_update':
            self._apply_update(frame.configuration_update)
        elif kind == 'configuration_request':
            self._send_update(link, frame.configuration_request)

    def _apply_update(self, update):
        board = self._board
        if update.revision <= board.revision:
            return
        board.revision = update.revision
        board.document = update.document
        board.log(Event.CONFIGURATION_IN_FORCE, revision=update.revision)

    def _send_update(self, link, request):
        board = self._board
        if request.known_revision < board.revision:
            update = pb.ConfigurationUpdate(
                revision=board.revision, document=board.document
            )
            self._board.send(link, '', configuration_update=update)
