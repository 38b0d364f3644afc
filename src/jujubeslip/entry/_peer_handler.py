"""What an entry host answers to the other processes of the system."""

from __future__ import annotations

from jujubeslip.entry._configuration import ConfigurationFollower
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
    """The EntryPeer service; each method passes on to the part that knows."""

    def __init__(
        self,
        process: Process,
        directory: HostDirectory,
        gossip: Gossip,
        homes: Homes,
        key_table: KeyTable,
        open_requests: OpenRequests,
        configuration: ConfigurationFollower,
        limit_reports: LimitReports,
    ) -> None:
        self._process = process
        self._directory = directory
        self._gossip = gossip
        self._homes = homes
        self._key_table = key_table
        self._open_requests = open_requests
        self._configuration = configuration
        self._limit_reports = limit_reports

    def gossip(self, message: GossipMessage) -> GossipMessage:
        """Exchange views of the entry hosts."""
        return self._gossip.receive(message)

    def reaches(self, host_id: str) -> bool:
        """Say whether another entry host answers this one."""
        return self._gossip.reaches(host_id)

    def hosts_after(self, host_id: str) -> GossipMessage:
        """Return a page of the live entry hosts."""
        return self._gossip.hosts_after(host_id)

    def announce(self, announcement: Announcement) -> None:
        """Take an endpoint's announcement, as the home of its pool."""
        self._homes.announce(announcement)

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Grant, refuse, or say that the request waits."""
        return self._homes.reserve(request)

    def withdraw(self, request: ReserveRequest) -> None:
        """Forget a request whose caller is gone."""
        self._homes.withdraw(request)

    def progress(self, progress: GrantProgress) -> None:
        """Note what became of a grant."""
        self._homes.progress(progress)

    def claim_key(self, claim: KeyClaim) -> KeyReply:
        """Claim an idempotency key, as its keeper."""
        return self._key_table.claim(claim)

    def finish_key(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer of a key's run."""
        self._key_table.finish(claim, outcome)

    def abandon_key(self, claim: KeyClaim) -> None:
        """Free a key whose run ended without an answer."""
        self._key_table.abandon(claim)

    def closed_requests(
        self, incarnation: int, held: list[HeldRequest]
    ) -> list[HeldRequest]:
        """Return which of an engine's held requests this process does not serve."""
        if incarnation != self._directory.own.incarnation:
            return held
        return self._open_requests.closed_among(held)

    def get_configuration(self, known_revision: int) -> Configuration:
        """Return the configuration in force here."""
        return self._configuration.configuration

    def report_usage(self, host_id: str, usages: list[LimitUsage]) -> list[LimitShare]:
        """Return a host's shares of limits, as their keeper."""
        return self._limit_reports.answer(host_id, usages)

    def abandon(self) -> int:
        """End what a stopping host still serves; return how many requests that were.

        Only an operator asks for it, when an answer takes longer than the stop may.
        """
        if not self._process.stopping.is_set():
            raise PeerRefusal(
                "not_stopping",
                "This entry host is not stopping, so it abandons nothing.",
                "Stop it with `jujubeslip drain`, then abandon what is left.",
                0,
            )
        self._process.abandoning.set()
        return self._open_requests.count

    def status(self) -> EntryStatus:
        """Return this host's account of itself, for operators."""
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
