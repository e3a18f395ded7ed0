"""Check that a response goes on with a stream that has begun."""

from __future__ import annotations

from persimmonroute import exceptions


class Continuation:
    """Select the events of one response that the caller does not have.

    last_event_id is the id of the last event that the caller has, or None if
    the response begins the stream.
    """

    def __init__(self, last_event_id):
        self._last_event_id = last_event_id
        # True until an event goes on with the stream that another response
        # began.
        self._unproven = last_event_id is not None
        self._repeated = False

    def is_new(self, event):
        """Return whether the caller does not have an event yet.

        Raises StreamMismatchError if the event is no part of the stream.
        """
        if event.holds_response_head:
            raise exceptions.StreamMismatchError(
                'another response begins inside the stream'
            )
        if event.is_comment:
            return True
        if event.id is None:
            if self._unproven:
                raise exceptions.StreamMismatchError(
                    'an event without an id does not go on with the stream'
                )
            return True
        last_id = self._last_event_id
        if last_id is not None and event.id <= last_id:
            self._repeated = True
            return False
        self._last_event_id = event.id
        self._unproven = False
        return True

    def select(self, events, resumable):
        """Return the events that the caller does not have yet.

        The second value is the StreamMismatchError of the event after them,
        or None. Without a second response nothing can come twice.
        """
        selected = []
        for event in events:
            try:
                new = self.is_new(event)
            except exceptions.StreamMismatchError as error:
                return selected, error
            if new or not resumable:
                selected.append(event)
        return selected, None

    def check_end(self):
        """Raise StreamMismatchError if the response did not go on.

        A response without events is the rest of a stream that was complete.
        """
        if self._unproven and self._repeated:
            raise exceptions.StreamMismatchError(
                'the response repeats events and does not go on'
            )
