"""Periodic usage reports of client accounts to the managers of their limits."""

from __future__ import annotations

import logging
from collections import defaultdict

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import HostState, LimitShare, LimitUsage, PeerRefusal
from jujubeslip.routing._client_limits import REPORT_SECONDS, ClientLimits
from jujubeslip.routing._quota_manager import QuotaManager

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_SECONDS = 0.5
# The minimum interval between two reports at any demand, in seconds.
PAUSE_SECONDS = 0.05


class LimitReports:
    """Reports this host's usage, and answers reports as the manager of some accounts.

    The manager of an account is determined by rendezvous hashing. One host gets a
    message for each account in use, so the cost does not grow with the hosts.
    """

    def __init__(
        self, directory: HostDirectory, clients: PeerClients, limits: ClientLimits
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._limits = limits
        self._quota_manager = QuotaManager()

    def start(self, process: Process) -> None:
        """Start the periodic task that reports usage."""
        process.repeat(PAUSE_SECONDS, self._report_when_due)

    def _report_when_due(self) -> None:
        self._limits.wait_for_demand_spike(REPORT_SECONDS)
        self.report()

    def answer(self, host_id: str, usages: list[LimitUsage]) -> list[LimitShare]:
        """Record the usage that a host reports, and return its shares."""
        host_count = len(self._directory.live_hosts())
        return self._quota_manager.report(host_id, usages, host_count)

    def report(self) -> None:
        """Report the usage of all accounts, with one call to each of their managers."""
        manager_by_id: dict[str, HostState] = {}
        usages_by_id: dict[str, list[LimitUsage]] = defaultdict(list)
        for usage in self._limits.usages():
            manager = self._directory.key_owners_of(f"limit/{usage.client}", 1)[0]
            manager_by_id[manager.host_id] = manager
            usages_by_id[manager.host_id].append(usage)
        for manager_id, usages in usages_by_id.items():
            self._limits.apply_shares(
                self._report_to(manager_by_id[manager_id], usages)
            )

    def _report_to(
        self, manager: HostState, usages: list[LimitUsage]
    ) -> list[LimitShare]:
        """Return the manager's shares, or none on failure: current ones then expire."""
        own_id = self._directory.own.host_id
        if manager.host_id == own_id:
            return self.answer(own_id, usages)
        try:
            shares: list[LimitShare] = self._clients.get(manager.address).call(
                lambda peer: peer.report_usage(own_id, usages), REPORT_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"keeper": manager.host_id, "error": str(error)}
            logger.info("usage report to limit manager failed", extra=extra)
            return []
        return shares
