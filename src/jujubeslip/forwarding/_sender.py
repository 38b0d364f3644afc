"""Common to all request paths: endpoint choice, limits, retry budget, and errors."""

from __future__ import annotations

import logging
import random
from collections.abc import Collection
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    CONNECT_SECONDS,
    AnswerCutError,
    Connections,
    EndpointAnswerError,
    EndpointError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointRoleError,
    EndpointsOutOfReachError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    Interrupted,
    never_interrupted,
)
from jujubeslip.forwarding._answer_ends import check_end
from jujubeslip.forwarding._busy_retries import busy_retry_seconds
from jujubeslip.forwarding._choice import Chooser
from jujubeslip.forwarding._crash_detector import CrashDetector
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._models import (
    NOT_SENT,
    Attempts,
    ForwardContext,
    refusal_of,
)
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._retry_budgets import RetryBudgets
from jujubeslip.interfaces import Interface, InternalRequest, send_internal_request
from jujubeslip.kernel import Deadline, RequestRefusedError
from jujubeslip.notices import EndpointNotices, Hold, HoldReason, ServiceHolds
from jujubeslip.peers import EndpointRole
from jujubeslip.relays import EndpointReach, out_of_reach_refusal
from jujubeslip.routes import RouteKind

logger = logging.getLogger(__name__)

# Maximum sends of one request, including those that endpoints refused: more would only
# spend the retry budget that other requests need. Those of which nothing was sent don't
# count, unless they take as long as if the connection timed out each time.
MAXIMUM_SENDS = 4
MAXIMUM_UNSENT_SECONDS = MAXIMUM_SENDS * CONNECT_SECONDS
# Minimum Retry-After for a request refused by an endpoint's limit, in seconds.
MINIMUM_RETRY_SECONDS = 0.1
# Retry-After times of clients refused during a backoff are spread over this many
# seconds after its end.
BACKOFF_SPREAD_SECONDS = 0.5

# Maximum start ids in one log line.
LISTED_STARTS = 8


@dataclass(frozen=True)
class EndpointSender:
    """Sends requests to endpoints and records the outcomes for later choices."""

    interface: Interface
    pool: Connections
    chooser: Chooser
    health: EndpointHealth
    budgets: RetryBudgets
    crashes: CrashDetector
    quarantine: Quarantine
    limits: EndpointLimits
    reach: EndpointReach

    @property
    def notices(self) -> EndpointNotices:
        """Return the notices that endpoints have given about themselves."""
        return self.limits.notices

    def choose(
        self, context: ForwardContext, role: EndpointRole, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return an endpoint for the request, None if none is usable."""
        name = context.service_name
        if role is not EndpointRole.PLAIN:
            return self.chooser.choose(name, role, excluded)
        target_seconds = context.route.target_ms / 1000
        return self.chooser.choose(name, role, excluded, target_seconds)

    def exchange(
        self,
        context: ForwardContext,
        endpoint: Endpoint,
        interrupted: Interrupted | None = None,
    ) -> Exchange:
        """Return an exchange with the endpoint, to be used as a context manager.

        Without `interrupted`, it ends when the client disconnects.
        """
        return Exchange(
            self.pool,
            self.interface,
            endpoint,
            context.request,
            interrupted or context.client_disconnected,
            self.notices,
        )

    def ask(
        self,
        endpoint: Endpoint,
        internal_request: InternalRequest,
        deadline: Deadline,
        client_disconnected: Interrupted = never_interrupted,
    ) -> tuple[int, bytes]:
        """Send the endpoint a question of this host; return status and body."""
        return send_internal_request(
            self.pool,
            self.interface,
            self.notices,
            endpoint,
            internal_request,
            deadline,
            client_disconnected,
        )

    def charge_endpoint_limit(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> bool:
        """Charge a send against the endpoint's limit; return whether it is allowed.

        It is never allowed while the endpoint is in backoff or leaving.
        """
        if self.is_on_hold(attempts, endpoint):
            return False
        wait = self.limits.spend(context.request.request_id, endpoint.start_id)
        if wait > 0:
            attempts.note(endpoint.start_id, "its limit is used")
        return wait == 0

    def is_on_hold(self, attempts: Attempts, endpoint: Endpoint) -> bool:
        """Return whether the chosen endpoint is in backoff or leaving by now."""
        hold = self.notices.hold_of(endpoint.start_id)
        if hold is not None:
            attempts.note(endpoint.start_id, f"on hold, {hold.reason.value}")
        return hold is not None

    def refusal(
        self, context: ForwardContext, attempts: Attempts, role: EndpointRole
    ) -> RequestRefusedError:
        """Return the refusal that applies to the attempts made so far.

        An endpoint that refused the request may accept it a moment later, so the client
        need not wait until the holds of other endpoints end.
        """
        if _is_out_of_reach(attempts) and not attempts.may_have_run:
            return out_of_reach_refusal()
        holds = self.chooser.holds(context.service_name, role)
        first = holds.first_to_end
        was_refused = attempts.last_error is not None
        if first is None or attempts.may_have_run:
            return self._busy_refusal(context, attempts, role)
        if was_refused and not holds.cover_all:
            return self._busy_refusal(context, attempts, role)
        return _hold_refusal(context, holds, first)

    def _busy_refusal(
        self, context: ForwardContext, attempts: Attempts, role: EndpointRole
    ) -> RequestRefusedError:
        """Return the refusal, with a time of its own if plain endpoints were full."""
        refusal = refusal_of(attempts, context.end_by)
        is_full = isinstance(attempts.last_error, EndpointRefusedError)
        if role is not EndpointRole.PLAIN or attempts.may_have_run or not is_full:
            return refusal
        known = map(self.health.answer_times.expected_seconds, attempts.tried)
        client_until = context.request.client_deadline or context.end_by
        refusal.retry_after = busy_retry_seconds(
            min((seconds for seconds in known if seconds), default=None),
            context.target_by.remaining(),
            client_until.remaining(),
        )
        return refusal

    def check_backoff(
        self, context: ForwardContext, attempts: Attempts, role: EndpointRole
    ) -> None:
        """Refuse a request that has not run while all endpoints are in backoff.

        Endpoint limits free capacity within moments, but a backoff lasts for seconds.
        """
        if attempts.may_have_run:
            return
        holds = self.chooser.holds(context.service_name, role)
        first = holds.first_to_end if holds.cover_all else None
        if first is not None and first.reason is HoldReason.BACKOFF:
            raise _hold_refusal(context, holds, first)

    def may_send(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Return whether limits and retry budget allow one more send, and count it.

        Sends that can't have reached an endpoint cost no retry budget.

        Raises RequestRefusedError if the request has not run and is quarantined.
        """
        if not attempts.may_have_run:
            self.quarantine.check(context)
        if attempts.sends == 0:
            self.budgets.note_request(context.service_name)
        elif not self.is_open(context, attempts):
            return False
        elif not self._may_arrive_again(context, attempts):
            attempts.note("-", "no retry budget left")
            return False
        attempts.sends += 1
        attempts.latest_sent_at = Deadline.after(0)
        attempts.answer_started = None
        return True

    def _may_arrive_again(self, context: ForwardContext, attempts: Attempts) -> bool:
        if not attempts.has_arrived and not attempts.may_have_run:
            return True
        attempts.has_spent_retry = self.budgets.spend(context.service_name)
        return attempts.has_spent_retry

    def _restore_retry(
        self, context: ForwardContext, attempts: Attempts, error: EndpointError
    ) -> None:
        """Restore the retry that was spent on a send of which nothing was sent."""
        if attempts.has_spent_retry and isinstance(error, NOT_SENT):
            self.budgets.restore(context.service_name)
        attempts.has_spent_retry = False

    def is_open(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Return whether the route's limits allow one more send.

        Callers check this before they wait for anything, so that a request that must
        not be sent again is answered at once.
        """
        if _is_out_of_reach(attempts):
            return False
        if attempts.sends == 0:
            return True
        if not has_sends_left(attempts) or context.end_by.expired:
            return False
        if attempts.may_have_run and not context.route.repeatable:
            return False
        if attempts.may_have_run and self.quarantine.holds(context):
            return False
        if attempts.runs >= context.route.maximum_attempts:
            return False
        return attempts.sends < MAXIMUM_SENDS or self._knows_another(context, attempts)

    def _knows_another(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Return whether an endpoint is left that isn't skipped.

        While all are unreachable, each request would try the whole pool otherwise, or
        wait for the capacity of an engine that it can't get.
        """
        is_stream = context.route.kind is RouteKind.STREAM
        role = EndpointRole.DECODE if is_stream else EndpointRole.PLAIN
        return self.chooser.has_healthy(context.service_name, role, attempts.tried)

    def lost_links_since(self, sent_at: Deadline, error: EndpointError) -> bool:
        """Return whether this host's own links explain the error of a call."""
        is_out_of_reach = isinstance(error, EndpointsOutOfReachError)
        return is_out_of_reach or self.reach.was_lost_since(sent_at.timestamp)

    def check_end(self, endpoint: Endpoint, exchange: Exchange) -> None:
        """Raise AnswerCutError if it may have ended only because its endpoint did."""
        check_end(endpoint, exchange, self.crashes.has_ended)

    def read_deliverable(self, endpoint: Endpoint, exchange: Exchange) -> bytes:
        """Return the body of an answer that may be delivered to the client.

        Raises EndpointError if the answer isn't whole, or if it would tell the client
        that the request has not run although the endpoint doesn't state that.
        """
        body = exchange.read_rest()
        self.check_end(endpoint, exchange)
        exchange.check_refusal()
        return body

    def note_request_error(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        error: EndpointError,
    ) -> None:
        """Record that a request to an endpoint, which may have run it, failed."""
        if isinstance(error, AnswerCutError | EndpointAnswerError):
            # A process that ends while it sends a head leaves an invalid one.
            self.crashes.record_cut_off(context, attempts, endpoint)
        self._restore_retry(context, attempts, error)
        self.note_error(attempts, endpoint, error)

    def note_error(
        self, attempts: Attempts, endpoint: Endpoint, error: EndpointError
    ) -> None:
        """Record that a call to an endpoint brought no answer.

        The endpoint is not skipped if this host lost its own links meanwhile.
        """
        attempts.note_error(endpoint.start_id, error)
        if isinstance(error, EndpointOnHoldError) and error.hold_seconds:
            self.notices.record_hold(endpoint.start_id, error.hold_seconds)
        if self.lost_links_since(attempts.latest_sent_at, error):
            return
        if isinstance(error, EndpointUnreachableError):
            self.health.note_unreachable(endpoint.start_id, error.message)
        elif isinstance(error, EndpointReplacedError):
            self.health.note_replaced(endpoint.start_id)
        elif isinstance(error, EndpointRoleError):
            # Its next announcement reports the new role.
            self.health.note_unreachable(endpoint.start_id, error.message)
        elif not isinstance(error, EndpointRefusedError | EndpointOnHoldError):
            self.health.note_failure(endpoint.start_id)
            if isinstance(error, EndpointTimeoutError):
                self.health.note_unreachable(endpoint.start_id, error.message)


def has_sends_left(attempts: Attempts) -> bool:
    """Return whether the maximum of sends allows one more.

    An endpoint that refuses connections costs a round trip and runs nothing, and after
    a crash of several there may be many. One that is silent costs a connect timeout.
    """
    if attempts.sends < MAXIMUM_SENDS:
        return True
    if attempts.unsent_seconds >= MAXIMUM_UNSENT_SECONDS:
        return False
    return attempts.sends - attempts.unsent < MAXIMUM_SENDS


def _is_out_of_reach(attempts: Attempts) -> bool:
    return isinstance(attempts.last_error, EndpointsOutOfReachError)


def _hold_refusal(
    context: ForwardContext, holds: ServiceHolds, first: Hold
) -> RequestRefusedError:
    """Return the refusal of a request while endpoints are on hold.

    `first` is the hold that ends first.
    """
    wait = max(MINIMUM_RETRY_SECONDS, first.until.remaining())
    if first.reason is HoldReason.LIMIT:
        return RequestRefusedError(
            "endpoint_limit",
            "The endpoints accept no more requests now, by the limits that they named.",
            retry_after=wait,
        )
    extra = {
        "request_id": context.request.request_id,
        "service": context.service_name,
        "wait_ms": first.until.remaining_ms(),
        "start_ids": holds.starts_in_backoff[:LISTED_STARTS],
    }
    logger.info("request refused during backoff", extra=extra)
    return RequestRefusedError(
        "endpoint_backoff",
        "The endpoints of the service have asked for backoff.",
        retry_after=wait + random.uniform(0, BACKOFF_SPREAD_SECONDS),
    )
