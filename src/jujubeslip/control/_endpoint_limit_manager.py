"""The rate limits that endpoints announce, as the leading control host keeps them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from jujubeslip.accounts import ENDPOINT_BOUNDS, RateLimit, endpoint_limit
from jujubeslip.control._limit_manager import LimitManager, PoolCharge
from jujubeslip.kernel import steady_seconds
from jujubeslip.notices import NamedLimit
from jujubeslip.peers import EndpointLimitState, EndpointSpending

logger = logging.getLogger(__name__)

MILLISECONDS = 1000


class EndpointLimitManager(LimitManager):
    """Charges requests to endpoints whose limit hosts have reported.

    If hosts report different limits, the one from the endpoint's latest response wins.
    """

    def __init__(
        self,
        leadership_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        super().__init__(ENDPOINT_BOUNDS, leadership_began_at, heard_share)
        self._named_by_start: dict[str, NamedLimit] = {}

    def charge(self, spending: EndpointSpending) -> EndpointLimitState:
        """Charge a request before it is sent; without an amount, store the limit."""
        start_id = spending.start_id
        with self._lock:
            named = self._update_limit(spending)
            ledger = self._current_ledger()
            wait = 0.0
            if spending.amount:
                wait = self._charge(ledger, start_id, spending.amount).wait
        named_ago_ms = int((steady_seconds() - named.named_at) * MILLISECONDS)
        return EndpointLimitState(start_id, named.per_second, named_ago_ms, wait)

    def charge_without_leader(
        self, host_id: str, entry_hosts: int, spending: EndpointSpending
    ) -> bool:
        """Charge a request of a host without a leader; return whether it may be sent.

        The call also adds the host's share of the limits to the pool. Without an
        amount, it does nothing else.
        """
        start_id, cost = spending.start_id, spending.amount
        with self._lock:
            if start_id:
                self._update_limit(spending)
            charge = PoolCharge(host_id, entry_hosts, start_id, cost)
            may_send = self._charge_without_leader(charge).may_run
        if cost:
            extra = {"host_id": host_id, "start_id": start_id, "may_send": may_send}
            logger.info("request to endpoint charged without a leader", extra=extra)
        return may_send

    def forget_old(self) -> None:
        """Remove limits that no host has reported for a long time."""
        with self._lock:
            for start_id, named in list(self._named_by_start.items()):
                if named.forgotten_at.expired:
                    del self._named_by_start[start_id]
                    self._forget(start_id)

    def _update_limit(self, spending: EndpointSpending) -> NamedLimit:
        """Store the limit that the host reports if it is newer; return the newest."""
        named_at = steady_seconds() - (spending.named_ago_ms or 0) / MILLISECONDS
        reported = NamedLimit(spending.per_second or 0.0, named_at)
        known = self._named_by_start.get(spending.start_id)
        if known is not None and known.named_at >= reported.named_at:
            return known
        self._named_by_start[spending.start_id] = reported
        if not reported.per_second:
            self._forget(spending.start_id)
        return reported

    def _limit_of(self, name: str) -> RateLimit | None:
        named = self._named_by_start.get(name)
        if named is None or not named.per_second:
            return None
        return endpoint_limit(named.per_second)

    def _log_exceeded(
        self, name: str, limit: RateLimit, cost: float, left: float, wait: float
    ) -> None:
        extra = {
            "start_id": name,
            "per_second": limit.per_second,
            "left": round(left, 2),
            "wait_ms": int(wait * MILLISECONDS),
        }
        logger.info("request exceeds the endpoint's limit", extra=extra)

    def _on_new_leadership(self) -> None:
        """Keep the limits of endpoints, which don't depend on the leadership."""
