"""What all paths share: choosing an endpoint, the budget, what a failure says."""

from __future__ import annotations

import logging
import random
from collections.abc import Collection
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    ConnectionPool,
    EndpointError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointRoleError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    Interrupted,
    never_interrupted,
)
from jujubeslip.forwarding._budget import RetryBudgets
from jujubeslip.forwarding._choice import Chooser
from jujubeslip.forwarding._crashes import CrashWatch
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._models import Attempts, ForwardContext, refusal_of
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.interfaces import EndpointQuestion, Interface, ask_endpoint
from jujubeslip.kernel import Deadline, RequestRefusedError
from jujubeslip.notices import EndpointNotices, Hold, HoldReason, ServiceHolds
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# Sends of one request at most, those that endpoints refused included: more would only
# spend the budget that other requests need.
MAXIMUM_SENDS = 4
# The least that a client is told to stay away for an endpoint's limit, in seconds.
LEAST_RETRY_SECONDS = 0.1
# How far the clients that are told of a backoff are spread behind its end, in seconds.
BACKOFF_SPREAD_SECONDS = 0.5

# Starts that one log line names at most.
LISTED_STARTS = 8


@dataclass(frozen=True)
class Sending:
    """Sends requests to endpoints and learns from what comes of it."""

    interface: Interface
    pool: ConnectionPool
    chooser: Chooser
    health: EndpointHealth
    budgets: RetryBudgets
    crashes: CrashWatch
    quarantine: Quarantine
    limits: EndpointLimits

    @property
    def notices(self) -> EndpointNotices:
        """Return what endpoints have said of themselves."""
        return self.limits.notices

    def choose(
        self, context: ForwardContext, role: EndpointRole, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return an endpoint for the request, None without a usable one."""
        return self.chooser.choose(context.service_name, role, excluded)

    def exchange(self, context: ForwardContext, endpoint: Endpoint) -> Exchange:
        """Return a call to the endpoint, to be used as a context."""
        return Exchange(
            self.pool,
            self.interface,
            endpoint,
            context.request,
            context.gone,
            self.notices,
        )

    def ask(
        self,
        endpoint: Endpoint,
        question: EndpointQuestion,
        deadline: Deadline,
        gone: Interrupted = never_interrupted,
    ) -> tuple[int, bytes]:
        """Ask the endpoint something that is no request; return status and body."""
        return ask_endpoint(
            self.pool,
            self.interface,
            self.notices,
            endpoint,
            question,
            deadline,
            gone,
        )

    def within_limit(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> bool:
        """Charge a send to an endpoint with a limit; say whether it may go.

        It may not to an endpoint that is in backoff or leaves, whatever its limit.
        """
        if self.is_on_hold(attempts, endpoint):
            return False
        wait = self.limits.take(context.request.request_id, endpoint.start_id)
        if wait > 0:
            attempts.note(endpoint.start_id, "its limit is used")
        return wait == 0

    def is_on_hold(self, attempts: Attempts, endpoint: Endpoint) -> bool:
        """Say whether an endpoint that was chosen is in backoff or leaves by now."""
        hold = self.notices.hold_of(endpoint.start_id)
        if hold is not None:
            attempts.note(endpoint.start_id, f"on hold, {hold.reason.value}")
        return hold is not None

    def refusal(
        self, context: ForwardContext, attempts: Attempts, role: EndpointRole
    ) -> RequestRefusedError:
        """Return the refusal that is true of what was tried.

        Where an endpoint was tried and refused, it may take the request in a moment:
        the client need not wait until others are held no more.
        """
        holds = self.chooser.holds(context.service_name, role)
        first = holds.first_to_end
        was_refused = attempts.last_error is not None
        if first is None or attempts.may_have_run:
            return refusal_of(attempts, context.end_by)
        if was_refused and not holds.cover_all:
            return refusal_of(attempts, context.end_by)
        return _refusal_until(context, holds, first)

    def check_backoff(
        self, context: ForwardContext, attempts: Attempts, role: EndpointRole
    ) -> None:
        """Raise the refusal of a request that has not run while all are in backoff.

        Limits leave room within moments; a backoff lasts for seconds.
        """
        if attempts.may_have_run:
            return
        holds = self.chooser.holds(context.service_name, role)
        first = holds.first_to_end if holds.cover_all else None
        if first is not None and first.reason is HoldReason.BACKOFF:
            raise _refusal_until(context, holds, first)

    def may_send(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Count one more send; say whether the bounds and the budget allow it.

        Raises RequestRefusedError where the request has not run and is quarantined.
        """
        if not attempts.may_have_run:
            self.quarantine.check(context)
        if attempts.sends == 0:
            self.budgets.note_request(context.service_name)
        elif not self.is_open(context, attempts):
            return False
        elif not self.budgets.take(context.service_name):
            attempts.note("-", "no retry budget left")
            return False
        attempts.sends += 1
        attempts.latest_sent_at = Deadline.after(0)
        attempts.answered_from = None
        return True

    def is_open(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Say whether the bounds of the route allow one more send.

        Asked before anything is waited for: a request that can't be sent again is
        answered at once.
        """
        if attempts.sends == 0:
            return True
        if attempts.sends >= MAXIMUM_SENDS or context.end_by.expired:
            return False
        if attempts.may_have_run and not context.route.repeatable:
            return False
        if attempts.may_have_run and self.quarantine.holds(context):
            return False
        return attempts.runs < context.route.maximum_attempts

    def note_lost(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        error: EndpointError,
    ) -> None:
        """Learn from a request that an endpoint may have run without an answer."""
        if isinstance(error, AnswerCutError):
            self.crashes.note_cut(context, attempts, endpoint)
        self.note_error(attempts, endpoint, error)

    def note_error(
        self, attempts: Attempts, endpoint: Endpoint, error: EndpointError
    ) -> None:
        """Learn from a call to an endpoint that brought no answer."""
        attempts.note_error(endpoint.start_id, error)
        if isinstance(error, EndpointUnreachableError):
            self.health.note_unreachable(endpoint.start_id)
        elif isinstance(error, EndpointReplacedError):
            self.health.note_replaced(endpoint.start_id)
        elif isinstance(error, EndpointRoleError):
            # Its next announcement tells the new role.
            self.health.note_unreachable(endpoint.start_id)
        elif not isinstance(error, EndpointRefusedError | EndpointOnHoldError):
            self.health.note_failure(endpoint.start_id)
            if isinstance(error, EndpointTimeoutError):
                self.health.note_unreachable(endpoint.start_id)


def _refusal_until(
    context: ForwardContext, holds: ServiceHolds, first: Hold
) -> RequestRefusedError:
    """Return the refusal while endpoints are on hold, the first of them until then."""
    wait = max(LEAST_RETRY_SECONDS, first.until.remaining())
    if first.reason is HoldReason.LIMIT:
        return RequestRefusedError(
            "endpoint_limit",
            "The endpoints take no more requests now, by the limits that they named.",
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
