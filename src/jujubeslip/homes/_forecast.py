"""Forecast of the first token times of waiting requests."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from jujubeslip.homes._records import EndpointRecord, Waiter
from jujubeslip.homes._scheduler import LINK_WAIT_SECONDS, Scheduler
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import EndpointRole

# The expected remaining time of a slot that this home did not grant, in seconds.
FOREIGN_REQUEST_SECONDS = 10.0
# The share of slots assumed to become free for waiting requests at any demand.
MINIMUM_FREE_SHARE = 0.1
MINIMUM_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 60.0


class Forecast:
    """Simulates serving a queue with the pool's prefill endpoints and decode slots.

    Requests are taken in the order in which they are granted; each uses the prefill
    endpoint and the slot that become free first. The cost per request is one pop and
    one push on each of two heaps.
    """

    def __init__(self, scheduler: Scheduler, plain: bool) -> None:
        self._scheduler = scheduler
        self._estimates = scheduler.estimates
        self._plain = plain
        self._now = steady_seconds()
        role = EndpointRole.PLAIN if plain else EndpointRole.DECODE
        decodes = scheduler.candidates(role)
        prefills = [] if plain else scheduler.candidates(EndpointRole.PREFILL)
        self._slots = self._slot_free_times(decodes)
        self._slot_count = len(self._slots)
        self._prefill_free_times = [
            (
                self._now + item.prefill_backlog(self._now),
                item.link_free_time(self._now),
            )
            for item in prefills
        ]
        heapq.heapify(self._slots)
        heapq.heapify(self._prefill_free_times)
        # The endpoints of a pool have similar speeds; the median represents them all.
        prefills.sort(key=lambda item: item.prefill_seconds.seconds_per_token)
        self._median_prefill = prefills[len(prefills) // 2] if prefills else None

    @property
    def has_endpoints(self) -> bool:
        """Return whether each required role has at least one endpoint."""
        return bool(self._slots) and (self._plain or bool(self._prefill_free_times))

    def first_token_times(
        self, waiters: Iterable[Waiter]
    ) -> Iterator[tuple[Waiter, float]]:
        """Yield each request with the time of its first token."""
        for waiter in waiters:
            yield waiter, self._with_later_arrivals(waiter, self._simulate(waiter))

    def first_token_time(self, waiter: Waiter, ahead: Iterable[Waiter]) -> float:
        """Return the time of a request's first token after those ahead of it."""
        for other in ahead:
            self._simulate(other)
        return self._with_later_arrivals(waiter, self._simulate(waiter))

    def _with_later_arrivals(self, waiter: Waiter, first_token_at: float) -> float:
        """Return the first token time including later requests of higher priority.

        Such requests are served first. If the forecast ignored them, it would stay too
        optimistic for a bulk request, which would be refused only at its wait limit.
        """
        free = 1 - self._demand_up_to(waiter.request.priority - 1)
        transfer = self._estimates.transfer_seconds.seconds_for(
            waiter.request.prompt_tokens
        )
        served = self._prefill_seconds(waiter) + transfer
        queued = max(0.0, first_token_at - served - self._now)
        return first_token_at - queued + queued / max(MINIMUM_FREE_SHARE, free)

    def retry_seconds(self, waiter: Waiter, late: float) -> float:
        """Return when to retry a request whose first token is `late`, in seconds.

        The queue must shrink by that much while further requests arrive, so the delay
        grows with the demand at this priority and higher ones.
        """
        free = 1 - self._demand_up_to(waiter.request.priority)
        seconds = max(MINIMUM_RETRY_SECONDS, late) / max(MINIMUM_FREE_SHARE, free)
        return min(MAXIMUM_RETRY_SECONDS, seconds)

    def _demand_up_to(self, priority: int) -> float:
        return self._scheduler.demand.share_up_to(priority, self._slot_count)

    def _slot_free_times(self, records: list[EndpointRecord]) -> list[float]:
        free_times: list[float] = []
        for record in records:
            used = [
                grant.release_time(self._now) for grant in record.decode_grants.values()
            ]
            used.extend([self._now + FOREIGN_REQUEST_SECONDS] * record.foreign_requests)
            used.sort()
            free = max(0, record.slots - len(used))
            free_times.extend(used[-record.slots :] if record.slots else [])
            free_times.extend([self._now] * free)
        return free_times

    def _simulate(self, waiter: Waiter) -> float:
        slot = heapq.heappop(self._slots)
        if self._plain:
            hold = self._estimates.hold_seconds(1)
            heapq.heappush(self._slots, slot + hold)
            return slot
        prefill_free, link_free = heapq.heappop(self._prefill_free_times)
        prefill = self._prefill_seconds(waiter)
        transfer = self._estimates.transfer_seconds.seconds_for(
            waiter.request.prompt_tokens
        )
        start = max(prefill_free, slot - prefill - transfer)
        if self._scheduler.is_paced(waiter):
            start = max(start, link_free - prefill - LINK_WAIT_SECONDS)
        ready = self._scheduler.transfer_ends(
            waiter, start + prefill, link_free, transfer
        )
        hold = self._estimates.hold_seconds(waiter.request.output_tokens)
        heapq.heappush(
            self._prefill_free_times, (start + prefill, max(link_free, ready))
        )
        heapq.heappush(self._slots, ready + hold)
        return ready + self._estimates.decode_seconds.seconds_per_token

    def _prefill_seconds(self, waiter: Waiter) -> float:
        request = waiter.request
        if request.prefill_endpoint_id or self._median_prefill is None:
            return 0.0
        cached = max(self._scheduler.cached_tokens(waiter).values(), default=0)
        return self._median_prefill.prefill_seconds.seconds_for(
            request.prompt_tokens - cached
        )
