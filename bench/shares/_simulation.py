"""Simulates a load against the order of waiting requests, in virtual time.

Engines hold memory and read prompts at once; an answer holds its memory for its whole
duration. What is compared is only which request goes next.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from functools import partial

from bench.shares._loads import (
    ACCOUNT_SKEW,
    ACCOUNTS,
    ANSWER_SECONDS,
    ANSWER_TOKENS,
    ENGINE_TOKENS,
    ENGINES,
    LIMIT_FACTOR,
    LOWER_PRIORITY_SHARE,
    PROMPT_TOKENS,
    USABLE_SHARE,
    Load,
)
from jujubeslip.admission import is_wait_unservable
from jujubeslip.admission._account_shares import AccountShares, GrantKey, HeldMemory
from jujubeslip.admission._priority_order import PriorityOrder
from jujubeslip.admission._waiting_queue import QueueEntry
from jujubeslip.forwarding._retry_after import Caller, retry_after_seconds

HIGHER, LOWER = 1, 2
TARGET_SECONDS = {HIGHER: 0.82, LOWER: 2.02}
WORTH = {HIGHER: 28.0, LOWER: 7.3}
LATE_WORTH = 2.2
MAXIMUM_GAP_SECONDS = 0.3
DEADLINE_SECONDS = 14.2
# Time before the target, and before the client leaves, until which a grant is of use.
START_MARGIN_SECONDS, TIMEOUT_MARGIN_SECONDS = 0.25, 0.4
PREFILL_SECONDS = 0.15
MAXIMUM_TRIED = 16
BYPASS_SECONDS = 0.3
INTERVAL_WEIGHT, INITIAL_INTERVAL_SECONDS = 0.2, 0.1
EPSILON = 1e-6


@dataclass(frozen=True)
class Policy:
    """Which of the mechanisms are in force."""

    name: str
    uses_priorities: bool
    lower_share: float
    uses_accounts: bool
    takes_back: bool = False
    """Whether a request may end answers of a lower priority to get their memory."""


POLICIES = (
    Policy("target alone", False, 0.0, False),
    Policy("strict priorities", True, 0.0, False),
    Policy("account parts alone", False, 0.0, True),
    Policy("priorities with a share", True, 0.1, False),
    Policy("priorities with a share, and parts", True, 0.1, True),
    Policy("priorities with a share, taking back", True, 0.1, False, True),
)


@dataclass
class Result:
    """What callers got; counts of requests by priority and by account."""

    owed_by_priority: Counter[int] = field(default_factory=Counter)
    in_time_by_priority: Counter[int] = field(default_factory=Counter)
    owed_by_account: Counter[int] = field(default_factory=Counter)
    in_time_by_account: Counter[int] = field(default_factory=Counter)
    late: int = 0
    prompts_read_again: int = 0
    owed_worth: float = 0.0
    earned_worth: float = 0.0

    @property
    def worth(self) -> float:
        """Return the earned share of the worth of all requests."""
        return self.earned_worth / max(1.0, self.owed_worth)

    def in_time(self, priority: int) -> float:
        """Return the share of requests of a priority that are answered in time."""
        owed = self.owed_by_priority[priority]
        return self.in_time_by_priority[priority] / max(1, owed)

    def in_time_of(self, accounts: Collection[int]) -> float:
        """Return the share of requests of these accounts answered in time."""
        owed = sum(self.owed_by_account[name] for name in accounts)
        in_time = sum(self.in_time_by_account[name] for name in accounts)
        return in_time / max(1, owed)

    @property
    def account_shares(self) -> list[float]:
        """Return the in-time shares of all accounts, the least one first."""
        return sorted(
            self.in_time_by_account[name] / owed
            for name, owed in self.owed_by_account.items()
        )

    @property
    def worst_tenth(self) -> float:
        """Return the mean in-time share of the worst tenth of the accounts."""
        shares = self.account_shares
        worst = shares[: max(1, round(len(shares) / 10))]
        return sum(worst) / len(worst)


@dataclass
class _Request:
    number: int
    account: int
    priority: int
    tokens: int
    first_at: float
    within_limit: bool
    asked_at: float
    is_retry: bool = False
    granted_at: float = 0.0
    produced_seconds: float = 0.0
    """For how long its answer has run before it was ended."""

    @property
    def target(self) -> float:
        return self.first_at + TARGET_SECONDS[self.priority]

    @property
    def limit(self) -> float:
        if not self.is_retry:
            return self.target - START_MARGIN_SECONDS
        target = TARGET_SECONDS[self.priority]
        patience = max(2.0, 4 * target, 8 * MAXIMUM_GAP_SECONDS)
        return self.asked_at + patience - TIMEOUT_MARGIN_SECONDS


def usual_weights() -> list[float]:
    """Return the usual shares of the accounts in all requests."""
    weights = [(number + 1) ** -ACCOUNT_SKEW for number in range(ACCOUNTS)]
    return [weight / sum(weights) for weight in weights]


class Simulation:
    """One simulation; the seed determines the requests and their arrival times."""

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        self.result = Result()
        self._load = load
        self._policy = policy
        self._draw = random.Random(seed)
        self._retry_draw = random.Random(seed + 1)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._free = [ENGINE_TOKENS * USABLE_SHARE] * ENGINES
        self._lost: set[int] = set()
        self._running: dict[int, tuple[int, _Request]] = {}
        self._waiting: dict[str, _Request] = {}
        self._interval, self._interval_from = INITIAL_INTERVAL_SECONDS, 0.0
        self._weights = usual_weights()
        self._lead()

    def run(self) -> Result:
        """Run the load until its last answers have finished."""
        load = self._load
        self._draw_arrivals()
        if load.lost_engines:
            self._at(load.lost_at, self._lose_engines)
        if load.new_leader_at is not None:
            self._at(load.new_leader_at, self._change_leader)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    # Arrivals

    def _draw_arrivals(self) -> None:
        usable = ENGINES * ENGINE_TOKENS * USABLE_SHARE
        answered_per_second = usable / (PROMPT_TOKENS + ANSWER_TOKENS) / ANSWER_SECONDS
        for account in range(ACCOUNTS):
            usual = self._load.demand * answered_per_second * self._weights[account]
            for priority in (HIGHER, LOWER):
                self._draw_account(account, priority, usual)

    def _draw_account(self, account: int, priority: int, usual: float) -> None:
        share = LOWER_PRIORITY_SHARE if priority == LOWER else 1 - LOWER_PRIORITY_SHARE
        at = 0.0
        while True:
            factor = max((1.0, *self._factors(account, priority, at)))
            at += self._draw.expovariate(usual * share * factor)
            if at >= self._load.seconds:
                return
            tokens = int(self._draw.lognormvariate(0, 0.4) * PROMPT_TOKENS)
            number = next(self._numbers)
            # Requests beyond the limit of their account are not owed.
            within = self._draw.random() < LIMIT_FACTOR / factor
            request = _Request(
                number, account, priority, tokens + ANSWER_TOKENS, at, within, at
            )
            self._at(at, partial(self._arrive, request))

    def _factors(self, account: int, priority: int, at: float) -> list[float]:
        return [
            surge.factor
            for surge in self._load.surges
            if surge.begins <= at < surge.ends
            and (not surge.accounts or account in surge.accounts)
            and (not surge.only_lower or priority == LOWER)
        ]

    def _arrive(self, request: _Request) -> None:
        # The leader charges the account's limit before the queue.
        if not request.within_limit:
            return
        worth = WORTH[request.priority]
        self.result.owed_worth += worth
        self.result.owed_by_priority[request.priority] += 1
        self.result.owed_by_account[request.account] += 1
        self._ask(request)

    def _ask(self, request: _Request) -> None:
        entry = self._entry(request)
        above_part = self._above_part({entry.account_name})
        ahead = self._order.count_ahead(entry, self._now, above_part)
        forecast = (ahead + 1) * self._interval
        if is_wait_unservable(forecast, request.limit - self._now):
            self._refuse(request, forecast)
            return
        if not self._waiting:
            self._interval_from = self._now
        self._waiting[entry.request_id] = request
        self._order.add(entry)
        self._at(request.limit, partial(self._give_up, request, forecast))
        self._grant_waiting()

    def _give_up(self, request: _Request, forecast: float) -> None:
        entry = self._entry(request)
        if self._waiting.get(entry.request_id) is not request:
            return
        del self._waiting[entry.request_id]
        self._order.remove(entry)
        self._refuse(request, forecast)

    def _refuse(self, request: _Request, forecast: float) -> None:
        if request.is_retry:
            return
        place = request.priority - HIGHER
        remaining = request.first_at + DEADLINE_SECONDS - self._now
        caller = Caller(place, 2, remaining)
        if not self._policy.uses_priorities:
            caller = Caller(remaining=remaining)
        wait = retry_after_seconds(forecast, self._retry_draw.random(), caller)
        back_at = self._now + min(wait, remaining / 3)
        retry = _Request(
            request.number,
            request.account,
            request.priority,
            request.tokens,
            request.first_at,
            True,
            back_at,
            is_retry=True,
        )
        self._at(back_at, partial(self._ask, retry))

    # The leader

    def _lead(self) -> None:
        """Begin to lead, with nothing known of what was granted before."""
        self._order = PriorityOrder(self._policy.lower_share)
        weights = {
            f"account-{number}": weight for number, weight in enumerate(self._weights)
        }
        self._shares = AccountShares(
            lambda: weights if self._policy.uses_accounts else {}
        )

    def _change_leader(self) -> None:
        self._lead()
        for request in self._waiting.values():
            self._order.add(self._entry(request))

    def _entry(self, request: _Request) -> QueueEntry:
        priority = request.priority if self._policy.uses_priorities else 0
        return QueueEntry(
            request.target,
            f"r-{request.number}",
            priority,
            request.tokens,
            f"account-{request.account}",
        )

    def _above_part(self, others: set[str]) -> frozenset[str]:
        accounts = {f"account-{item.account}" for item in self._waiting.values()}
        return self._shares.above_part(accounts | others)

    def _grant_waiting(self) -> None:
        smallest = float("inf")
        above_part = self._above_part(set())
        head = self._order.head(self._now, MAXIMUM_TRIED, self._interval, above_part)
        for entry in head:
            request = self._waiting[entry.request_id]
            if request.tokens >= smallest:
                continue
            engine = max(
                (item for item in range(ENGINES) if item not in self._lost),
                key=lambda item: self._free[item],
            )
            may_take_back = self._policy.takes_back and request.target > self._now
            if self._free[engine] >= request.tokens:
                self._grant(request, entry, engine)
            elif may_take_back and (found := self._take_back(request)) is not None:
                self._grant(request, entry, found)
            elif self._now - request.asked_at >= BYPASS_SECONDS:
                return
            else:
                smallest = request.tokens

    def _grant(self, request: _Request, entry: QueueEntry, engine: int) -> None:
        self._order.note_granted(entry)
        self._order.remove(entry)
        del self._waiting[entry.request_id]
        sample = self._now - self._interval_from
        self._interval += INTERVAL_WEIGHT * (sample - self._interval)
        self._interval_from = self._now
        self._free[engine] -= request.tokens
        self._running[request.number] = (engine, request)
        key = GrantKey(entry.request_id, 1)
        self._shares.note_granted(key, HeldMemory(entry.account_name, request.tokens))
        seconds = ANSWER_SECONDS * (request.tokens / (PROMPT_TOKENS + ANSWER_TOKENS))
        request.granted_at = self._now
        left = max(0.0, seconds - request.produced_seconds)
        self._at(self._now + left, partial(self._end, request, self._now))

    def _take_back(self, request: _Request) -> int | None:
        """End the newest answers of lower priorities; return the engine with memory."""
        for engine in range(ENGINES):
            lower = sorted(
                (
                    other
                    for running_at, other in self._running.values()
                    if running_at == engine and other.priority > request.priority
                ),
                key=lambda other: -other.granted_at,
            )
            free = self._free[engine] + sum(other.tokens for other in lower)
            if engine in self._lost or free < request.tokens:
                continue
            while self._free[engine] < request.tokens:
                self._interrupt(lower.pop(0))
            return engine
        return None

    def _interrupt(self, request: _Request) -> None:
        """End an answer; its client waits for the rest, which is late."""
        self._release(request)
        self.result.prompts_read_again += 1
        resumed = replace(
            request,
            asked_at=self._now,
            is_retry=True,
            first_at=self._now - TARGET_SECONDS[request.priority] - EPSILON,
            produced_seconds=request.produced_seconds + self._now - request.granted_at,
        )
        self._at(self._now, partial(self._ask, resumed))

    def _end(self, request: _Request, granted_at: float) -> None:
        _, running = self._running.get(request.number, (0, None))
        if running is not request:
            return
        self._release(request)
        result = self.result
        if granted_at + PREFILL_SECONDS <= request.target + EPSILON:
            result.in_time_by_priority[request.priority] += 1
            result.in_time_by_account[request.account] += 1
            result.earned_worth += WORTH[request.priority]
        else:
            result.late += 1
            result.earned_worth += LATE_WORTH
        self._grant_waiting()

    def _release(self, request: _Request) -> None:
        engine, _ = self._running.pop(request.number)
        self._free[engine] += request.tokens
        self._shares.note_ended(GrantKey(f"r-{request.number}", 1))

    def _lose_engines(self) -> None:
        self._lost = set(range(self._load.lost_engines))
        for engine, request in list(self._running.values()):
            if engine in self._lost:
                self._release(request)
        self._at(self._now + self._load.lost_seconds, self._return_engines)

    def _return_engines(self) -> None:
        self._lost = set()
        self._grant_waiting()
