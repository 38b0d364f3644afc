"""The protocol class of a control host's operations, without an implementation."""

from __future__ import annotations

from typing import Protocol

from jujubeslip.discovery import Endpoint
from jujubeslip.peers import Configuration


class ControlGateway(Protocol):
    """Serves operators and endpoints on any control host, not only on the leader."""

    def put_configuration(self, version: int, content: str) -> int:
        """Commit a numbered configuration; return the version in force then.

        Raises PeerUnavailableError if no majority has confirmed it in time: it may be
        in force or not, and the same call may be retried on any control host.
        """

    def newest_configuration(self) -> Configuration:
        """Return the configuration in force, as confirmed by the leader.

        Raises PeerUnavailableError if no leader can confirm it.
        """

    def announce(self, endpoint: Endpoint) -> None:
        """Apply an endpoint's announcement; return once it may be acknowledged."""

    def remove_endpoint(self, endpoint_id: str, started_at_ms: int = 0) -> None:
        """Record the removal of an endpoint; return once that may be acknowledged.

        `started_at_ms` is the start that announced its removal, or 0 if unknown.
        """
