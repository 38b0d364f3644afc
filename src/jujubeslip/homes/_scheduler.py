"""Selection of endpoints for waiting requests."""

from __future__ import annotations

import itertools
import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from jujubeslip.homes._demand import Demand
from jujubeslip.homes._estimates import Estimates
from jujubeslip.homes._grant_registry import GrantRegistry
from jujubeslip.homes._prefix_index import PrefixIndex
from jujubeslip.homes._records import URGENT, EndpointRecord, Waiter
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole

# A prefill endpoint gets its next prompt when its granted ones are forecast to end
# within this time, in seconds, so that it does not idle for the round trip in between.
MAXIMUM_BACKLOG_SECONDS = 0.05
MAXIMUM_OPEN_PREFILLS = 16
# How long a computed prompt may wait for the link of its prefill endpoint, in seconds.
LINK_WAIT_SECONDS = 0.1
# With more candidates than this, a sample of this size is examined first, and all
# candidates only if the sample has no free capacity. The cost of a choice then hardly
# grows with the pool.
SAMPLE_SIZE = 16
# How long a list of usable endpoints is cached, in seconds, unless one of them changes.
CANDIDATES_LIFETIME_SECONDS = 0.05


@dataclass(frozen=True)
class SchedulerOptions:
    """Switches that turn scheduling decisions off, to compare results without them."""

    reserve_decode_slot: bool = True
    priority_order: bool = True
    urgent_headroom: bool = True
    early_refusal: bool = True
    prefix_affinity: bool = True
    link_pacing: bool = True


@dataclass(frozen=True)
class Choice:
    """The endpoints for a request, with the forecast end of each phase.

    A request to a plain service has no prefill; its endpoint is in `decode`.
    """

    prefill: EndpointRecord | None
    decode: EndpointRecord
    prefill_ends: Deadline
    transfer_seconds: float
    releases_at: Deadline
    cached_tokens: int


class Scheduler:
    """Chooses endpoints of one pool; methods are called with the pool's lock held."""

    def __init__(self, options: SchedulerOptions) -> None:
        self.options = options
        self.estimates = Estimates()
        self.prefixes = PrefixIndex()
        self.demand = Demand()
        self.record_by_id: dict[str, EndpointRecord] = {}
        self.grants = GrantRegistry(self.record_by_id)
        self._usable_by_role: dict[EndpointRole, tuple[float, list[EndpointRecord]]]
        self._usable_by_role = {}
        self._ejected_until = 0.0
        self._last_urgent_at = 0.0
        self._urgent_interval = 0.0

    # Candidates

    def candidates(
        self, role: EndpointRole, avoid: Collection[str] = ()
    ) -> list[EndpointRecord]:
        """Return the usable endpoints of a role; failing ones only if all fail."""
        now = steady_seconds()
        usable = self._usable(role, now)
        if not avoid and not self._any_ejected(now):
            return usable
        wanted = [record for record in usable if record.endpoint_id not in avoid]
        healthy = [record for record in wanted if record.ejected_until.timestamp <= now]
        # If all endpoints failed recently, they are used nevertheless.
        return healthy or wanted or usable

    def _usable(self, role: EndpointRole, now: float) -> list[EndpointRecord]:
        until, records = self._usable_by_role.get(role, (0.0, []))
        if now < until:
            return records
        records = [
            record
            for record in self.record_by_id.values()
            if record.role == role and record.is_usable(now)
        ]
        # Shuffled, so that any slice of the list is a random sample.
        random.shuffle(records)
        self._usable_by_role[role] = (now + CANDIDATES_LIFETIME_SECONDS, records)
        return records

    def endpoints_changed(self) -> None:
        """Clear the cached lists of usable endpoints; one joined, left or failed."""
        self._usable_by_role.clear()
        self._ejected_until = max(
            (record.ejected_until.timestamp for record in self.record_by_id.values()),
            default=0.0,
        )

    def _any_ejected(self, now: float) -> bool:
        return now < self._ejected_until

    def prefill_seconds(
        self, record: EndpointRecord, waiter: Waiter, cached_by_id: dict[str, int]
    ) -> float:
        """Return the forecast prefill time of a request at an endpoint, in seconds."""
        if record.endpoint_id == waiter.request.prefill_endpoint_id:
            return 0.0
        cached = cached_by_id.get(record.endpoint_id, 0)
        return record.prefill_seconds.seconds_for(waiter.request.prompt_tokens - cached)

    def cached_tokens(self, waiter: Waiter) -> dict[str, int]:
        """Return the cached tokens of the request's prompt by endpoint id."""
        if not self.options.prefix_affinity:
            return {}
        return self.prefixes.cached_tokens(waiter.request.prefix_hashes)

    # Choice

    def choose(self, waiter: Waiter) -> Choice | None:
        """Return endpoints that can serve the request now, or None if it must wait."""
        now = steady_seconds()
        avoid = waiter.request.avoid_endpoint_ids
        if waiter.request.plain:
            return self._choose_plain(self.candidates(EndpointRole.PLAIN, avoid), now)
        cached_by_id = self.cached_tokens(waiter)
        prefill = self._choose_prefill(waiter, cached_by_id, now)
        if prefill is None:
            return None
        seconds = self.prefill_seconds(prefill, waiter, cached_by_id)
        ends = now + prefill.prefill_backlog(now) + seconds
        transfer = self.estimates.transfer_seconds.seconds_for(
            waiter.request.prompt_tokens
        )
        link_free = prefill.link_free_time(now)
        ready = self.transfer_ends(waiter, ends, link_free, transfer)
        decode = self._choose_decode(waiter, ready, now)
        if decode is None:
            return None
        releases_at = ready + self.estimates.hold_seconds(waiter.request.output_tokens)
        cached = cached_by_id.get(prefill.endpoint_id, 0)
        return Choice(
            prefill, decode, Deadline(ends), transfer, Deadline(releases_at), cached
        )

    def is_paced(self, waiter: Waiter) -> bool:
        """Return whether the request's transfer waits for earlier ones on the link.

        Urgent prompts are short, and share the link with a long transfer instead.
        """
        return self.options.link_pacing and waiter.request.priority != URGENT

    def transfer_ends(
        self, waiter: Waiter, prefill_ends: float, link_free: float, seconds: float
    ) -> float:
        """Return the forecast time at which a KV cache is at its decode endpoint."""
        if self.is_paced(waiter):
            return max(prefill_ends, link_free) + seconds
        shared = 2 if link_free > prefill_ends else 1
        return prefill_ends + shared * seconds

    def _choose_plain(
        self, candidates: list[EndpointRecord], now: float
    ) -> Choice | None:
        free = [record for record in candidates if record.free_slots_at(now, now) > 0]
        if not free:
            return None
        best = min(free, key=lambda record: len(record.decode_grants))
        releases_at = Deadline(now + self.estimates.hold_seconds(1))
        return Choice(None, best, Deadline(now), 0.0, releases_at, 0)

    def _choose_prefill(
        self, waiter: Waiter, cached_by_id: dict[str, int], now: float
    ) -> EndpointRecord | None:
        candidates = self.candidates(
            EndpointRole.PREFILL, waiter.request.avoid_endpoint_ids
        )
        earlier = self.record_by_id.get(waiter.request.prefill_endpoint_id)
        if earlier is not None and earlier in candidates:
            # It still holds the KV cache of an earlier attempt; no prefill is needed.
            return earlier
        free = self._accepting_prefills(candidates, cached_by_id, now)
        free = [
            item
            for item in free
            if self._link_keeps_up(item, waiter, cached_by_id, now)
        ]
        if not free or self._must_leave_one_free(waiter, candidates, free):
            return None
        return min(
            free,
            key=lambda record: (
                record.prefill_backlog(now)
                + self.prefill_seconds(record, waiter, cached_by_id)
            ),
        )

    def _link_keeps_up(
        self,
        record: EndpointRecord,
        waiter: Waiter,
        cached_by_id: dict[str, int],
        now: float,
    ) -> bool:
        """Return whether the link can transfer the KV cache soon after the prefill.

        A computed prompt that waits for the link is soon evicted, which wastes its
        prefill.
        """
        if not self.is_paced(waiter) or not record.transfer_grants:
            return True
        seconds = self.prefill_seconds(record, waiter, cached_by_id)
        ends = now + record.prefill_backlog(now) + seconds
        return record.link_free_time(now) - ends <= LINK_WAIT_SECONDS

    def _accepting_prefills(
        self,
        candidates: list[EndpointRecord],
        cached_by_id: dict[str, int],
        now: float,
    ) -> list[EndpointRecord]:
        """Return prefill endpoints that accept a prompt; of many, those in a sample."""
        if len(candidates) > SAMPLE_SIZE:
            sample = _sample(candidates)
            sample.extend(self._usable_among(cached_by_id, now))
            free = [record for record in sample if _accepts_prefill(record, now)]
            if len(free) > 1:
                return free
        return [record for record in candidates if _accepts_prefill(record, now)]

    def _usable_among(
        self, endpoint_ids: Iterable[str], now: float
    ) -> Iterator[EndpointRecord]:
        for endpoint_id in itertools.islice(endpoint_ids, SAMPLE_SIZE):
            record = self.record_by_id.get(endpoint_id)
            if record is not None and record.is_usable(now):
                yield record

    def _must_leave_one_free(
        self,
        waiter: Waiter,
        candidates: list[EndpointRecord],
        free: list[EndpointRecord],
    ) -> bool:
        """Return whether the last free prefill endpoint is kept for urgent requests.

        An engine does not interrupt a prefill. If all prefill endpoints compute long
        prompts, an urgent request that arrives then misses its first token target.
        """
        if not self.options.urgent_headroom or waiter.request.priority == URGENT:
            return False
        target = self.estimates.urgent_target_seconds.value
        if target == 0.0 or len(candidates) < 2 or len(free) > 1:
            return False
        return self.prefill_seconds(free[0], waiter, {}) > target / 2

    def _choose_decode(
        self, waiter: Waiter, ready: float, now: float
    ) -> EndpointRecord | None:
        candidates = self.candidates(
            EndpointRole.DECODE, waiter.request.avoid_endpoint_ids
        )
        if not candidates:
            return None
        if not self.options.reserve_decode_slot:
            return min(candidates, key=lambda record: len(record.decode_grants))
        headroom = self._headroom_for(waiter)
        if len(candidates) > SAMPLE_SIZE and headroom == 0:
            best, free = _most_free_slots(_sample(candidates), ready, now)
            if free > 0:
                return best
        best, free = _most_free_slots(candidates, ready, now)
        return best if free > headroom else None

    def _headroom_for(self, waiter: Waiter) -> int:
        """Return how many decode slots a request has to leave free for urgent ones."""
        if not self.options.urgent_headroom or waiter.request.priority == URGENT:
            return 0
        if self._urgent_interval == 0.0:
            return 0
        interval = max(self._urgent_interval, steady_seconds() - self._last_urgent_at)
        expected = self.estimates.urgent_seconds.value / interval
        return max(0, round(expected) - self.grants.urgent)

    def record_arrival(self, waiter: Waiter) -> None:
        """Update the demand, and the interval and target of urgent requests."""
        hold = self.estimates.hold_seconds(waiter.request.output_tokens)
        self.demand.add(waiter.request.priority, hold)
        if waiter.request.priority != URGENT:
            return
        now = steady_seconds()
        if self._last_urgent_at:
            sample = now - self._last_urgent_at
            self._urgent_interval += 0.1 * (sample - self._urgent_interval)
        self._last_urgent_at = now
        self.estimates.urgent_target_seconds.add(
            waiter.request.first_token_remaining_ms / 1000
        )


def _sample(records: list[EndpointRecord]) -> list[EndpointRecord]:
    """Return SAMPLE_SIZE records from a random position of a shuffled list."""
    start = random.randrange(len(records) - SAMPLE_SIZE + 1)
    return records[start : start + SAMPLE_SIZE]


def _accepts_prefill(record: EndpointRecord, now: float) -> bool:
    """Return whether a prefill endpoint accepts another prompt now."""
    open_grants = len(record.prefill_grants)
    if open_grants == 0:
        return True
    if open_grants >= MAXIMUM_OPEN_PREFILLS:
        return False
    return record.prefill_backlog(now) <= MAXIMUM_BACKLOG_SECONDS


def _most_free_slots(
    records: list[EndpointRecord], ready: float, now: float
) -> tuple[EndpointRecord, int]:
    """Return the endpoint with the most free slots, and the sum of free slots."""
    best = records[0]
    most = None
    total = 0
    for record in records:
        free = record.free_slots_at(ready, now)
        total += max(0, free)
        rank = (free, -len(record.decode_grants))
        if most is None or rank > most:
            best, most = record, rank
    return best, total
