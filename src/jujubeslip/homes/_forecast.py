"""The forecast of when waiting requests get their first token."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from jujubeslip.homes._records import EndpointRecord, Waiter
from jujubeslip.homes._scheduler import LINK_WAIT_SECONDS, Scheduler
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import EndpointRole

# How long a slot that this home did not grant is taken to last, in seconds.
STRANGER_SECONDS = 10.0
# However much is asked for, a share of the slots comes free for what waits.
MINIMUM_FREE_SHARE = 0.1
MINIMUM_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 60.0


class Forecast:
    """Plays a queue through the pool's prefill turns and decode slots.

    Each request takes the turn and the slot that are free first, in the order in
    which they are granted. The cost is one step of two heaps for each request.
    """

    def __init__(self, scheduler: Scheduler, plain: bool) -> None:
        self._scheduler = scheduler
        self._estimates = scheduler.estimates
        self._plain = plain
        self._now = steady_seconds()
        role = EndpointRole.PLAIN if plain else EndpointRole.DECODE
        decodes = scheduler.candidates(role)
        prefills = [] if plain else scheduler.candidates(EndpointRole.PREFILL)
        self._slots = self._slot_instants(decodes)
        self._slot_count = len(self._slots)
        self._turns = [
            (
                self._now + item.prefill_backlog(self._now),
                item.link_free_instant(self._now),
            )
            for item in prefills
        ]
        heapq.heapify(self._slots)
        heapq.heapify(self._turns)
        # Endpoints of one pool are alike: the middle one stands for all.
        prefills.sort(key=lambda item: item.prefill_seconds.seconds_per_token)
        self._typical = prefills[len(prefills) // 2] if prefills else None

    @property
    def possible(self) -> bool:
        """Say whether there is any endpoint of each role that is needed."""
        return bool(self._slots) and (self._plain or bool(self._turns))

    def first_tokens(self, waiters: Iterable[Waiter]) -> Iterator[tuple[Waiter, float]]:
        """Yield each request with the instant of its first token."""
        for waiter in waiters:
            yield waiter, self._with_later_arrivals(waiter, self._play(waiter))

    def first_token(self, waiter: Waiter, ahead: Iterable[Waiter]) -> float:
        """Return the instant of a request's first token, behind those ahead of it."""
        for other in ahead:
            self._play(other)
        return self._with_later_arrivals(waiter, self._play(waiter))

    def _with_later_arrivals(self, waiter: Waiter, instant: float) -> float:
        """Return the instant with what will pass this request while it waits.

        Requests of higher priority that come later are served first. Without them the
        forecast of a bulk request stays hopeful until its wait limit, and it is
        refused only then.
        """
        free = 1 - self._demand_up_to(waiter.request.priority - 1)
        transfer = self._estimates.transfer_seconds.of(waiter.request.prompt_tokens)
        served = self._prefill_seconds(waiter) + transfer
        queued = max(0.0, instant - served - self._now)
        return instant - queued + queued / max(MINIMUM_FREE_SHARE, free)

    def retry_seconds(self, waiter: Waiter, late: float) -> float:
        """Return when it is worth asking again, for a request that is so late.

        What waits must shrink by as much while further requests come, so the time
        grows with what this priority and higher ones ask for.
        """
        free = 1 - self._demand_up_to(waiter.request.priority)
        seconds = max(MINIMUM_RETRY_SECONDS, late) / max(MINIMUM_FREE_SHARE, free)
        return min(MAXIMUM_RETRY_SECONDS, seconds)

    def _demand_up_to(self, priority: int) -> float:
        return self._scheduler.demand.share_up_to(priority, self._slot_count)

    def _slot_instants(self, records: list[EndpointRecord]) -> list[float]:
        instants: list[float] = []
        for record in records:
            used = [
                grant.release_instant(self._now)
                for grant in record.decode_grants.values()
            ]
            used.extend([self._now + STRANGER_SECONDS] * record.strangers)
            used.sort()
            free = max(0, record.slots - len(used))
            instants.extend(used[-record.slots :] if record.slots else [])
            instants.extend([self._now] * free)
        return instants

    def _play(self, waiter: Waiter) -> float:
        slot = heapq.heappop(self._slots)
        if self._plain:
            hold = self._estimates.hold_seconds(1)
            heapq.heappush(self._slots, slot + hold)
            return slot
        turn, link_free = heapq.heappop(self._turns)
        prefill = self._prefill_seconds(waiter)
        transfer = self._estimates.transfer_seconds.of(waiter.request.prompt_tokens)
        start = max(turn, slot - prefill - transfer)
        if self._scheduler.is_paced(waiter):
            start = max(start, link_free - prefill - LINK_WAIT_SECONDS)
        ready = self._scheduler.transfer_ends(
            waiter, start + prefill, link_free, transfer
        )
        hold = self._estimates.hold_seconds(waiter.request.output_tokens)
        heapq.heappush(self._turns, (start + prefill, max(link_free, ready)))
        heapq.heappush(self._slots, ready + hold)
        return ready + self._estimates.decode_seconds.seconds_per_token

    def _prefill_seconds(self, waiter: Waiter) -> float:
        request = waiter.request
        if request.prefill_endpoint_id or self._typical is None:
            return 0.0
        cached = max(self._scheduler.cached_tokens(waiter).values(), default=0)
        return self._typical.prefill_seconds.of(request.prompt_tokens - cached)
