"""The requests that wait for grants at the engines of one service."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Collection
from dataclasses import dataclass, replace

from jujubeslip.admission._account_shares import (
    AccountShares,
    GrantKey,
    HeldMemory,
)
from jujubeslip.admission._capacity_search import CapacitySearch
from jujubeslip.admission._grant_counts import GrantCounts
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    EngineUse,
    Grant,
    GrantRequest,
    MeasuredEngine,
    MissingResource,
    WaitingOptions,
)
from jujubeslip.admission._priority_order import PriorityOrder
from jujubeslip.admission._service_engines import ServiceEngines
from jujubeslip.admission._unservable_waits import is_wait_unservable
from jujubeslip.admission._waiting_request import Decision, WaitingRequest, entry_of
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# A waiting request is dropped once its host has not asked again for this long, in
# seconds. Hosts ask several times as often.
ABANDONED_SECONDS = 1.0
# A waiting request is moved in the queue only if its target has become later by at
# least this much, in seconds.
TARGET_TOLERANCE_SECONDS = 0.05
# Number of requests that are tried in one pass over the queue. Further ones are
# unlikely to find free capacity.
MAXIMUM_TRIED = 16
# For how long after a request in time lacked memory late ones leave enough of it for
# such a request, in seconds. The next one in time arrives sooner than that.
SHORTAGE_SECONDS = 1.0
# Weight of the latest interval between two grants in the moving average, and the
# initial value of that average in seconds.
INTERVAL_WEIGHT = 0.2
INITIAL_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True)
class _Shortage:
    """A request that was still in time and lacked memory."""

    at: float
    """When it was tried last, by the steady clock in seconds."""
    tokens: int
    """Memory that its prompt and its expected answer use."""


class EnginePool:
    """Grants requests in the order of their priorities and targets.

    The requests of all hosts wait in one queue. If each host polled the engines on its
    own, freed capacity would go to the host that happened to poll next, whichever
    request is the most urgent.

    The thread that delivers an engine's report or the end of a request decides for all
    waiting requests and wakes only those that it decided: hundreds of hosts wait in a
    burst, and engines report hundreds of times a second. `look_again` finds capacity
    that becomes free merely because time passes.
    """

    def __init__(
        self,
        service_name: str,
        options: MemoryOptions,
        waiting: WaitingOptions = DEFAULT_WAITING,
    ) -> None:
        self._service_name = service_name
        self._options = waiting
        self._engines = ServiceEngines(options)
        self._waiting_by_id: dict[str, WaitingRequest] = {}
        self._queue = PriorityOrder(waiting.lower_priority_share)
        self._grant_counts = GrantCounts()
        self._shares = AccountShares(waiting.sharing_weights)
        self._interval = INITIAL_INTERVAL_SECONDS
        self._shortage_by_priority: dict[int, _Shortage] = {}
        self._interval_began_at = steady_seconds()
        self._lock = threading.Lock()

    # Engines

    def set_engines(
        self,
        decode_engines: Collection[Endpoint],
        prefill_engines: Collection[Endpoint],
    ) -> None:
        """Replace the decode engines that get grants and the engines that prefill.

        The grants at a removed start are dropped with it. The endpoint's next start
        begins without grants, and a late end of a request at the previous start does
        not affect it.
        """
        with self._lock:
            self._engines.retain_only(decode_engines, prefill_engines)
            self._shares.retain_only(self._engines.granted)

    def take_report(self, start_id: str, report: EngineReport) -> None:
        """Store the report of an engine's start and decide the waiting requests."""
        with self._lock:
            self._engines.take_report(start_id, report)
            self._grant_waiting()

    def note_unreachable(self, start_id: str) -> None:
        """Give no requests to an unreachable start of an engine until it is back."""
        with self._lock:
            self._engines.note_unreachable(start_id)

    @property
    def usable(self) -> bool:
        """Return whether the state of any engine is recent enough to grant requests."""
        with self._lock:
            return self._engines.usable

    def reported_within(self, start_id: str, seconds: float) -> bool:
        """Return whether a start has reported within this time and is reachable."""
        with self._lock:
            return self._engines.reported_within(start_id, seconds)

    def answer_count(self, start_id: str) -> int:
        """Return how many answers an engine is decoding, 0 if it is unknown."""
        with self._lock:
            return self._engines.answer_count(start_id)

    @property
    def speeds(self) -> tuple[MeasuredEngine, ...]:
        """Return the measured speed of each engine."""
        with self._lock:
            return self._engines.speeds

    @property
    def busy_prefill_engines(self) -> float:
        """Return how many prefill engines the recently requested prompts keep busy."""
        with self._lock:
            return self._engines.busy_prefill_engines

    @property
    def use(self) -> EngineUse:
        """Return how many engines the recently granted requests keep busy."""
        with self._lock:
            return self._engines.use

    def held_memories(self) -> list[HeldMemory]:
        """Return what each granted request holds of the engines' memory."""
        with self._lock:
            return self._shares.held_memories()

    # Requests

    def ask(
        self, grant_request: GrantRequest, avoided: Collection[str], until: Deadline
    ) -> Decision:
        """Wait for a decision about the request, until the deadline at most."""
        with self._lock:
            grant = self._engines.existing_grant(grant_request)
            if grant is not None:
                return Decision(grant, False, 0.0)
            self._engines.note_requested(grant_request)
            self._end_earlier_attempt(grant_request)
            waiting = self._waiting_by_id.get(grant_request.request_id)
            is_new = waiting is None
            if waiting is None:
                waiting = self._enqueue(grant_request, avoided)
            waiting.open_calls += 1
            self._update_target(waiting, grant_request)
            # A repeated call with the same avoided engines changes nothing.
            if waiting.search.set_avoided(avoided) or is_new:
                self._grant_waiting()
        try:
            return self._wait(waiting, until)
        finally:
            with self._lock:
                waiting.open_calls -= 1
                waiting.last_asked_at = steady_seconds()

    def note_prefilled(self, request_id: str, attempt: int) -> None:
        """Note that a prompt was prefilled, or won't be at the engine of its grant."""
        with self._lock:
            self._engines.note_prefilled(request_id, attempt)
            self._grant_waiting()

    def end(self, request_id: str, attempt: int) -> bool:
        """Note the end of a request, sent or not; return whether it was waiting."""
        with self._lock:
            waiting = self._waiting_by_id.get(request_id)
            waited = waiting is not None and waiting.grant_request.attempt == attempt
            if waiting is not None and waited:
                self._refuse(waiting)
            self._engines.end(request_id, attempt)
            self._shares.note_ended(GrantKey(request_id, attempt))
            self._grant_waiting()
        return waited

    def look_again(self) -> None:
        """Decide the waiting requests again: a busy prefill engine may be free now."""
        with self._lock:
            self._grant_waiting()

    # Waiting requests; the caller of each method holds the lock.

    def _end_earlier_attempt(self, grant_request: GrantRequest) -> None:
        waiting = self._waiting_by_id.get(grant_request.request_id)
        if (
            waiting is not None
            and waiting.grant_request.attempt != grant_request.attempt
        ):
            self._refuse(waiting)

    def _update_target(
        self, waiting: WaitingRequest, grant_request: GrantRequest
    ) -> None:
        """Reorder a request whose host now states a later target than before.

        Small differences come from the network delay of the call and are ignored.
        """
        later = (
            grant_request.target_by.timestamp
            - waiting.grant_request.target_by.timestamp
        )
        if later < TARGET_TOLERANCE_SECONDS:
            return
        self._queue.remove(waiting.entry)
        waiting.grant_request = grant_request
        self._queue.add(waiting.entry)

    def _enqueue(
        self, grant_request: GrantRequest, avoided: Collection[str]
    ) -> WaitingRequest:
        """Add a request to the queue."""
        now = steady_seconds()
        if not self._waiting_by_id:
            self._interval_began_at = now
        forecast = self._forecast(grant_request, now)
        is_unservable = is_wait_unservable(forecast, grant_request.limit.remaining())
        search = CapacitySearch(grant_request, avoided)
        waiting = WaitingRequest(
            grant_request,
            search,
            now,
            now,
            forecast,
            is_unservable,
            self._grant_counts.counts(),
        )
        self._waiting_by_id[grant_request.request_id] = waiting
        self._queue.add(waiting.entry)
        return waiting

    def _forecast(self, grant_request: GrantRequest, now: float) -> float:
        entry = entry_of(grant_request)
        above_part = self._shares.above_part(
            self._waiting_accounts() | {entry.account_name}
        )
        ahead = self._queue.count_ahead(entry, now, above_part)
        return (ahead + 1) * self._interval

    def _waiting_accounts(self) -> set[str]:
        return {
            waiting.grant_request.sharing_account
            for waiting in self._waiting_by_id.values()
        }

    def _grant_waiting(self) -> None:
        """Give grants to the requests at the head of the queue while capacity lasts."""
        if not self._waiting_by_id:
            return
        now = steady_seconds()
        prefill_candidates = self._engines.prefill_candidates()
        smallest_ungranted = math.inf
        above_part = self._shares.above_part(self._waiting_accounts())
        for entry in self._queue.head(now, MAXIMUM_TRIED, self._interval, above_part):
            waiting = self._waiting_by_id[entry.request_id]
            is_late = entry.target < now
            if (
                self._drop_if_abandoned(waiting, now)
                or waiting.prompt_tokens >= smallest_ungranted
            ):
                continue
            waiting.search.spare_tokens = (
                self._tokens_for_requests_in_time(entry.priority, now) if is_late else 0
            )
            may_use_decode_engine = (
                now - waiting.since >= self._options.prefill_wait_seconds
            )
            grant = self._engines.find_grant(
                waiting.search, prefill_candidates, may_use_decode_engine
            )
            if grant is not None:
                self._admit(waiting, grant, now)
                prefill_candidates = self._engines.prefill_candidates()
                continue
            if waiting.search.last_missing is MissingResource.MAY_READ:
                # Others whose prompts are shorter may be prefilled meanwhile.
                continue
            if not is_late and waiting.search.last_missing is MissingResource.MEMORY:
                self._shortage_by_priority[entry.priority] = _Shortage(
                    now, entry.tokens
                )
            if waiting.search.spare_tokens:
                # It leaves memory for others, so it must not keep it from them.
                continue
            if waiting.blocks_others(now, self._options.bypass_seconds):
                return
            if waiting.accepts_any_engine:
                smallest_ungranted = waiting.prompt_tokens

    def _tokens_for_requests_in_time(self, priority: int, now: float) -> int:
        """Return the memory that late requests of this priority leave free, in tokens.

        It is what requests in time of the same or of a higher priority lacked lately.
        """
        return max(
            (
                shortage.tokens
                for higher, shortage in self._shortage_by_priority.items()
                if higher <= priority and now - shortage.at < SHORTAGE_SECONDS
            ),
            default=0,
        )

    def _drop_if_abandoned(self, waiting: WaitingRequest, now: float) -> bool:
        """Drop a request whose host no longer asks; it would block all others."""
        if waiting.open_calls or waiting.last_asked_at >= now - ABANDONED_SECONDS:
            return False
        self._refuse(waiting)
        extra = {
            "request_id": waiting.grant_request.request_id,
            "service": self._service_name,
        }
        logger.info("request dropped from the grant queue", extra=extra)
        return True

    def _admit(self, waiting: WaitingRequest, grant: Grant, now: float) -> None:
        self._engines.admit(waiting.grant_request, grant)
        self._interval += INTERVAL_WEIGHT * (
            now - self._interval_began_at - self._interval
        )
        self._interval_began_at = now
        self._queue.note_granted(waiting.entry)
        self._decide(waiting, Decision(grant, False, waiting.forecast))
        self._grant_counts.note(waiting.entry)
        self._shares.note_granted(
            GrantKey(waiting.grant_request.request_id, waiting.grant_request.attempt),
            HeldMemory(
                waiting.grant_request.sharing_account,
                waiting.grant_request.expected_tokens,
                waiting.entry.priority,
            ),
        )

    def _refuse(self, waiting: WaitingRequest) -> None:
        missing_resource = waiting.search.last_missing
        self._decide(waiting, Decision(None, True, waiting.forecast, missing_resource))

    def _decide(self, waiting: WaitingRequest, decision: Decision) -> None:
        """End all calls for the request with this decision."""
        entry = waiting.entry
        accounts = self._waiting_accounts()
        is_above_part = entry.account_name in self._shares.above_part(accounts)
        waiting.decision = replace(
            decision,
            waited=steady_seconds() - waiting.since,
            granted_meanwhile=self._grant_counts.since(
                waiting.granted_before, entry.priority
            ),
            account_part=self._shares.part_of(entry.account_name, accounts)
            if is_above_part
            else None,
        )
        del self._waiting_by_id[waiting.grant_request.request_id]
        self._queue.remove(entry)
        waiting.decided.set()

    # Called without the lock, in the thread of one host's call.

    def _wait(self, waiting: WaitingRequest, until: Deadline) -> Decision:
        """Return the decision, or an undecided one if none is made in time."""
        limit = waiting.grant_request.limit
        while True:
            with self._lock:
                # A client whose wait cannot succeed is refused at once, so that it can
                # retry when other requests have ended. Held until its limit, it would
                # be refused as well.
                is_late = waiting.is_unservable or limit.expired
                if waiting.decision is None and is_late:
                    self._refuse(waiting)
                if waiting.decision is not None:
                    return waiting.decision
                if until.expired:
                    return Decision(None, False, waiting.forecast)
            waiting.decided.wait(min(until.remaining(), limit.remaining()))
