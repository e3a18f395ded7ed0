"""Find endpoints for requests and connect to them."""

from __future__ import annotations

import asyncio
import typing

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute import logs

log = logs.EventLog(__name__)

# Pause after a search for another endpoint that found none.
SEARCH_PAUSE_S = 0.2
# Age of a grant from which nothing is sent for it any more. Connecting takes
# less; a host frees the slots of a gateway that stood still for this long.
PLACE_VALID_S = 1.0


class Place(typing.NamedTuple):
    """Store a granted endpoint with an open connection to it."""

    pending: messages.PendingRequest
    connection: object
    # Until when a request may be sent there.
    valid_until: float

    @property
    def valid(self):
        """Return whether a request may still be sent there."""
        return clock.now_s() <= self.valid_until

    def close(self):
        """Close the connection, which may be stale."""
        self.connection.close()


class PlaceFinder:
    """Have endpoints granted, and connect to them."""

    def __init__(
        self,
        board,
        admission,
        dispatcher,
        client,
        metrics,
        crash_checker,
        confirm_version,
    ):
        self._board = board
        self._admission = admission
        self._dispatcher = dispatcher
        self._client = client
        self._metrics = metrics
        self._crash_checker = crash_checker
        # Makes the store know a version, before a stream begins there.
        self._confirm_version = confirm_version

    async def find(self, pending):
        """Return a Place, or the Rejection of a request."""
        while True:
            granted = await self._dispatcher.wait_for_grant(pending)
            if isinstance(granted, model.Rejection):
                return granted
            try:
                rejection = self._admission.check_again(pending, clock.now_s())
                if rejection is None:
                    connection = await self._connect(pending)
                    place = self._build_place(pending, connection)
                    # Connecting takes up to a second.
                    rejection = self._admission.check_again(
                        pending, clock.now_s()
                    )
                    leaving = pending.runner.leaving
                    if place.valid and not leaving and rejection is None:
                        return place
                    place.close()
                    if leaving:
                        pending.excluded.add(pending.runner.id)
            except (
                exceptions.EndpointUnreachableError,
                exceptions.EndpointReplacedError,
            ) as error:
                self._record_unreachable(pending, error)
                continue
            except BaseException:
                self._dispatcher.release(pending, Ending.ABANDONED)
                raise
            self._dispatcher.release(pending, Ending.ABANDONED)
            if rejection is not None:
                return rejection

    def _build_place(self, pending, connection):
        return Place(
            pending,
            connection,
            min(
                pending.sent_at + PLACE_VALID_S,
                self._admission.find_latest_send(pending),
            ),
        )

    async def search(self, pending):
        """Return a Place at another endpoint than that of a request.

        It takes however long it takes: to be cancelled if that endpoint
        responds.
        """
        while True:
            try:
                place = await self._find_other(pending)
            except Exception as error:
                # The endpoint that is used may still respond.
                log.emit(
                    Event.GATEWAY_FAULT,
                    request=pending.attempt,
                    problem=repr(error),
                )
                place = None
            if place is not None:
                return place
            await asyncio.sleep(SEARCH_PAUSE_S)

    def discard(self, place):
        """Return a place that is not needed any more."""
        if place.valid:
            record = place.pending.runner.record
            self._client.release(record, place.connection)
        else:
            place.close()
        self._dispatcher.release(place.pending, Ending.ABANDONED)
        self._give_back(place.pending)

    def abort(self, place):
        """End the use of a place whose request could not be sent."""
        place.connection.abort()
        self._give_back(place.pending)

    async def _find_other(self, pending):
        """Return a Place, or None if there is none now."""
        successor = pending.build_successor()
        now = clock.now_s()
        # A slot would be granted in vain.
        if self._admission.check_again(successor, now) is not None:
            return None
        # The search counts as a retry from its grant on: others may end first.
        if not self._board.retries.allows(successor.service, now):
            return None
        found = await self.find_again(successor)
        return found if isinstance(found, Place) else None

    def take_retry(self, pending):
        """Count a retry and return True if the budget allows it."""
        now = clock.now_s()
        if not self._board.retries.take(pending.service, now):
            return False
        pending.retried_at = now
        return True

    async def find_again(self, pending):
        """Return a counted Place for a retry, or the Rejection.

        None if the budget does not allow it any more. The retry counts no more
        if there is no Place.
        """
        place = None
        try:
            place = await self.find(pending)
        finally:
            if not isinstance(place, Place):
                self._give_back(pending)
        if isinstance(place, Place) and not self._renew_retry(pending):
            self.discard(place)
            return None
        return place

    def _renew_retry(self, pending):
        """Count a retry at its grant; return whether that is allowed."""
        now = clock.now_s()
        if not self._board.retries.renew(
            pending.service, pending.retried_at, now
        ):
            return False
        pending.retried_at = now
        return True

    def record_sent(self, pending):
        """Count a retry from the time at which it is sent."""
        if pending.retried_at is not None:
            self._board.retries.move(
                pending.service, pending.retried_at, clock.now_s()
            )
            pending.retried_at = None

    def _give_back(self, pending):
        self._board.retries.give_back(pending.service, pending.retried_at)
        pending.retried_at = None

    async def _connect(self, pending):
        record = pending.runner.record
        if pending.route.resumable and pending.version is None:
            await self._confirm_version(record.service, record.version)
        return await self._client.connect(
            record,
            pending.request,
            pending.route.repeatable,
            # The version of the process that answers has to be known: only
            # that version may go on with the stream.
            verify_incarnation=(
                pending.route.resumable or pending.version is not None
            ),
        )

    def _record_unreachable(self, pending, error):
        """Record that nothing could be sent to the granted endpoint."""
        view = pending.runner
        ending = Ending.UNREACHABLE
        if isinstance(error, exceptions.EndpointReplacedError):
            ending = Ending.MISDIRECTED
        elif isinstance(error, exceptions.ResourcesExhaustedError):
            # The endpoint has no part in it.
            ending = Ending.ABANDONED
        elif isinstance(error, exceptions.EndpointRefusedError):
            self._crash_checker.record_crash(view)
        self._dispatcher.release(pending, ending)
        pending.excluded.add(view.id)
        self._metrics.on_attempt(ending)
        log.emit(
            Event.GATEWAY_ATTEMPT_FAILED,
            request=pending.attempt,
            runner=view.id,
            ending=ending.value,
            problem=error.problem,
            event_relayed=pending.version is not None,
            prompt=[part.id for part in pending.request.prompt],
        )
