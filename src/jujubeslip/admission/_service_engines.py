"""The engines of one service: their grants, and the best engine for a request."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from itertools import islice
from typing import NamedTuple, TypeVar

from jujubeslip.admission._capacity_changes import CapacityChanges
from jujubeslip.admission._capacity_search import CapacitySearch
from jujubeslip.admission._decode_prefill import (
    may_prefill,
    may_prefill_after_pause,
)
from jujubeslip.admission._engine_demand import EngineDemand
from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._engine_speed import DecodeSpeeds
from jujubeslip.admission._memory_forecast import MemoryOptions, MemoryProfile
from jujubeslip.admission._models import (
    EngineUse,
    Grant,
    GrantedRequest,
    GrantRequest,
    MeasuredEngine,
    MissingResource,
)
from jujubeslip.admission._placement import Offer, Placement
from jujubeslip.admission._prefill_candidates import PrefillCandidates, mean_speed
from jujubeslip.admission._prefill_queue import PrefillQueue
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import EngineReport

T = TypeVar("T", EngineMemory, PrefillQueue)
# Number of engines that are checked for memory to tell what a request lacks.
MAXIMUM_CHECKED = 8

MayPrefill = Callable[[EngineMemory, GrantRequest, float], bool]


class _GrantKey(NamedTuple):
    """Identifies a grant by its request and attempt."""

    request_id: str
    attempt: int


class ServiceEngines:
    """The decode and prefill engines of a service; guarded by the pool's lock.

    Finds the best grant for one request. The pool decides which request is next.
    """

    def __init__(
        self,
        options: MemoryOptions,
        placement_by: Callable[[DecodeSpeeds], Placement] = Placement,
    ) -> None:
        self._options = options
        self._engine_by_start: dict[str, EngineMemory] = {}
        self._prefill_queue_by_start: dict[str, PrefillQueue] = {}
        self._capacity_changes = CapacityChanges()
        self._grant_by_key: dict[_GrantKey, Grant] = {}
        self._demand = EngineDemand(options)
        self._decode_speeds = DecodeSpeeds()
        self._placement = placement_by(self._decode_speeds)

    def retain_only(
        self,
        decode_engines: Collection[Endpoint],
        prefill_engines: Collection[Endpoint],
    ) -> None:
        """Replace the decode engines that get grants and the engines that prefill.

        The grants at a removed start are dropped with it.
        """
        _retain_only(self._engine_by_start, decode_engines, EngineMemory)
        _retain_only(self._prefill_queue_by_start, prefill_engines, PrefillQueue)
        self._capacity_changes.retain_only(self._engine_by_start)
        self._decode_speeds.retain_only(self._engine_by_start)
        self._remove_stale_grants()

    def _remove_stale_grants(self) -> None:
        """Remove grants at starts that are removed or no longer hold the request."""
        for key, grant in list(self._grant_by_key.items()):
            engine = self._engine_by_start.get(grant.endpoint.start_id)
            if engine is None or engine.find(key.request_id, key.attempt) is None:
                del self._grant_by_key[key]

    @property
    def granted(self) -> Collection[tuple[str, int]]:
        """Return the request and attempt of each grant that an engine still holds."""
        return self._grant_by_key.keys()

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Store the report of an engine's start."""
        engine = self._engine_by_start.get(start_id)
        if engine is not None:
            engine.take_report(report)
            self._demand.note_report(engine)
            self._capacity_changes.note(start_id)
            self._decode_speeds.note_report(start_id, report, steady_seconds())
        prefill_queue = self._prefill_queue_by_start.get(start_id)
        if prefill_queue is not None:
            prefill_queue.take_report(report)
            self._demand.prefill_speed = mean_speed(
                self._prefill_queue_by_start.values(), self._demand.prefill_speed
            )

    @property
    def speeds(self) -> tuple[MeasuredEngine, ...]:
        """Return the measured speed of each engine."""
        candidates = self.prefill_candidates()
        decode_engines = (
            MeasuredEngine(engine.endpoint, self._decode_speeds.speed_of(start_id))
            for start_id, engine in self._engine_by_start.items()
        )
        prefill_engines = (
            MeasuredEngine(queue.endpoint, candidates.relative_speed(queue))
            for queue in candidates.queues
        )
        return (*decode_engines, *prefill_engines)

    def reported_within(self, start_id: str, seconds: float) -> bool:
        """Return whether a start has reported within this time and is reachable."""
        prefill_queue = self._prefill_queue_by_start.get(start_id)
        if prefill_queue is not None:
            return (
                prefill_queue.report_age < seconds
                and not prefill_queue.reachability.is_unreachable
            )
        engine = self._engine_by_start.get(start_id)
        if engine is None or engine.reachability.is_unreachable:
            return False
        return engine.report_age < seconds

    def answer_count(self, start_id: str) -> int:
        """Return how many answers an engine is decoding, 0 if it is unknown."""
        engine = self._engine_by_start.get(start_id)
        return engine.answer_count if engine is not None else 0

    @property
    def busy_prefill_engines(self) -> float:
        """Return how many prefill engines the recently requested prompts keep busy."""
        return self._demand.busy_prefill_engines

    @property
    def use(self) -> EngineUse:
        """Return how many engines the recently granted requests keep busy."""
        return self._demand.use_of(self._engine_by_start.values())

    def note_requested(self, grant_request: GrantRequest) -> None:
        """Note a request that asks for a grant."""
        self._demand.note_requested(grant_request)

    def note_unreachable(self, start_id: str) -> None:
        """Give no requests to an unreachable start of an engine until it is back."""
        engine = self._engine_by_start.get(start_id)
        if engine is not None:
            engine.reachability.note_unreachable()
        prefill_queue = self._prefill_queue_by_start.get(start_id)
        if prefill_queue is not None:
            prefill_queue.reachability.note_unreachable()

    @property
    def usable(self) -> bool:
        """Return whether the state of any engine is recent enough to grant requests."""
        return any(engine.usable for engine in self._engine_by_start.values())

    def admit(self, grant_request: GrantRequest, grant: Grant) -> None:
        """Note that a request was given a grant."""
        now = steady_seconds()
        self._demand.note_granted(grant_request, now)
        granted_request = GrantedRequest(grant_request, grant, now)
        self._engine_by_start[grant.endpoint.start_id].admit(granted_request)
        if grant.prefill_engine is not None:
            self._prefill_queue_by_start[grant.prefill_engine.start_id].add(
                grant_request
            )
        self._grant_by_key[
            _GrantKey(grant_request.request_id, grant_request.attempt)
        ] = grant

    def existing_grant(self, grant_request: GrantRequest) -> Grant | None:
        """Return the grant of a request whose host asks again after a lost reply."""
        grant = self._grant_by_key.get(
            _GrantKey(grant_request.request_id, grant_request.attempt)
        )
        if grant is None:
            return None
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        held = engine and engine.find(grant_request.request_id, grant_request.attempt)
        return grant if held else None

    def note_prefilled(self, request_id: str, attempt: int) -> None:
        """Note that a prompt was prefilled, or won't be at the engine of its grant."""
        grant = self._grant_by_key.get(_GrantKey(request_id, attempt))
        if grant is None:
            return
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        if engine is not None:
            engine.note_prefilled(request_id, attempt)
        if grant.prefill_engine is None:
            return
        prefill_queue = self._prefill_queue_by_start.get(grant.prefill_engine.start_id)
        if prefill_queue is not None:
            prefill_queue.note_prefilled(request_id, attempt)

    def end(self, request_id: str, attempt: int) -> None:
        """Note that a request has ended, or will not be sent."""
        self.note_prefilled(request_id, attempt)
        grant = self._grant_by_key.pop(_GrantKey(request_id, attempt), None)
        if grant is None:
            return
        engine = self._engine_by_start.get(grant.endpoint.start_id)
        if engine is not None:
            engine.end(request_id, attempt)
            self._capacity_changes.note(grant.endpoint.start_id)

    def prefill_candidates(self) -> PrefillCandidates:
        """Return the prefill engines' queues as they are until the next grant."""
        return PrefillCandidates(tuple(self._prefill_queue_by_start.values()))

    def find_grant(
        self,
        search: CapacitySearch,
        prefill_candidates: PrefillCandidates,
        may_use_decode_engine: bool = False,
    ) -> Grant | None:
        """Return the best grant, None if all engines are full.

        A decode engine that prefills a prompt stops decoding all its answers meanwhile.
        It gets a prompt only while there is no prefill engine, or if
        `may_use_decode_engine` is set, while all prefill engines are busy.
        """
        search.last_missing = MissingResource.MEMORY
        if search.tried_at == self._capacity_changes.latest:
            return None
        grant_request = search.grant_request
        prefill_queue: PrefillQueue | None = None
        test: MayPrefill = may_prefill
        if not grant_request.reads_itself and prefill_candidates.any_except(
            search.avoided
        ):
            prefill_queue = prefill_candidates.next_except(
                search.avoided, grant_request.prompt_tokens
            )
            test = may_prefill_after_pause
            if prefill_queue is None and not may_use_decode_engine:
                search.last_missing = MissingResource.READER
                return None
        found = self._cheapest_grant(search, None if prefill_queue else test)
        if found is None or prefill_queue is None:
            return found
        return replace(
            found,
            prefill_engine=prefill_queue.endpoint,
            prefill_seconds=prefill_queue.seconds_for(grant_request.prompt_tokens),
            prefill_speed=prefill_candidates.relative_speed(prefill_queue),
        )

    def _cheapest_grant(
        self, search: CapacitySearch, may_prefill: MayPrefill | None = None
    ) -> Grant | None:
        """Return the grant at the engine with the lowest cost.

        Engines are tried by the lower bound of their cost, until no remaining one can
        cost less than the best that was found. `may_prefill` says which decode engines
        may prefill the prompt; None if a prefill engine does.
        """
        best: Grant | None = None
        best_cost = math.inf
        for candidate in sorted(self._candidates(search, may_prefill)):
            if candidate.cost >= best_cost:
                break
            grant = self._grant_at(candidate, search)
            if grant is None:
                continue
            cost = candidate.offer.cost(grant.fill)
            if cost < best_cost:
                best, best_cost = grant, cost
        if best is None:
            self._note_no_grant(search, is_prefilled=may_prefill is None)
        return best

    def _note_no_grant(self, search: CapacitySearch, is_prefilled: bool) -> None:
        """Note what the request lacks.

        An engine that may not prefill now may do so before any of its answers ends, so
        the search is marked as failed only if a prefill engine was found.
        """
        if is_prefilled:
            search.note_no_capacity(self._capacity_changes.latest)
            return
        candidates = islice(self._candidates(search, None), MAXIMUM_CHECKED)
        if any(self._grant_at(candidate, search) for candidate in candidates):
            search.last_missing = MissingResource.MAY_READ

    def _candidates(
        self, search: CapacitySearch, may_prefill: MayPrefill | None
    ) -> Iterator[_Candidate]:
        """Yield the engines that may have capacity, each with its lowest possible cost.

        Engines are left out if they had no capacity when the request was last tried,
        or if its prompt alone fills them: the peak is never below the current use.
        """
        grant_request, now = search.grant_request, steady_seconds()
        for engine in self._changed_since(search):
            if may_prefill is not None and not may_prefill(
                engine, grant_request, self._demand.prefill_speed
            ):
                continue
            profile = engine.profile(grant_request)
            capacity = max(1, engine.capacity_tokens)
            fill = (profile.used_now + grant_request.prompt_tokens) / capacity
            if (
                fill > 1 - self._options.margin
                or profile.answers >= grant_request.slots
            ):
                continue
            offer = self._placement.offer(
                grant_request, engine.endpoint, profile.answers, now
            )
            if offer is not None:
                yield _Candidate(
                    offer.cost(fill), random.random(), offer, engine, profile
                )

    def _changed_since(self, search: CapacitySearch) -> Iterator[EngineMemory]:
        for start_id in self._capacity_changes.since(search.tried_at):
            engine = self._engine_by_start.get(start_id)
            if engine is None or start_id in search.avoided:
                continue
            if engine.usable:
                yield engine

    def _grant_at(self, candidate: _Candidate, search: CapacitySearch) -> Grant | None:
        engine, profile = candidate.engine, candidate.profile
        capacity = max(1, engine.capacity_tokens)
        limit = (1 - self._options.margin) * capacity - search.spare_tokens
        own_profile = search.own_profile(profile.longest)
        peak = profile.peak_with(own_profile, self._options.safety_deviations, limit)
        if peak is None:
            return None
        return Grant(
            engine.endpoint,
            peak / capacity,
            int(engine.report_age * 1000),
            speed=self._decode_speeds.speed_of(engine.endpoint.start_id),
        )


class _Candidate(NamedTuple):
    """An engine, ordered by its lowest possible cost; ties are broken at random."""

    cost: float
    tie_breaker: float
    offer: Offer
    engine: EngineMemory
    profile: MemoryProfile


def _retain_only(
    by_start: dict[str, T],
    wanted: Collection[Endpoint],
    create: Callable[[Endpoint], T],
) -> None:
    for start_id in by_start.keys() - {endpoint.start_id for endpoint in wanted}:
        del by_start[start_id]
    for endpoint in wanted:
        existing = by_start.get(endpoint.start_id)
        if existing is None:
            by_start[endpoint.start_id] = create(endpoint)
        else:
            existing.reachability.endpoint = endpoint
