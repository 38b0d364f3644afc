"""Probes a host by an exchange, and asks other hosts to probe it if that fails."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, wait

from jujubeslip.kernel import Deadline, PeerUnavailableError, Process, steady_seconds
from jujubeslip.membership._directory import HostDirectory
from jujubeslip.membership._peer_clients import PeerClients
from jujubeslip.peers import GossipMessage, HostState, PeerRefusal

logger = logging.getLogger(__name__)

# Seconds for one attempt; a silent pooled connection and a fresh one take two.
PROBE_TIMEOUT_SECONDS = 0.4
PAGE_TIMEOUT_SECONDS = 1.0
HELPER_COUNT = 3
HELPER_TIMEOUT_SECONDS = 1.0
# Bounds the pages that are read of a full list, whatever a peer sends.
MAXIMUM_PAGES = 1000


class Prober:
    """Calls other hosts and records the results in the directory."""

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        configuration_revision: Callable[[], int],
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._configuration_revision = configuration_revision

    def message_for(self, host_id: str) -> GossipMessage:
        """Return the gossip message to send to a host."""
        return GossipMessage(
            self._directory.own.host_id,
            self._directory.states_for(host_id),
            self._configuration_revision(),
            self._directory.view_digest,
        )

    def exchange(self, address: str, host_id: str = "") -> GossipMessage | None:
        """Exchange updates with the host at an address; return None on failure.

        An answer of another host than `host_id`, which has taken over its address, also
        counts as a failure.
        """
        asked_at = steady_seconds()
        message = self.message_for(host_id)
        try:
            reply: GossipMessage = self._clients.get(address).call(
                lambda peer: peer.gossip(message), PROBE_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.debug("probe failed", extra={"peer": address, "error": str(error)})
            return None
        self._directory.merge(reply.hosts)
        self._directory.renew_lease(asked_at)
        self._directory.record_reachability(reply.sender_id, True)
        return reply if host_id in ("", reply.sender_id) else None

    def probe(self, host_id: str, process: Process) -> GossipMessage | None:
        """Exchange with a host; suspect it if the helpers don't reach it either.

        If a single host can't reach another, as when a network partition affects one
        direction, the other one must not lose its homes for all hosts.
        """
        address = self._directory.address_of(host_id)
        if address is None:
            return None
        reply = self.exchange(address, host_id)
        if reply is not None:
            return reply
        self._directory.record_reachability(host_id, False)
        if not self._directory.is_healthy(host_id):
            return None
        if not self._helpers_reach(host_id, process):
            self._directory.suspect(host_id)
        return None

    def _helpers_reach(self, host_id: str, process: Process) -> bool:
        reached = threading.Event()
        pending = {
            process.start_task(self._ask_helper, helper, host_id, reached)
            for helper in self._directory.helpers_for(host_id, HELPER_COUNT)
        }
        deadline = Deadline.after(HELPER_TIMEOUT_SECONDS)
        while pending and not reached.is_set() and not deadline.expired:
            _, pending = wait(pending, deadline.remaining(), FIRST_COMPLETED)
        return reached.is_set()

    def _ask_helper(
        self, helper: HostState, host_id: str, reached: threading.Event
    ) -> None:
        try:
            answered = self._clients.get(helper.address).call(
                lambda peer: peer.reaches(host_id), HELPER_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal):
            return
        if answered:
            reached.set()

    def read_full_list(self, address: str) -> bool:
        """Read all live hosts that a peer knows by pages; return False on failure."""
        asked_at = steady_seconds()
        live: list[HostState] = []
        complete = True
        after = ""
        for _ in range(MAXIMUM_PAGES):
            page = self._read_page(address, after)
            if page is None:
                return False
            complete = complete and bool(page.view_digest)
            if not page.hosts:
                break
            live += page.hosts
            after = page.hosts[-1].host_id
        self._directory.merge(live)
        self._directory.apply_full_list(live, asked_at, complete)
        return True

    def _read_page(self, address: str, after: str) -> GossipMessage | None:
        try:
            page: GossipMessage = self._clients.get(address).call(
                lambda peer: peer.hosts_after(after), PAGE_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal):
            return None
        return page
