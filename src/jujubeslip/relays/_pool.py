"""Ways to endpoints: direct connections, or relayed ones while the links are lost."""

from __future__ import annotations

import logging

from opentelemetry import metrics

from jujubeslip.endpoints import (
    Connection,
    ConnectionPool,
    EndpointError,
    EndpointUnreachableError,
    has_ended,
)
from jujubeslip.kernel import Deadline, RequestRefusedError
from jujubeslip.relays._connection import RelayAccess, RelayedConnection
from jujubeslip.relays._reach import EndpointReach

logger = logging.getLogger(__name__)

# Timeout of the question whether an endpoint's process has ended, in seconds.
ENDED_ANSWER_SECONDS = 0.4
# When a client should retry that was refused since no endpoint is in reach, in seconds:
# by then the links have been checked again.
OUT_OF_REACH_RETRY_SECONDS = 0.6


class RelayingPool:
    """Connections to endpoints, which are relayed while this host reaches none."""

    def __init__(self, reach: EndpointReach, access: RelayAccess) -> None:
        self.direct = ConnectionPool(reach)
        """The direct connections alone."""
        self._reach = reach
        self._access = access
        self._relayed = metrics.get_meter("jujubeslip.forwarding").create_counter(
            "jujubeslip.forward.relayed_calls",
            description="Calls to endpoints that this host sent through another one.",
        )

    def take(
        self, start_id: str, address: str, request_id: str | None = None
    ) -> Connection:
        """Return a usable connection for one request.

        Raises EndpointUnreachableError when the endpoint can't be reached, and
        EndpointsOutOfReachError when none can, neither directly nor by a relay.
        """
        if not self._reach.is_lost:
            try:
                return self.direct.take(start_id, address, request_id)
            except EndpointUnreachableError:
                if not self._reach.confirm_lost():
                    raise
        relayed = RelayedConnection(self._access, start_id, address)
        self._relayed.add(1)
        return relayed

    def give_back(
        self, start_id: str, connection: Connection, idle_seconds: float | None
    ) -> None:
        """Keep a connection whose answer was read completely."""
        if isinstance(connection, RelayedConnection):
            connection.keep()
        else:
            self.direct.give_back(start_id, connection, idle_seconds)

    def note_unnamed(self, start_id: str) -> None:
        """Let each direct connection to this start carry one request for a while."""
        self.direct.note_unnamed(start_id)

    def check_in_reach(self) -> None:
        """Raise RequestRefusedError if this host can send no request to endpoints."""
        if self._reach.is_lost and not self._access.directory.count():
            raise out_of_reach_refusal()

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        self.direct.close_expired()
        self._access.connections.close_expired()

    def has_ended(self, start_id: str, address: str) -> bool:
        """Return whether an endpoint's process has ended.

        A host that has lost its links can't tell an ended process from a partition, so
        it asks a relay.
        """
        if not self._reach.is_lost:
            if not has_ended(address):
                return False
            if not self._reach.confirm_lost(connected_seconds=0.0):
                return True
        return self._relay_finds_end(start_id, address)

    def _relay_finds_end(self, start_id: str, address: str) -> bool:
        try:
            relayed = RelayedConnection(self._access, start_id, address)
        except EndpointError:
            # No other host can tell, so what this one sees counts.
            return has_ended(address)
        try:
            return relayed.ask_whether_ended(Deadline.after(ENDED_ANSWER_SECONDS))
        except EndpointError as error:
            relayed.close()
            extra = {"start_id": start_id, "error": str(error)}
            logger.info("end of endpoint not known", extra=extra)
            return False


def out_of_reach_refusal() -> RequestRefusedError:
    """Return the refusal of a request that no endpoint can get from this host."""
    return RequestRefusedError(
        "endpoints_out_of_reach",
        "This host reaches no endpoint, and no host that relays requests.",
        retry_after=OUT_OF_REACH_RETRY_SECONDS,
    )
