"""Hold the configuration so that restarted entries can ask for it."""

from __future__ import annotations

from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb


class ConfigurationRelay:
    """Keep the highest revision and pass it to peers that lag."""

    def __init__(self, board):
        self._board = board

    def on_envelope(self, event, now):
        """Ask an entry that knows a higher revision for it."""
        if event.envelope.revision > self._board.revision:
            request = pb.ConfigurationRequest(
                known_revision=self._board.revision
            )
            self._board.send(event.link, '', configuration_request=request)

    def on_frame(self, link, frame):
        """Handle one frame about configuration."""
        kind = frame.WhichOneof('body')
        if kind == 'configuration_update':
            self._adopt(frame.configuration_update)
        elif kind == 'configuration_request':
            self._answer(link, frame.configuration_request)

    def _adopt(self, update):
        board = self._board
        if update.revision <= board.revision:
            return
        board.revision = update.revision
        board.document = update.document
        board.log(Event.CONFIGURATION_IN_FORCE, revision=update.revision)

    def _answer(self, link, request):
        board = self._board
        if request.known_revision < board.revision:
            update = pb.ConfigurationUpdate(
                revision=board.revision, document=board.document
            )
            self._board.send(link, '', configuration_update=update)
