"""The gateway of HTTP interfaces to a control host."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from jujubeslip.control._client import ControlClient
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import Endpoint, EndpointRegistry, Removal
from jujubeslip.kernel import Deadline
from jujubeslip.peers import Configuration, VersionedCommand

# Timeout of calls to the leader, in seconds. Operators and endpoints try another host
# after a second without a response, so the response must be sent before that.
LEADER_TIMEOUT_SECONDS = 0.85
# How long the acknowledgement of a leaving endpoint waits for the watching hosts, in
# seconds. A reachable host confirms within milliseconds.
CONFIRM_SECONDS = 0.6


RecordRemoval: TypeAlias = Callable[[Removal, Deadline], None]


def skip_log_record(removal: Removal, deadline: Deadline) -> None:
    """Record nothing, since the removal is kept only in this process's registry."""


class LeaderGateway:
    """Forwards configurations and removals to the leader for confirmation.

    Announcements of endpoints are handled by this host itself.
    """

    def __init__(
        self,
        client: ControlClient,
        registry: EndpointRegistry,
        watches: Watches,
        record_removal: RecordRemoval = skip_log_record,
    ) -> None:
        self._client = client
        self._registry = registry
        self._watches = watches
        self._record_removal = record_removal

    def put_configuration(self, version: int, content: str) -> int:
        """See ControlGateway."""
        command = VersionedCommand(version, content)
        return self._client.put_version(command, Deadline.after(LEADER_TIMEOUT_SECONDS))

    def newest_configuration(self) -> Configuration:
        """See ControlGateway."""
        return self._client.newest_configuration(Deadline.after(LEADER_TIMEOUT_SECONDS))

    def announce(self, endpoint: Endpoint) -> None:
        """See ControlGateway."""
        version = self._registry.merge([endpoint])
        if endpoint.leaving:
            self._confirm_leaving(version, endpoint)
        elif not self._is_staying(endpoint.endpoint_id):
            self._watches.wait_until_confirmed(version, Deadline.after(CONFIRM_SECONDS))

    def remove_endpoint(self, endpoint_id: str, started_at_ms: int = 0) -> None:
        """See ControlGateway."""
        removal = self._registry.removal_of(endpoint_id, started_at_ms)
        self._confirm(self._registry.apply_removals([removal]), removal)

    def _confirm_leaving(self, version: int, endpoint: Endpoint) -> None:
        removal = Removal.of_start(endpoint)
        known = self._registry.find(endpoint.endpoint_id)
        if known is None or known.start_id != endpoint.start_id:
            # The announcement had no effect here; other hosts may use this start.
            version = self._registry.apply_removals([removal])
        self._confirm(version, removal)

    def _is_staying(self, endpoint_id: str) -> bool:
        known = self._registry.find(endpoint_id)
        return known is not None and known.accepts_work

    def _confirm(self, version: int, removal: Removal) -> None:
        """Wait until the removal is in the log and the watching hosts confirmed it.

        Raises PeerUnavailableError if it is not known to be in the log. The hosts get
        the removal in parallel and then don't use the endpoint, acknowledged or not.
        """
        confirmed_by = Deadline.after(CONFIRM_SECONDS)
        self._record_removal(removal, Deadline.after(LEADER_TIMEOUT_SECONDS))
        self._watches.wait_until_confirmed(version, confirmed_by)
