"""Lets requests of a newly started host wait until endpoints announce themselves.

After a power loss of all hosts, they start at the same time. The endpoints keep
running, but no host knows them until their next announcements, which arrive within a
second or so. If requests were refused at once, dozens of clients would retry too late
to be in time, and those that had retried before would give up.
"""

from __future__ import annotations

import logging

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import Deadline, Ran
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# How long after its start a host may not know all running endpoints, in seconds: in
# this time each of them announces itself at least twice.
UNKNOWN_SECONDS = 3.0
# Maximum wait of a request for the first endpoint, in seconds, and as a share of the
# client's remaining time, so that enough is left for the answer.
WAIT_SECONDS = 1.0
WAIT_SHARE = 1 / 3
# How often a waiting request checks whether its client is still connected, in seconds.
CLIENT_CHECK_SECONDS = 0.1


class InitialDiscovery:
    """Delays requests of a newly started host while endpoints may be unknown."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self._registry = registry
        self._unknown_until = Deadline.after(UNKNOWN_SECONDS)

    def wait_for(self, context: ForwardContext) -> None:
        """Wait until an endpoint can answer the request, or the wait ends without one.

        Raises ClientDisconnectedError if the client disconnects before that.
        """
        if self._unknown_until.expired or self._has_endpoint(context.service_name):
            return
        limit = self._limit(context)
        while not limit.expired and not self._has_endpoint(context.service_name):
            if context.client_disconnected():
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.NO
                )
            self._wait_for_change(context.service_name, limit)
        extra = {
            "request_id": context.request.request_id,
            "service": context.service_name,
            "waited_ms": int(context.request.arrived.overdue() * 1000),
            "found": self._has_endpoint(context.service_name),
        }
        logger.info("request waited for the first endpoints", extra=extra)

    def _limit(self, context: ForwardContext) -> Deadline:
        share = context.end_by.remaining() * WAIT_SHARE
        limit = Deadline.after(min(WAIT_SECONDS, share))
        return limit.earlier_of(self._unknown_until)

    def _has_endpoint(self, service_name: str) -> bool:
        return any(
            _can_answer(endpoint, service_name)
            for endpoint in self._registry.endpoints()
        )

    def _wait_for_change(self, service_name: str, limit: Deadline) -> None:
        next_check = limit.earlier_of(Deadline.after(CLIENT_CHECK_SECONDS))
        self._registry.wait_for_changes(
            self._registry.version, lambda: self._has_endpoint(service_name), next_check
        )


def _can_answer(endpoint: Endpoint, service_name: str) -> bool:
    """Return whether the endpoint answers requests, and does not only prefill."""
    return (
        endpoint.service_name == service_name
        and endpoint.role is not EndpointRole.PREFILL
        and endpoint.accepts_work
    )
