"""A grant at an engine for each request: from the leader, else from the engines."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.forwarding._account_limits import AccountLimits
from jujubeslip.forwarding._admissions import AdmissionAnswer, Admissions
from jujubeslip.forwarding._models import Attempts, ForwardContext, RoomRequest
from jujubeslip.forwarding._pressure import WAITED_SECONDS, Pressures
from jujubeslip.forwarding._reservations import Reservations
from jujubeslip.forwarding._sending import Sending
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# A request that has less time left than this can't be answered whole any more.
LEAST_RUN_SECONDS = 1.5
# From room to the first event, in seconds: the prompt is read and its memory moved in
# a quarter of a second nine times in ten.
START_SECONDS = 0.25
# How long before its client would leave a request is refused, in seconds.
LEAVING_SECONDS = 0.4


def _nothing() -> None:
    """Give nothing back."""


@dataclass(frozen=True)
class Grant:
    """Where a run is to start."""

    endpoint: Endpoint
    reader: Endpoint | None = None
    """The engine that is to read the prompt, None if any may."""
    read_seconds: float = 0.0
    """How long that should take, 0 where nobody knows."""
    reads_itself: bool = False
    """Whether the engine that answers is to read the prompt, too."""
    before_run: Callable[[], None] = _nothing
    """Gives back what is not to be kept during the run."""
    prompt_read: Callable[[], None] = _nothing
    """Tells that the prompt was read, or that it is read elsewhere."""
    at_end: Callable[[], None] = _nothing
    """Gives back the rest, once the run has ended or will not start."""


class Grants:
    """Finds grants; of what it gives, all has to be given back."""

    def __init__(
        self,
        sending: Sending,
        book: EndpointBook,
        pressures: Pressures,
        reservations: Reservations,
        admissions: Admissions | None,
        limits: AccountLimits | None = None,
    ) -> None:
        self._limits = limits
        self._sending = sending
        self._book = book
        self._pressures = pressures
        self._reservations = reservations
        self._admissions = admissions

    def find(
        self, context: ForwardContext, attempts: Attempts, reads_itself: bool
    ) -> Grant | None:
        """Return a grant; None where no engine is usable, or none has room in time.

        `attempts.found_no_room` tells the two apart. `reads_itself` says that no other
        engine can read the prompt for it.
        """
        service = context.table.service_by_name[context.service_name]
        prompt = context.request.prompt
        if service.engine is None or not service.engine.reservation_ms or not prompt:
            if self._limits is not None:
                self._limits.charge(context, attempts)
            endpoint = self._sending.choose(
                context, EndpointRole.DECODE, attempts.tried
            )
            return None if endpoint is None else Grant(endpoint)
        room = RoomRequest(
            context,
            attempts,
            service.engine,
            prompt,
            _wait_limit(context, attempts),
            reads_itself,
            goes_first=attempts.may_have_run,
            check_backoff=partial(self._check_backoff, context, attempts),
        )
        grant = self._find_room(room)
        if grant is not None and attempts.granted_ms is None:
            attempts.granted_ms = attempts.elapsed_ms
        waited = context.request.arrived.overdue() if grant else WAITED_SECONDS
        self._pressures.note_wait(context.service_name, waited)
        return grant

    def _check_backoff(self, context: ForwardContext, attempts: Attempts) -> None:
        self._sending.check_backoff(context, attempts, EndpointRole.DECODE)

    def _find_room(self, room: RoomRequest) -> Grant | None:
        context, attempts = room.context, room.attempts
        if self._admissions is not None:
            found = self._ask(self._admissions, room)
            if found is not None and not found.start_id:
                attempts.note_no_room("no grant in time", found.forecast)
                return None
            if found is not None:
                attempts.is_charged = True
                grant = self._given(context, attempts, self._admissions, found)
                if grant is not None:
                    return grant
        if self._limits is not None:
            self._charge_without_grant(self._limits, context, attempts)
        reservation = self._reservations.take(
            context, attempts, room.engine, room.prompt, room.limit
        )
        if reservation is None:
            return None
        # Kept during the run, what it holds beyond its need would count as full until
        # its end, and push other answers out.
        give_back = partial(self._reservations.release, context, reservation)
        return Grant(
            reservation.endpoint, reads_itself=room.reads_itself, before_run=give_back
        )

    def _ask(self, admissions: Admissions, room: RoomRequest) -> AdmissionAnswer | None:
        """Return what the leader decides, None without a leader that grants engines.

        Raises RequestRefusedError where the client account has used its limit. A
        request of an account with a limit waits for a leader that can charge it: only
        that one knows what is left, and hosts by themselves may let run little.
        """
        context, attempts, limits = room.context, room.attempts, self._limits
        found = admissions.ask(room)
        if limits is None or not context.cost or attempts.is_charged:
            return found
        while found is None and not limits.charge_at_leader(context, attempts):
            if not limits.wait_for_leader(context, room.limit):
                break
            found = admissions.ask(room)
        if found is not None and found.over_limit_seconds > 0:
            raise limits.over_limit(context, found.over_limit_seconds)
        return found

    def _charge_without_grant(
        self, limits: AccountLimits, context: ForwardContext, attempts: Attempts
    ) -> None:
        if self._admissions is None:
            limits.charge(context, attempts)
        else:
            limits.charge_alone(context, attempts)

    def _given(
        self,
        context: ForwardContext,
        attempts: Attempts,
        admissions: Admissions,
        found: AdmissionAnswer,
    ) -> Grant | None:
        """Return the grant that the leader gave, None if it isn't known here yet."""
        request_id = context.request.request_id
        attempt = attempts.grants_asked
        endpoint = self._usable(found.start_id)
        if endpoint is None:
            extra = {"request_id": request_id, "start_id": found.start_id}
            logger.info("grant at an engine that is not used here", extra=extra)
            admissions.end(request_id, attempt)
            return None
        attempts.note(found.start_id, "grant")
        return Grant(
            endpoint,
            reader=self._usable(found.reader_start_id),
            read_seconds=found.read_seconds,
            reads_itself=not found.reader_start_id,
            prompt_read=partial(admissions.note_read, request_id, attempt),
            at_end=partial(admissions.end, request_id, attempt),
        )

    def _usable(self, start_id: str) -> Endpoint | None:
        """Return a start of an endpoint that isn't known here to leave.

        The leader may not have heard of that yet: an endpoint that leaves would get a
        request, or a prompt, after its leaving was acknowledged. Nor may it have heard
        of a later start, which knows nothing of what the leader counts on.
        """
        endpoint = self._book.find_start(start_id)
        return endpoint if endpoint is not None and endpoint.stays else None


def _wait_limit(context: ForwardContext, attempts: Attempts) -> Deadline:
    """Return until when a request waits for room before it is refused.

    One that can't be in time any more is told so at once, and comes back when others
    have ended; held until its client leaves, it would be lost. One that has come back,
    or has had a grant and lost its engine, waits almost as long as its client does: it
    won't come again, or has a part of its answer.
    """
    end = Deadline(context.end_by.instant - LEAST_RUN_SECONDS)
    is_first_try = not context.came_back and attempts.granted_ms is None
    if is_first_try and not attempts.may_have_run:
        start = Deadline(context.target_by.instant - START_SECONDS)
        return end.earlier_of(start)
    # A client that has a part of the answer counts its patience from there.
    now = Deadline.after(0)
    waits_since = now if attempts.may_have_run else context.request.arrived
    patience = context.route.patience_ms / 1000 - LEAVING_SECONDS
    return end.earlier_of(Deadline(waits_since.instant + patience))
