"""What an HTTP interface asks of a control host: configurations and announcements."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from jujubeslip.control._client import ControlClient
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import Endpoint, EndpointBook, Removal
from jujubeslip.kernel import Deadline
from jujubeslip.peers import Configuration, VersionedCommand

# Operators and endpoints go on to another host after a second without an answer; an
# answer has to be on its way before that, in seconds.
ANSWER_SECONDS = 0.85
# How long the acknowledgement of a leaving endpoint waits for the hosts that watch,
# in seconds. A host that can be reached confirms within milliseconds.
CONFIRM_SECONDS = 0.6


RecordRemoval: TypeAlias = Callable[[Removal, Deadline], None]


def keep_in_book_alone(removal: Removal, deadline: Deadline) -> None:
    """Record nothing: the book of this process is all that there is."""


class LeaderGateway:
    """Has configurations and removals confirmed by the leader.

    Announcements it takes itself.
    """

    def __init__(
        self,
        client: ControlClient,
        book: EndpointBook,
        watches: Watches,
        record_removal: RecordRemoval = keep_in_book_alone,
    ) -> None:
        self._client = client
        self._book = book
        self._watches = watches
        self._record_removal = record_removal

    def put_configuration(self, version: int, content: str) -> int:
        """See ControlGateway."""
        command = VersionedCommand(version, content)
        return self._client.put_version(command, Deadline.after(ANSWER_SECONDS))

    def newest_configuration(self) -> Configuration:
        """See ControlGateway."""
        return self._client.newest_configuration(Deadline.after(ANSWER_SECONDS))

    def announce(self, endpoint: Endpoint) -> None:
        """See ControlGateway."""
        version = self._book.take([endpoint])
        if endpoint.leaving:
            self._confirm(version, Removal.of_start(endpoint))
        elif not self._stays(endpoint.endpoint_id):
            self._watches.wait_until_told(version, Deadline.after(CONFIRM_SECONDS))

    def note_left(self, endpoint_id: str, started_at_ms: int = 0) -> None:
        """See ControlGateway."""
        removal = self._book.removal_of(endpoint_id, started_at_ms)
        self._confirm(self._book.take_removals([removal]), removal)

    def _stays(self, endpoint_id: str) -> bool:
        known = self._book.find(endpoint_id)
        return known is not None and known.stays

    def _confirm(self, version: int, removal: Removal) -> None:
        """Wait for the log and for the hosts that watch, who are told meanwhile.

        Raises PeerUnavailableError where it is not known to be in the log. The hosts
        have been told by then: they use the endpoint no more, acknowledged or not.
        """
        told_by = Deadline.after(CONFIRM_SECONDS)
        self._record_removal(removal, Deadline.after(ANSWER_SECONDS))
        self._watches.wait_until_told(version, told_by)
