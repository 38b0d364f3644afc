"""Requests of a host that has just started wait for endpoints to announce themselves.

The load that this answers: all hosts lose power and start at once. Endpoints go on, but
no host knows any until their next announcements, which come within a second or so. Told
at once that there is none, dozens of clients come back late, and those that had come
back before are lost.
"""

from __future__ import annotations

import logging

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import Deadline, Ran
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# How long after its start a host may not have heard of endpoints that are there, in
# seconds: in this time each of them announces itself twice or more.
UNKNOWN_SECONDS = 3.0
# How long a request waits for the first one, in seconds, and which share of its
# client's time it may take, so that enough is left for the answer.
WAIT_SECONDS = 1.0
WAIT_SHARE = 1 / 3
# How often one that waits looks whether its client is still there, in seconds.
LOOK_SECONDS = 0.1


class FirstEndpoints:
    """Knows whether a host has started so lately that endpoints may be unknown."""

    def __init__(self, book: EndpointBook) -> None:
        self._book = book
        self._unknown_until = Deadline.after(UNKNOWN_SECONDS)

    def wait_for(self, context: ForwardContext) -> None:
        """Return once an endpoint can answer the request, or none is to be expected.

        Raises CallerGoneError when the client goes before that.
        """
        if self._unknown_until.expired or self._knows(context.service_name):
            return
        limit = self._limit(context)
        while not limit.expired and not self._knows(context.service_name):
            if context.gone():
                raise CallerGoneError("The client closed its connection.", Ran.NO)
            self._wait_for_news(context.service_name, limit)
        extra = {
            "request_id": context.request.request_id,
            "service": context.service_name,
            "waited_ms": int(context.request.arrived.overdue() * 1000),
            "found": self._knows(context.service_name),
        }
        logger.info("request waited for the first endpoints", extra=extra)

    def _limit(self, context: ForwardContext) -> Deadline:
        share = context.end_by.remaining() * WAIT_SHARE
        limit = Deadline.after(min(WAIT_SECONDS, share))
        return limit.earlier_of(self._unknown_until)

    def _knows(self, service_name: str) -> bool:
        return any(
            _can_answer(endpoint, service_name) for endpoint in self._book.endpoints()
        )

    def _wait_for_news(self, service_name: str, limit: Deadline) -> None:
        next_look = limit.earlier_of(Deadline.after(LOOK_SECONDS))
        self._book.wait_for_news(
            self._book.version, lambda: self._knows(service_name), next_look
        )


def _can_answer(endpoint: Endpoint, service_name: str) -> bool:
    """Say whether an endpoint takes requests of a service, and not just prompts."""
    return (
        endpoint.service_name == service_name
        and endpoint.role is not EndpointRole.PREFILL
        and endpoint.stays
    )
