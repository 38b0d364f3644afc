"""What an HTTP interface asks of a control host: configurations and announcements."""

from __future__ import annotations

from collections.abc import Iterable

from jujubeslip.control._client import ControlClient
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.kernel import Deadline
from jujubeslip.peers import Configuration, VersionedCommand

# Operators and endpoints go on to another host after a second without an answer; an
# answer has to be on its way before that, in seconds.
ANSWER_SECONDS = 0.85
# How long the acknowledgement of a leaving endpoint waits for the hosts that watch,
# in seconds. A host that can be reached confirms within milliseconds.
CONFIRM_SECONDS = 0.6


class LeaderGateway:
    """Has configurations confirmed by the leader, and takes announcements itself."""

    def __init__(
        self, client: ControlClient, book: EndpointBook, watches: Watches
    ) -> None:
        self._client = client
        self._book = book
        self._watches = watches

    def put_configuration(self, version: int, content: str) -> int:
        """See ControlGateway."""
        command = VersionedCommand(version, content)
        return self._client.put_version(command, Deadline.after(ANSWER_SECONDS))

    def newest_configuration(self) -> Configuration:
        """See ControlGateway."""
        return self._client.newest_configuration(Deadline.after(ANSWER_SECONDS))

    def announce(self, endpoint: Endpoint) -> None:
        """See ControlGateway."""
        self._confirm(self._book.take([endpoint]), [endpoint.endpoint_id])

    def note_left(self, endpoint_id: str, started_at_ms: int = 0) -> None:
        """See ControlGateway."""
        version = self._book.note_left(endpoint_id, started_at_ms)
        self._confirm(version, [endpoint_id])

    def _confirm(self, version: int, endpoint_ids: Iterable[str]) -> None:
        """Wait for the watchers where an endpoint leaves, not at each renewal.

        One that isn't known has left before it was heard of.
        """
        known = [self._book.find(endpoint_id) for endpoint_id in endpoint_ids]
        if any(endpoint is None or not endpoint.stays for endpoint in known):
            self._watches.wait_until_told(version, Deadline.after(CONFIRM_SECONDS))
