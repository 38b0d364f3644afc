"""Reports of what clients ask for, each second, to the keepers of the limits."""

from __future__ import annotations

import logging
from collections import defaultdict

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import HostState, LimitShare, LimitUsage, PeerRefusal
from jujubeslip.routing._limits import REPORT_SECONDS, ClientLimits
from jujubeslip.routing._quotas import QuotaKeeper

logger = logging.getLogger(__name__)

REPORT_TIMEOUT = 0.5


class LimitReports:
    """Reports this host's usage, and answers reports as the keeper of some accounts.

    The keeper of an account is found by rendezvous hashing, so a message goes to one
    host for each account in use, and what it costs doesn't grow with the hosts.
    """

    def __init__(
        self, directory: HostDirectory, clients: PeerClients, limits: ClientLimits
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._limits = limits
        self._keeper = QuotaKeeper()

    def start(self, process: Process) -> None:
        """Start the task that reports."""
        process.repeat(REPORT_SECONDS, self.report)

    def answer(self, host_id: str, usages: list[LimitUsage]) -> list[LimitShare]:
        """Return the shares of a host that reports its usage."""
        host_count = len(self._directory.live_hosts())
        return self._keeper.report(host_id, usages, host_count)

    def report(self) -> None:
        """Report once to each keeper that is needed."""
        keeper_by_id: dict[str, HostState] = {}
        usages_by_id: dict[str, list[LimitUsage]] = defaultdict(list)
        for usage in self._limits.usages():
            keeper = self._directory.keepers_of(f"limit/{usage.client}", 1)[0]
            keeper_by_id[keeper.host_id] = keeper
            usages_by_id[keeper.host_id].append(usage)
        for keeper_id, usages in usages_by_id.items():
            self._limits.take_shares(self._ask(keeper_by_id[keeper_id], usages))

    def _ask(self, keeper: HostState, usages: list[LimitUsage]) -> list[LimitShare]:
        """Return the keeper's shares, or none: then the shares in force run out."""
        own_id = self._directory.own.host_id
        if keeper.host_id == own_id:
            return self.answer(own_id, usages)
        try:
            shares: list[LimitShare] = self._clients.get(keeper.address).call(
                lambda peer: peer.report_usage(own_id, usages), REPORT_TIMEOUT
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"keeper": keeper.host_id, "error": str(error)}
            logger.info("usage not reported", extra=extra)
            return []
        return shares
