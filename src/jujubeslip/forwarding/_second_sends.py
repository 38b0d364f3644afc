"""Sends slow requests that may be repeated a second time, to another endpoint."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    ClientDisconnectedError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._second_send_meters import SecondSendMeters
from jujubeslip.forwarding._sender import EndpointSender, has_sends_left
from jujubeslip.forwarding._whole_send import SendEnd, WholeSend
from jujubeslip.hedging import (
    AnswerTimes,
    KeptBack,
    SecondSendBudget,
    SecondSendOptions,
    SendRaces,
    ServiceRefusals,
    Situation,
    reason_to_keep_back,
    wait_before_second_send,
)
from jujubeslip.kernel import Deadline, Ran, RequestRefusedError, steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import RouteTable

logger = logging.getLogger(__name__)

# Statuses of an endpoint that has no free place, other than that of another endpoint at
# its address.
FULL_STATUSES = (429, 503)
# How long the slower of two sends may still be answered, in seconds. Its connection is
# kept then; closing it costs a new one.
GRACE_SECONDS = 0.1
# The runs that a route has to allow for two sends at a time.
SENDS_AT_A_TIME = 2


class SecondSends:
    """Runs the sends of a request, of which there are two if the first is slow.

    Only the thread of the request changes its attempts; the threads of the sends return
    their ends to it.
    """

    def __init__(
        self,
        sender: EndpointSender,
        options: SecondSendOptions,
        is_near_limit: Callable[[ForwardContext], bool],
    ) -> None:
        """Create it; `is_near_limit` tells whether the account of a request is."""
        self._sender = sender
        self._options = options
        self._is_near_limit = is_near_limit
        self._times = AnswerTimes()
        self._refusals = ServiceRefusals()
        self._budget = SecondSendBudget(options.share)
        self._races: SendRaces[SendEnd] = SendRaces()
        self._meters = SecondSendMeters()
        self._version = 0

    def send(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        deadlines: tuple[Deadline, Deadline],
    ) -> Iterator[SendEnd]:
        """Yield the end of the send to this endpoint, or of both sends as they end.

        `deadlines` are those of the first and the second send. A send whose end is not
        awaited is given up when the generator is closed.
        """
        self._note_request(context, attempts)
        first = WholeSend(self._sender, context, endpoint, deadlines[0])
        end = first.begin()
        second = None
        if end is None:
            try:
                second = self._second_send(context, attempts, first, deadlines[1])
            except BaseException:
                first.close()
                raise
        if second is not None:
            yield from self._race(context, attempts, (first, second))
            return
        end = end or first.finish()
        self._note_end(context, end)
        if end.is_success or isinstance(end.error, EndpointTimeoutError):
            self._note_time(context, first)
        yield end

    # The two sends

    def _race(
        self,
        context: ForwardContext,
        attempts: Attempts,
        sends: tuple[WholeSend, WholeSend],
    ) -> Iterator[SendEnd]:
        def check() -> None:
            if context.client_disconnected():
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.UNKNOWN
                )

        first, second = sends
        running = list(sends)
        winner: WholeSend | None = None
        try:
            for finished in self._races.run((first.finish, second.run), check):
                send, end = sends[finished.number], finished.result
                running.remove(send)
                winner = send if end.is_success else None
                self._note_end(context, end)
                yield end
        finally:
            for send in running:
                send.cancel(GRACE_SECONDS if winner else 0.0)
                attempts.note(send.endpoint.start_id, "given up")
            self._note_time(context, first)
            self._note_race(context, attempts, sends, winner, len(running))

    def _note_race(
        self,
        context: ForwardContext,
        attempts: Attempts,
        sends: tuple[WholeSend, WholeSend],
        winner: WholeSend | None,
        given_up: int,
    ) -> None:
        outcome = _name_of(winner, sends)
        self._meters.record_end(context.service_name, outcome, given_up)
        extra = {
            "request_id": context.request.request_id,
            "answered_by": outcome,
            "start_id": winner.endpoint.start_id if winner else "",
            "second_sent_ago_ms": int(sends[1].sent_at.overdue() * 1000),
            "given_up": given_up,
        }
        logger.info("second send ended", extra=extra)

    # Whether there is a second send

    def _second_send(
        self,
        context: ForwardContext,
        attempts: Attempts,
        first: WholeSend,
        deadline: Deadline,
    ) -> WholeSend | None:
        """Wait for the answer; return a second send if it is slow and may have one."""
        if not context.route.repeatable or attempts.has_second_send:
            return None
        now = steady_seconds()
        name = context.route.name
        slow = self._times.percentile(name, self._options.percentile / 100, now)
        usual = self._times.median(name, now)
        wait = wait_before_second_send(self._options, slow)
        if wait is None or usual is None:
            return None
        if first.wait_for_answer(Deadline(first.sent_at.timestamp + wait)):
            return None
        endpoint = self._choose(context, attempts, first)
        reason = self._reason_to_keep_back(context, attempts, first, usual, endpoint)
        if reason is not None or endpoint is None:
            reason = reason or KeptBack.NO_ENDPOINT
            attempts.note("-", f"second send kept back, {reason.value}")
            self._meters.record_kept_back(context.service_name, reason)
            return None
        self._note_second(context, attempts, first, endpoint, wait)
        return WholeSend(self._sender, context, endpoint, deadline)

    def _reason_to_keep_back(
        self,
        context: ForwardContext,
        attempts: Attempts,
        first: WholeSend,
        usual: float,
        endpoint: Endpoint | None,
    ) -> KeptBack | None:
        reason = reason_to_keep_back(self._situation(context, attempts, first, usual))
        if reason is not None:
            return reason
        if endpoint is None:
            return KeptBack.NO_ENDPOINT
        if not self._races.try_enter():
            return KeptBack.THREADS
        service_name = context.service_name
        recent = self._sender.budgets.recent_sends(service_name)
        if not self._budget.spend(service_name, recent):
            self._races.leave()
            return KeptBack.SHARE
        self._sender.budgets.note_second_send(service_name)
        return None

    def _situation(
        self,
        context: ForwardContext,
        attempts: Attempts,
        first: WholeSend,
        usual: float,
    ) -> Situation:
        service_name = context.service_name
        holds = self._sender.chooser.holds(service_name, EndpointRole.PLAIN)
        runs = attempts.runs + SENDS_AT_A_TIME
        return Situation(
            has_attempts_left=runs <= context.route.maximum_attempts
            and has_sends_left(attempts),
            seconds_to_target=context.target_by.remaining(),
            seconds_to_end=context.end_by.remaining(),
            usual_seconds=usual,
            uses_own_links=not first.is_relayed and not self._sender.reach.is_lost,
            is_suspected=self._sender.quarantine.has_crashed(context),
            account_has_room=self._account_has_room(context),
            refused_lately=self._refusals.is_recent(service_name, steady_seconds()),
            has_holds=holds.first_to_end is not None,
        )

    def _account_has_room(self, context: ForwardContext) -> bool:
        try:
            context.check_account()
        except RequestRefusedError:
            return False
        return not context.cost or not self._is_near_limit(context)

    def _choose(
        self, context: ForwardContext, attempts: Attempts, first: WholeSend
    ) -> Endpoint | None:
        """Return another endpoint that has room as far as this host knows."""
        sender, busy = self._sender, first.endpoint
        excluded = {*attempts.tried, busy.start_id}
        other = sender.choose(context, EndpointRole.PLAIN, excluded)
        if other is None or other.endpoint_id == busy.endpoint_id:
            return None
        health = sender.health
        has_more_room = health.open_requests(other.start_id) < health.open_requests(
            busy.start_id
        )
        is_limited = sender.notices.limit_of(other.start_id) is not None
        is_usable = not is_limited and not health.is_paused(other.start_id)
        return other if has_more_room and is_usable else None

    def _note_second(
        self,
        context: ForwardContext,
        attempts: Attempts,
        first: WholeSend,
        endpoint: Endpoint,
        wait: float,
    ) -> None:
        attempts.has_second_send = True
        # The first send has reached its endpoint.
        attempts.has_spent_retry = False
        attempts.sends += 1
        attempts.latest_sent_at = Deadline.after(0)
        attempts.note(endpoint.start_id, "second send")
        self._meters.record_sent(context.service_name)
        extra = {
            "request_id": context.request.request_id,
            "route": context.route.name,
            "start_id": first.endpoint.start_id,
            "second_start_id": endpoint.start_id,
            "waited_ms": int(first.sent_at.overdue() * 1000),
            "slow_after_ms": int(wait * 1000),
        }
        logger.info("request sent a second time", extra=extra)

    # What is learned from requests

    def _note_request(self, context: ForwardContext, attempts: Attempts) -> None:
        self._follow(context.table)
        if attempts.sends == 1:
            recent = self._sender.budgets.recent_sends(context.service_name)
            self._budget.note_request(context.service_name, recent)

    def _follow(self, table: RouteTable) -> None:
        """Forget routes and services that a new configuration doesn't have."""
        if table.version <= self._version:
            return
        self._version = table.version
        self._times.keep_routes({route.name for route in table.routes})
        self._budget.keep_services(table.service_by_name)
        self._refusals.keep_services(table.service_by_name)

    def _note_end(self, context: ForwardContext, end: SendEnd) -> None:
        error = end.error
        if isinstance(error, EndpointRefusedError) and error.status in FULL_STATUSES:
            self._refusals.note(context.service_name, steady_seconds())

    def _note_time(self, context: ForwardContext, first: WholeSend) -> None:
        """Record the time of the first send, also of one that was given up.

        It was slow then, and would be missing among the slowest answers otherwise.
        """
        if context.route.repeatable:
            seconds = first.sent_at.overdue()
            self._times.note(context.route.name, seconds, steady_seconds())


def _name_of(winner: WholeSend | None, sends: tuple[WholeSend, WholeSend]) -> str:
    if winner is None:
        return "none"
    return "first" if winner is sends[0] else "second"
