"""The Thrift service of an entry host for the other processes of the system."""

from __future__ import annotations

from jujubeslip.entry._configuration_follower import ConfigurationFollower
from jujubeslip.homes import Homes
from jujubeslip.kernel import Process
from jujubeslip.membership import Gossip, HostDirectory
from jujubeslip.peers import (
    Announcement,
    Configuration,
    EntryStatus,
    GossipMessage,
    GrantProgress,
    HeldRequest,
    KeyClaim,
    KeyReply,
    LimitShare,
    LimitUsage,
    PeerRefusal,
    ReserveReply,
    ReserveRequest,
)
from jujubeslip.requests import KeyTable, OpenRequests
from jujubeslip.routing import LimitReports


class PeerHandler:
    """The EntryPeer service; each method delegates to the responsible component."""

    def __init__(
        self,
        process: Process,
        directory: HostDirectory,
        gossip: Gossip,
        homes: Homes,
        key_owner: KeyTable,
        open_requests: OpenRequests,
        configuration: ConfigurationFollower,
        limit_reports: LimitReports,
    ) -> None:
        self._process = process
        self._directory = directory
        self._gossip = gossip
        self._homes = homes
        self._key_owner = key_owner
        self._open_requests = open_requests
        self._configuration = configuration
        self._limit_reports = limit_reports

    def gossip(self, message: GossipMessage) -> GossipMessage:
        """Merge a peer's view of the entry hosts and return this host's view."""
        return self._gossip.receive(message)

    def reaches(self, host_id: str) -> bool:
        """Return whether another entry host answers this one."""
        return self._gossip.reaches(host_id)

    def hosts_after(self, host_id: str) -> GossipMessage:
        """Return a page of the live entry hosts."""
        return self._gossip.hosts_after(host_id)

    def announce(self, announcement: Announcement) -> None:
        """Record an endpoint's announcement, as the home of its pool."""
        self._homes.announce(announcement)

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Grant or refuse a reservation, or report that it is queued."""
        return self._homes.reserve(request)

    def withdraw(self, request: ReserveRequest) -> None:
        """Withdraw the reservation of a request whose caller has disconnected."""
        self._homes.withdraw(request)

    def progress(self, progress: GrantProgress) -> None:
        """Record the progress of a grant."""
        self._homes.progress(progress)

    def claim_key(self, claim: KeyClaim) -> KeyReply:
        """Claim an idempotency key, as its owner."""
        return self._key_owner.claim(claim)

    def finish_key(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer of the request that claimed a key."""
        self._key_owner.finish(claim, outcome)

    def abandon_key(self, claim: KeyClaim) -> None:
        """Release a key whose request ended without an answer."""
        self._key_owner.abandon(claim)

    def closed_requests(
        self, incarnation: int, held: list[HeldRequest]
    ) -> list[HeldRequest]:
        """Return which of an engine's held requests this process no longer serves."""
        if incarnation != self._directory.own.incarnation:
            return held
        return self._open_requests.closed_among(held)

    def get_configuration(self, known_revision: int) -> Configuration:
        """Return the active configuration of this host."""
        return self._configuration.configuration

    def report_usage(self, host_id: str, usages: list[LimitUsage]) -> list[LimitShare]:
        """Return a host's shares of limits, as the owner of these limits."""
        return self._limit_reports.answer(host_id, usages)

    def abandon(self) -> int:
        """Abandon the open requests of a stopping host and return their number.

        Only operators call it, when an answer takes longer than the shutdown may.
        """
        if not self._process.stopping.is_set():
            raise PeerRefusal(
                "not_stopping",
                "This entry host is not stopping, so no requests were abandoned.",
                "Stop it with `jujubeslip drain`, then abandon the remaining requests.",
                0,
            )
        self._process.abandoning.set()
        return self._open_requests.count

    def status(self) -> EntryStatus:
        """Return the status of this host, for operators."""
        own = self._directory.own
        return EntryStatus(
            own.host_id,
            own.incarnation,
            self._configuration.revision,
            self._open_requests.count,
            self._process.stopping.is_set(),
            self._directory.states(),
            self._homes.statuses(),
        )
