"""Tasks that keep a host's view current, at a cost independent of the host count."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from jujubeslip.kernel import Deadline, Process
from jujubeslip.membership._directory import HostDirectory
from jujubeslip.membership._peer_clients import PeerClients
from jujubeslip.membership._prober import Prober
from jujubeslip.membership._rings import RINGS
from jujubeslip.peers import GossipMessage

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.25
# Seconds between probes of each ring's successor, varied by JITTER.
PROBE_INTERVAL_SECONDS = 1.25
JITTER = 0.2
# Minimum seconds between attempts to contact a lost host. With few lost hosts the time
# is longer: all hosts together try each one about RECONTACT_RATE times a second.
RECONTACT_SECONDS = 2.0
RECONTACT_RATE = 4.0
# Minimum seconds between full lists that are read to compare views.
COMPARE_SECONDS = 2.0


class Gossip:
    """Probes this host's successors on a few rings and sends updates with the probes.

    Each ring has its own task, so that a silent successor delays no other probe.
    """

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        seeds: tuple[str, ...],
        configuration_revision: Callable[[], int],
        on_newer_configuration: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._seeds = seeds
        self._configuration_revision = configuration_revision
        self._on_newer_configuration = on_newer_configuration
        self._prober = Prober(directory, clients, configuration_revision)
        self._random = random.Random()
        self._recontact_at = Deadline.after(RECONTACT_SECONDS)
        self._compare_at = Deadline.after(COMPARE_SECONDS)
        clients.report_unavailable_to(self._note_unavailable)

    def start(self, process: Process) -> None:
        """Start the tasks."""
        self._process = process
        process.repeat(TICK_SECONDS, self._tick)
        process.repeat(TICK_SECONDS, self._restore_view)
        process.repeat(TICK_SECONDS, self._verify_hosts)
        for ring in RINGS:
            process.start_task(self._probe_ring, ring)

    # Calls from peers

    def receive(self, message: GossipMessage) -> GossipMessage:
        """Merge a peer's states and return the states to send to it."""
        self._directory.merge(message.hosts)
        return self._prober.message_for(message.sender_id)

    def reaches(self, host_id: str) -> bool:
        """Return whether a host answers this one, for a peer that it doesn't answer."""
        address = self._directory.address_of(host_id)
        return bool(address and self._prober.exchange(address, host_id))

    def hosts_after(self, host_id: str) -> GossipMessage:
        """Return a page of the live hosts."""
        digest = self._directory.view_digest
        return GossipMessage(
            self._directory.own.host_id,
            self._directory.page_after(host_id),
            self._configuration_revision(),
            digest,
        )

    # Tasks

    def _tick(self) -> None:
        self._directory.tick(self._configuration_revision())
        if self._directory.superseded and not self._process.stopping.is_set():
            logger.error("host stops: a later incarnation of it runs")
            self._process.request_stop()
        if not self._directory.pop_urgent_change():
            return
        neighbours = self._directory.neighbours().values()
        for host_id in {state.host_id for state in neighbours}:
            self._process.start_task(self._exchange_with, host_id)

    def _exchange_with(self, host_id: str) -> None:
        address = self._directory.address_of(host_id)
        if address is not None:
            self._prober.exchange(address, host_id)

    def _probe_ring(self, ring: str) -> None:
        stopped = self._process.stopped
        # A random first wait spreads the probes of the rings over the interval.
        wait = PROBE_INTERVAL_SECONDS * self._random.random()
        while not stopped.wait(wait):
            neighbour = self._directory.neighbours().get(ring)
            if neighbour is not None:
                self._probe(neighbour.host_id)
            wait = PROBE_INTERVAL_SECONDS * self._random.uniform(1 - JITTER, 1 + JITTER)

    def _probe(self, host_id: str) -> None:
        reply = self._prober.probe(host_id, self._process)
        address = self._directory.address_of(host_id)
        if reply is not None and address is not None:
            self._follow_up(address, reply)

    def _follow_up(self, address: str, reply: GossipMessage) -> None:
        """Fetch a newer configuration or a full list if the reply differs."""
        if reply.configuration_revision > self._configuration_revision():
            self._on_newer_configuration(address)
        digests = (reply.view_digest, self._directory.view_digest)
        if digests[0] == digests[1] or 0 in digests:
            return
        # Views differ briefly while updates are in transit, so these are not compared.
        settled = not self._directory.has_updates and len(reply.hosts) == 1
        if settled and self._compare_at.expired:
            self._compare_at = Deadline.after(COMPARE_SECONDS)
            self._prober.read_full_list(address)

    def _restore_view(self) -> None:
        """Read all live hosts from a peer after a start, a freeze or a silence."""
        if not self._directory.view_expired:
            return
        addresses = set(self._directory.addresses()) | set(self._seeds)
        addresses.discard(str(self._directory.own.address))
        if not addresses:
            return
        address = self._random.choice(sorted(addresses))
        # The exchange announces this host to the peer; reading a page does not.
        reply = self._prober.exchange(address)
        if reply is not None and self._prober.read_full_list(address):
            self._follow_up(address, reply)

    def _verify_hosts(self) -> None:
        host_id = self._directory.pop_host_to_verify()
        if host_id is not None:
            self._probe(host_id)
        elif self._recontact_at.expired:
            self._recontact_at = Deadline.after(self._recontact())

    def _recontact(self) -> float:
        """Try to contact a lost host and return the seconds until the next attempt.

        This detects that a network partition has healed. An answer makes both sides
        raise their heartbeats, and gossip spreads them to the hosts of both sides.
        """
        known = set(self._directory.addresses())
        lost = set(self._directory.addresses(lost=True)) | (set(self._seeds) - known)
        lost.discard(str(self._directory.own.address))
        if not lost:
            return RECONTACT_SECONDS
        address = self._random.choice(sorted(lost))
        self._prober.exchange(address, self._directory.host_at(address) or "")
        return max(RECONTACT_SECONDS, len(known) / (RECONTACT_RATE * len(lost)))

    def _note_unavailable(self, address: str) -> None:
        host_id = self._directory.host_at(address)
        if host_id is not None:
            self._directory.record_reachability(host_id, False)
