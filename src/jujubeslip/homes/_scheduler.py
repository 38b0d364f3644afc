"""The choice of endpoints for a waiting request, and the forecast of its wait."""

from __future__ import annotations

import heapq
import time
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.homes._estimates import Estimates
from jujubeslip.homes._records import EndpointRecord, GrantRecord, Waiter
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

URGENT = 0
# A prefill endpoint gets its next turn when the current one ends within this time,
# so that it does not idle for the round trip between the two.
NEXT_TURN_SECONDS = 0.05
# A grant that passed its forecast release is expected to last this share longer.
OVERDUE_SHARE = 0.25
MINIMUM_OVERDUE_SECONDS = 0.05


@dataclass(frozen=True)
class SchedulerOptions:
    """Each decision can be switched off, to be measured on and off."""

    reserve_decode_slot: bool = True
    priority_order: bool = True
    urgent_headroom: bool = True
    early_refusal: bool = True
    prefix_affinity: bool = True
    joint_choice: bool = True


@dataclass(frozen=True)
class Choice:
    """The endpoints for a request and when each part is forecast to end.

    A plain service's request has no prefill; its endpoint stands as `decode`.
    """

    prefill: EndpointRecord | None
    decode: EndpointRecord
    prefill_ends: Deadline
    releases: Deadline
    cached_tokens: int


@dataclass(frozen=True)
class Occupancy:
    """How one endpoint is used: when each held place is forecast to be free."""

    endpoint: EndpointRecord
    free_instants: tuple[float, ...]

    def free_slots_at(self, instant: float) -> int:
        """Return how many slots are forecast to be free then."""
        used = sum(1 for free in self.free_instants if free > instant)
        return self.endpoint.slots - used


class Scheduler:
    """Chooses for one pool; every method is called under the pool's lock."""

    def __init__(self, options: SchedulerOptions) -> None:
        self.options = options
        self.estimates = Estimates()
        self.record_by_id: dict[str, EndpointRecord] = {}
        self.grant_by_id: dict[str, GrantRecord] = {}
        self._last_urgent_at = 0.0
        self._urgent_interval = 0.0

    # Endpoints

    def candidates(self, role: EndpointRole, avoid: list[str]) -> list[EndpointRecord]:
        """Return the usable endpoints of a role, without failing ones if others do."""
        usable = [
            record
            for record in self.record_by_id.values()
            if record.role is role and record.usable
        ]
        wanted = [record for record in usable if record.endpoint_id not in avoid]
        healthy = [record for record in wanted if record.ejected_until.expired]
        # Never all: a pool whose endpoints all failed lately is tried all the same.
        return healthy or wanted or usable

    def prefill_backlog(self, record: EndpointRecord, now: float) -> tuple[int, float]:
        """Return how many granted prefills are unfinished there, and their seconds."""
        open_grants = [
            grant
            for grant in self.grant_by_id.values()
            if grant.prefill_id == record.endpoint_id and not grant.prefill_finished
        ]
        latest = max((grant.prefill_ends.instant for grant in open_grants), default=now)
        return len(open_grants), max(0.0, latest - now)

    def prefill_seconds(self, record: EndpointRecord, waiter: Waiter) -> float:
        """Return how long the endpoint computes for the request's prompt."""
        request = waiter.request
        cached = 0
        if self.options.prefix_affinity:
            cached = record.cached_tokens(request.prefix_hashes)
        tokens = max(1, request.prompt_tokens - cached)
        return tokens * record.prefill_seconds_per_token.value

    def occupancy(self, record: EndpointRecord, now: float) -> Occupancy:
        """Return the use of a decode endpoint: own grants, and what it holds beside.

        What the endpoint holds without a grant of this home was granted by an earlier
        home, or by one beyond a network partition; it counts until it is gone.
        """
        grants = [
            grant
            for grant in self.grant_by_id.values()
            if grant.decode_id == record.endpoint_id
        ]
        instants = [self._release_instant(grant, now) for grant in grants]
        known = {grant.key for grant in self.grant_by_id.values()}
        held = record.status.held if record.status else ()
        strangers = [
            item for item in held if (item.request_id, item.attempt) not in known
        ]
        instants.extend(now + 3600 for _ in strangers)
        return Occupancy(record, tuple(instants))

    def _release_instant(self, grant: GrantRecord, now: float) -> float:
        if grant.releases.instant > now:
            return grant.releases.instant
        planned = grant.releases.instant - grant.granted_at
        overdue = max(MINIMUM_OVERDUE_SECONDS, OVERDUE_SHARE * planned)
        return now + overdue

    # Choice

    def choose(self, waiter: Waiter) -> Choice | None:
        """Return endpoints that can take the request now, or None to let it wait."""
        now = time.monotonic()
        if waiter.request.plain:
            return self._choose_plain(waiter, now)
        avoid = waiter.request.avoid_endpoint_ids
        prefills = self.candidates(EndpointRole.PREFILL, avoid)
        decodes = self.candidates(EndpointRole.DECODE, avoid)
        if not prefills or not decodes:
            return None
        prefill = self._choose_prefill(waiter, prefills, now)
        if prefill is None:
            return None
        _, backlog = self.prefill_backlog(prefill, now)
        ends = now + backlog + self._prefill_seconds_at(prefill, waiter)
        ready = ends + self.estimates.transfer_seconds(waiter.request.prompt_tokens)
        decode = self._choose_decode(waiter, decodes, ready, now)
        if decode is None:
            return None
        releases = ready + self.estimates.decode_seconds(waiter.request.output_tokens)
        cached = prefill.cached_tokens(waiter.request.prefix_hashes)
        return Choice(prefill, decode, Deadline(ends), Deadline(releases), cached)

    def _choose_plain(self, waiter: Waiter, now: float) -> Choice | None:
        avoid = waiter.request.avoid_endpoint_ids
        candidates = self.candidates(EndpointRole.PLAIN, avoid)
        occupancies = [self.occupancy(record, now) for record in candidates]
        free = [item for item in occupancies if item.free_slots_at(now) > 0]
        if not free:
            return None
        best = min(free, key=lambda item: len(item.free_instants))
        releases = Deadline(now + self.estimates.decode_seconds(1))
        return Choice(None, best.endpoint, Deadline(now), releases, 0)

    def _prefill_seconds_at(self, record: EndpointRecord, waiter: Waiter) -> float:
        if record.endpoint_id == waiter.request.prefill_endpoint_id:
            return 0.0
        return self.prefill_seconds(record, waiter)

    def _choose_prefill(
        self, waiter: Waiter, candidates: list[EndpointRecord], now: float
    ) -> EndpointRecord | None:
        for record in candidates:
            # The KV cache of an earlier attempt is still there: it needs no turn.
            if record.endpoint_id == waiter.request.prefill_endpoint_id:
                return record
        scored = []
        for record in candidates:
            count, backlog = self.prefill_backlog(record, now)
            if count > 0 and backlog > NEXT_TURN_SECONDS or count > 1:
                continue
            seconds = backlog + self.prefill_seconds(record, waiter)
            scored.append((seconds, record.endpoint_id, record))
        if not scored:
            return None
        if self._must_leave_a_prefill_free(waiter, candidates, len(scored)):
            return None
        return min(scored)[2]

    def _must_leave_a_prefill_free(
        self, waiter: Waiter, candidates: list[EndpointRecord], free: int
    ) -> bool:
        """Keep one prefill endpoint free of prompts that an urgent one can't outwait.

        An engine does not interrupt a prefill: if all of them compute long prompts,
        an urgent request that arrives then misses its first-token target.
        """
        if not self.options.urgent_headroom or waiter.request.priority == URGENT:
            return False
        target = self.estimates.urgent_target_seconds.value
        if target == 0.0 or len(candidates) < 2 or free > 1:
            return False
        shortest = min(self.prefill_seconds(record, waiter) for record in candidates)
        return shortest > target / 2

    def _choose_decode(
        self,
        waiter: Waiter,
        candidates: list[EndpointRecord],
        ready: float,
        now: float,
    ) -> EndpointRecord | None:
        occupancies = [self.occupancy(record, now) for record in candidates]
        if not self.options.reserve_decode_slot:
            return min(occupancies, key=lambda item: len(item.free_instants)).endpoint
        free_by_id = {
            item.endpoint.endpoint_id: item.free_slots_at(ready) for item in occupancies
        }
        free = sum(max(0, count) for count in free_by_id.values())
        if free <= self._headroom_for(waiter):
            return None
        best = max(
            occupancies,
            key=lambda item: (
                free_by_id[item.endpoint.endpoint_id],
                -len(item.free_instants),
            ),
        )
        return best.endpoint

    def _headroom_for(self, waiter: Waiter) -> int:
        """Return how many decode slots a request must leave free for urgent ones."""
        if not self.options.urgent_headroom or waiter.request.priority == URGENT:
            return 0
        if self._urgent_interval == 0.0:
            return 0
        in_use = sum(
            1 for grant in self.grant_by_id.values() if grant.request.priority == URGENT
        )
        quiet = max(self._urgent_interval, time.monotonic() - self._last_urgent_at)
        expected = self.estimates.urgent_seconds.value / quiet
        return max(0, round(expected) - in_use)

    def note_arrival(self, waiter: Waiter) -> None:
        """Learn how often urgent requests come and how long they can wait."""
        if waiter.request.priority != URGENT:
            return
        now = time.monotonic()
        if self._last_urgent_at:
            sample = now - self._last_urgent_at
            self._urgent_interval += 0.1 * (sample - self._urgent_interval)
        self._last_urgent_at = now
        self.estimates.urgent_target_seconds.add(
            waiter.request.first_token_remaining_ms / 1000
        )

    # Forecast

    def forecast_first_token(self, waiter: Waiter, ahead: Iterable[Waiter]) -> float:
        """Return the seconds until the request's first token is forecast.

        Plays the queue through: each request takes the prefill endpoint and the decode
        slot that are free first, in the order in which they would be granted.
        """
        now = time.monotonic()
        prefill_free = self._prefill_instants(waiter, now)
        slot_free = self._slot_instants(waiter, now)
        if not slot_free or not (prefill_free or waiter.request.plain):
            return float("inf")
        for other in ahead:
            self._play(other, prefill_free, slot_free)
        return self._play(waiter, prefill_free, slot_free) - now

    def _prefill_instants(self, waiter: Waiter, now: float) -> list[float]:
        avoid = waiter.request.avoid_endpoint_ids
        records = self.candidates(EndpointRole.PREFILL, avoid)
        instants = [now + self.prefill_backlog(record, now)[1] for record in records]
        heapq.heapify(instants)
        return instants

    def _slot_instants(self, waiter: Waiter, now: float) -> list[float]:
        instants: list[float] = []
        avoid = waiter.request.avoid_endpoint_ids
        plain = waiter.request.plain
        role = EndpointRole.PLAIN if plain else EndpointRole.DECODE
        for record in self.candidates(role, avoid):
            used = sorted(self.occupancy(record, now).free_instants)
            used = used[-record.slots :] if record.slots else []
            instants.extend(used)
            instants.extend([now] * (record.slots - len(used)))
        heapq.heapify(instants)
        return instants

    def _play(
        self, waiter: Waiter, prefill_free: list[float], slot_free: list[float]
    ) -> float:
        if waiter.request.plain:
            start = heapq.heappop(slot_free)
            heapq.heappush(slot_free, start + self.estimates.decode_seconds(1))
            return start
        seconds = min(
            (
                self._prefill_seconds_at(record, waiter)
                for record in self.candidates(EndpointRole.PREFILL, [])
            ),
            default=0.0,
        )
        transfer = self.estimates.transfer_seconds(waiter.request.prompt_tokens)
        turn = heapq.heappop(prefill_free)
        slot = heapq.heappop(slot_free)
        start = max(turn, slot - seconds - transfer)
        ready = start + seconds + transfer
        decode = self.estimates.decode_seconds(waiter.request.output_tokens)
        heapq.heappush(prefill_free, start + seconds)
        heapq.heappush(slot_free, ready + decode)
        return ready + self.estimates.decode_seconds_per_token.value
