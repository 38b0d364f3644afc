"""The calls that a control host takes, without how it serves them."""

from __future__ import annotations

from typing import Protocol

from jujubeslip.discovery import Endpoint
from jujubeslip.peers import Configuration


class ControlGateway(Protocol):
    """Serves operators and endpoints on any control host, whichever leads."""

    def put_configuration(self, version: int, content: str) -> int:
        """Commit a numbered configuration; return the version in force then.

        Raises PeerUnavailableError when no majority has confirmed it in time: it may
        be in force or not, and the same call may be made again anywhere.
        """

    def newest_configuration(self) -> Configuration:
        """Return what is in force, confirmed by the leader.

        Raises PeerUnavailableError when no leader is sure of it.
        """

    def announce(self, endpoint: Endpoint) -> None:
        """Take an endpoint's announcement; return once it may be acknowledged."""

    def remove_endpoint(self, endpoint_id: str, started_at_ms: int = 0) -> None:
        """Note that an endpoint has left; return once that may be acknowledged.

        `started_at_ms` is the start that said so, 0 if it didn't say which.
        """
