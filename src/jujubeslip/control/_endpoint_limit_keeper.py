"""The limits that endpoints have named, on the control host that leads."""

from __future__ import annotations

import logging
from collections.abc import Callable

from jujubeslip.accounts import ENDPOINT_BOUNDS, RateLimit, endpoint_limit
from jujubeslip.control._limit_keeper import LimitKeeper
from jujubeslip.kernel import steady_seconds
from jujubeslip.notices import NamedLimit
from jujubeslip.peers import EndpointLimitState, EndpointSpending

logger = logging.getLogger(__name__)

MILLISECONDS = 1000


class EndpointLimitKeeper(LimitKeeper):
    """Charges requests to endpoints with a limit; hosts tell it of each limit.

    Of two hosts the one counts whose endpoint's answer came later.
    """

    def __init__(
        self,
        lead_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        super().__init__(ENDPOINT_BOUNDS, lead_began_at, heard_share)
        self._named_by_start: dict[str, NamedLimit] = {}

    def charge(self, spending: EndpointSpending) -> EndpointLimitState:
        """Charge a request before it is sent; without an amount, only take the news."""
        start_id = spending.start_id
        with self._lock:
            named = self._take(spending)
            ledger = self._current_ledger()
            now = steady_seconds()
            wait = 0.0
            if spending.amount:
                wait = self._charge(ledger, start_id, spending.amount, now).wait
        named_ago_ms = int((now - named.named_at) * MILLISECONDS)
        return EndpointLimitState(start_id, named.per_second, named_ago_ms, wait)

    def charge_alone(
        self, host_id: str, entry_hosts: int, spending: EndpointSpending
    ) -> bool:
        """Charge a request of a host that finds no leader; say whether it may be sent.

        The host lends its parts with that; without an amount it does nothing else.
        """
        start_id, cost = spending.start_id, spending.amount
        with self._lock:
            if start_id:
                self._take(spending)
            may_send = self._charge_alone(host_id, entry_hosts, start_id, cost)
        if cost:
            extra = {"host_id": host_id, "start_id": start_id, "may_send": may_send}
            logger.info("send charged without a leader", extra=extra)
        return may_send

    def forget_old(self) -> None:
        """Drop limits that no host has told of for long."""
        with self._lock:
            for start_id, named in list(self._named_by_start.items()):
                if named.forgotten_at.expired:
                    del self._named_by_start[start_id]
                    self._forget(start_id)

    def _take(self, spending: EndpointSpending) -> NamedLimit:
        """Take what the host knows of the limit, if it is newer; return the newest."""
        named_at = steady_seconds() - (spending.named_ago_ms or 0) / MILLISECONDS
        told = NamedLimit(spending.per_second or 0.0, named_at)
        known = self._named_by_start.get(spending.start_id)
        if known is not None and known.named_at >= told.named_at:
            return known
        self._named_by_start[spending.start_id] = told
        if not told.per_second:
            self._forget(spending.start_id)
        return told

    def _limit_of(self, name: str) -> RateLimit | None:
        named = self._named_by_start.get(name)
        if named is None or not named.per_second:
            return None
        return endpoint_limit(named.per_second)

    def _log_used(
        self, name: str, limit: RateLimit, cost: float, left: float, wait: float
    ) -> None:
        extra = {
            "start_id": name,
            "per_second": limit.per_second,
            "left": round(left, 2),
            "wait_ms": int(wait * MILLISECONDS),
        }
        logger.info("endpoint's limit is used", extra=extra)

    def _note_new_lead(self) -> None:
        """Keep what endpoints have named: it doesn't belong to a lead."""
