"""Policy for retries: when another attempt is allowed, and after which backoff."""

from __future__ import annotations

import logging
import random
import time

from jujubeslip.endpoints import EndpointError
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.requests._models import RequestContext
from jujubeslip.routing import RetryBudgets
from jujubeslip.telemetry import Meters

logger = logging.getLogger(__name__)

# The minimum time before the deadline at which another attempt is started, in seconds.
MINIMUM_RETRY_SECONDS = 0.1
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.4


class RetryPolicy:
    """Allows further attempts within a service's budget and a request's deadline."""

    def __init__(self, budgets: RetryBudgets, meters: Meters) -> None:
        self._budgets = budgets
        self._meters = meters
        self._random = random.Random()

    def note_request(self, context: RequestContext) -> None:
        """Count the request towards its service's budget."""
        service = context.request.service
        self._budgets.note_request(service.name, service.retry_budget_share)

    def allow_retry(
        self,
        context: RequestContext,
        attempt: int,
        error: EndpointError,
        ran: Ran,
        needed: float = MINIMUM_RETRY_SECONDS,
    ) -> None:
        """Raise the refusal of the request unless another attempt is allowed.

        `needed` is the expected duration of the rest of the answer, in seconds: an
        attempt that can't finish before the deadline would only take capacity from
        requests that can.
        """
        request = context.request
        extra = {
            "request_id": request.request_id,
            "client": request.client.name,
            "attempt": attempt,
            "error": str(error),
        }
        logger.info("attempt of request failed", extra=extra)
        if not request.repeatable and ran is Ran.UNKNOWN:
            raise _failed(error, ran, "it is not repeatable") from error
        if context.end_by.remaining() < max(needed, MINIMUM_RETRY_SECONDS):
            raise _failed(error, ran, "its deadline is too near") from error
        if not self._budgets.spend(request.service.name):
            raise _failed(error, ran, "the retry budget is spent") from error
        cause = {"service": request.service.name, "cause": error.error_id}
        self._meters.retries.add(1, cause)

    def pause(self, context: RequestContext, attempt: int) -> None:
        """Wait before the attempt, by an exponential backoff with random jitter.

        Without jitter, requests that failed together, for example when an engine dies,
        would all be retried at the same moment.
        """
        longest = min(
            MAXIMUM_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** (attempt - 1)
        )
        seconds = self._random.uniform(longest / 2, longest)
        time.sleep(min(seconds, context.end_by.remaining()))


def with_ran(refusal: RequestRefusedError, ran: Ran) -> RequestRefusedError:
    """Return the refusal of a later attempt as the refusal of the whole request.

    The later attempt was not started, but an earlier one may have run; reporting "not
    run" would be wrong then.
    """
    if ran is Ran.NO or refusal.ran is Ran.UNKNOWN:
        return refusal
    return RequestRefusedError(
        refusal.error_id,
        f"An attempt failed and no further one was started. {refusal.message}",
        status=refusal.status,
        ran=ran,
        retry_after=refusal.retry_after,
        remedy=refusal.remedy,
    )


def _failed(error: EndpointError, ran: Ran, reason: str) -> RequestRefusedError:
    return RequestRefusedError(
        error.error_id,
        f"The request ended without a complete answer, and {reason}: {error.message}",
        status=502,
        ran=ran,
        retry_after=1.0 if ran is Ran.NO else None,
    )
