"""A model of one account's requests over many hosts: no thread, socket or clock.

Requests come as a Poisson process, plain ones and streams, at hosts by lot or mostly
at one. The leader is lost for spans, a part of the hosts is cut off for others, answers
are lost, and hosts start anew with what they had spent untold. Each way of keeping the
limit sees the same requests and faults.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from jujubeslip.accounts import (
    AccountLedger,
    HostSpending,
    LeaderlessPool,
    LimitBounds,
    RateLimit,
)
from jujubeslip.declaration import Client
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.routing._client_limits import REPORT_SECONDS, ClientLimits
from jujubeslip.routing._quota_manager import QuotaManager

ACCOUNT = "account"
PLAIN_COST = 200.0
# A stream counts its prompt and the longest answer that it allows, in tokens.
STREAM_COSTS = (2_500.0, 4_000.0, 6_000.0, 9_000.0)
# Streams among an account's tokens; plain requests make up the rest.
STREAM_SHARE = 0.85
SETTLE_SECONDS = 1.0
JOIN_SECONDS = 0.25
# How long the leader takes to miss a host that is cut off, in seconds.
MISSED_SECONDS = 3.0
FIRST_LEAD_SECONDS = 30.0


@dataclass(frozen=True)
class Span:
    """A span of time, in seconds."""

    begins: float
    ends: float

    def holds(self, now: float) -> bool:
        """Say whether an instant is in it."""
        return self.begins <= now < self.ends


@dataclass(frozen=True)
class Load:
    """What an account asks for, and what fails meanwhile."""

    hosts: int
    limit: RateLimit
    bounds: LimitBounds
    seconds: float
    usual: float
    """Tokens a second, in parts of the limit."""
    surge: float = 1.0
    """How many times as much it asks for in the surge."""
    surging: Span = Span(0, 0)
    one_host: float = 0.0
    """Share of its requests that come to one host."""
    without_leader: tuple[Span, ...] = ()
    cut_off: Span = Span(0, 0)
    cut_share: float = 0.0
    """Share of the hosts that reach no leader in that span."""
    lost_answers: float = 0.0
    restarts_per_second: float = 0.0
    """Hosts that start anew, of all hosts together."""


@dataclass(frozen=True)
class Arrival:
    """A request of the account at a host."""

    at: float
    host: int
    cost: float
    is_stream: bool


class Way(Protocol):
    """A way of keeping a limit over all hosts."""

    def admits(self, arrival: Arrival) -> bool:
        """Say whether the request may run."""

    def step(self, now: float) -> None:
        """Do what is due by this instant."""


def arrivals(load: Load, source: random.Random) -> Iterator[Arrival]:
    """Yield the account's requests in order."""
    stream_cost = sum(STREAM_COSTS) / len(STREAM_COSTS)
    mean_cost = 1 / (STREAM_SHARE / stream_cost + (1 - STREAM_SHARE) / PLAIN_COST)
    plain_share = (1 - STREAM_SHARE) / PLAIN_COST * mean_cost
    at = 0.0
    while True:
        factor = load.surge if load.surging.holds(at) else 1.0
        rate = load.usual * factor * load.limit.per_second / mean_cost
        at += source.expovariate(rate)
        if at >= load.seconds:
            return
        host = 0
        if source.random() >= load.one_host:
            host = source.randrange(load.hosts)
        is_stream = source.random() >= plain_share
        cost = source.choice(STREAM_COSTS) if is_stream else PLAIN_COST
        yield Arrival(at, host, cost, is_stream)


class EvenParts:
    """Each host has an even part of the rate, the burst and the slack."""

    def __init__(self, load: Load) -> None:
        self._rate = load.limit.per_second / load.hosts
        self._most = (load.limit.burst + load.bounds.slack) / load.hosts
        self._level_by_host = [(self._most, 0.0)] * load.hosts

    def admits(self, arrival: Arrival) -> bool:
        """See Way."""
        level, since = self._level_by_host[arrival.host]
        level = min(self._most, level + (arrival.at - since) * self._rate)
        may_run = level >= arrival.cost
        left = level - arrival.cost if may_run else level
        self._level_by_host[arrival.host] = (left, arrival.at)
        return may_run

    def step(self, now: float) -> None:
        """See Way."""


class SharesByDemand:
    """A keeper gives out shares by what hosts asked for lately, each second."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._now = 0.0
        self._client = Client(
            ACCOUNT, ("0" * 64,), tokens_per_second=load.limit.per_second
        )
        self._keeper = QuotaManager(lambda: self._now)
        self._limits = [
            ClientLimits(lambda: load.hosts, lambda: self._now)
            for _ in range(load.hosts)
        ]
        self._report_at = [
            REPORT_SECONDS * host / load.hosts for host in range(load.hosts)
        ]

    def admits(self, arrival: Arrival) -> bool:
        """See Way."""
        self._now = arrival.at
        limits = self._limits[arrival.host]
        try:
            limits.admit(self._client, int(arrival.cost))
        except RequestRefusedError:
            return False
        finally:
            if limits.wait_for_demand_spike(0):
                self._report(arrival.host)
        return True

    def step(self, now: float) -> None:
        """See Way."""
        for host, due in enumerate(self._report_at):
            if due <= now:
                self._now = due
                self._report(host)
                self._report_at[host] = due + REPORT_SECONDS

    def _report(self, host: int) -> None:
        if not reaches_leader(self._load, host, self._now):
            return
        usages = self._limits[host].usages()
        shares = self._keeper.report(str(host), usages, self._load.hosts)
        self._limits[host].apply_shares(shares)


class ChargedAtLeader:
    """Streams are charged at the leader, plain requests told to it; as in use."""

    def __init__(self, load: Load, source: random.Random) -> None:
        self._load = load
        self._source = source
        long_ago = -FIRST_LEAD_SECONDS
        self._spending = [self._new_host(long_ago) for _ in range(load.hosts)]
        self._ledger = AccountLedger(load.bounds, -FIRST_LEAD_SECONDS)
        self._led_from = -FIRST_LEAD_SECONDS
        self._settle_at = [
            SETTLE_SECONDS * host / load.hosts for host in range(load.hosts)
        ]
        self._restarted_at = 0.0
        self._join_at = 0.0
        self._hosts = range(load.hosts)
        self._pools = {cut: LeaderlessPool(load.bounds) for cut in (False, True)}
        self.calls = 0

    def _new_host(self, began_at: float) -> HostSpending:
        hosts = self._load.hosts
        return HostSpending(self._load.bounds, lambda: hosts, began_at)

    def admits(self, arrival: Arrival) -> bool:
        """See Way."""
        now, spending = arrival.at, self._spending[arrival.host]
        if not arrival.is_stream:
            answer = spending.spend(ACCOUNT, arrival.cost, now)
            if not answer.asks_leader:
                return answer.wait == 0
        if not reaches_leader(self._load, arrival.host, now):
            if spending.spend_without_leader(ACCOUNT, arrival.cost, now):
                return True
            return self._charge_at_pool(arrival.host, arrival.cost, now)
        self.calls += not arrival.is_stream
        charged = self._leader(now).charge(ACCOUNT, self._load.limit, arrival.cost, now)
        if not arrival.is_stream:
            spending.apply_answer(ACCOUNT, charged, now)
        return charged.wait == 0

    def step(self, now: float) -> None:
        """See Way."""
        for host, due in enumerate(self._settle_at):
            if due <= now:
                self._settle_at[host] = due + SETTLE_SECONDS
                self._settle(host, due)
        if now >= self._join_at:
            self._join_at = now + JOIN_SECONDS
            for host in range(self._load.hosts):
                if not reaches_leader(self._load, host, now):
                    self._charge_at_pool(host, 0.0, now)
        self._restart_some(now)

    def _charge_at_pool(self, host: int, cost: float, now: float) -> bool:
        """Charge a request at the control host that the host reaches."""
        load = self._load
        pool = is_cut(load, host, now)
        if not self._spending[host].lend(str(pool), now):
            return False
        self._pools[pool].join(str(host), now)
        return cost == 0 or self._pools[pool].charge(
            ACCOUNT, load.limit, cost, load.hosts, now
        )

    def _settle(self, host: int, now: float) -> None:
        spending = self._spending[host]
        told = spending.take_unreported()
        if not told:
            return
        if not reaches_leader(self._load, host, now):
            spending.mark_unconfirmed(told)
            return
        self.calls += 1
        ledger = self._leader(now)
        answers = [
            ledger.settle(ACCOUNT, self._load.limit, item.amount, now) for item in told
        ]
        if self._source.random() < self._load.lost_answers:
            spending.mark_unconfirmed(told)
            return
        spending.confirm(told)
        for answer in answers:
            spending.apply_answer(ACCOUNT, answer, now)

    def _leader(self, now: float) -> AccountLedger:
        """Return the ledger of who leads now; a new leader begins with a new one."""
        ended = [span.ends for span in self._load.without_leader if span.ends <= now]
        led_from = max(ended, default=self._led_from)
        if led_from > self._led_from:
            self._led_from = led_from
            self._ledger = AccountLedger(self._load.bounds, led_from)
        missed = self._load.cut_off.holds(now - MISSED_SECONDS)
        missed = missed and self._load.cut_off.holds(now)
        heard = [not (missed and is_cut(self._load, host, now)) for host in self._hosts]
        self._ledger.set_heard_share(sum(heard) / len(heard), now)
        return self._ledger

    def _restart_some(self, now: float) -> None:
        expected = self._load.restarts_per_second * (now - self._restarted_at)
        self._restarted_at = now
        if self._source.random() < expected:
            host = self._source.randrange(self._load.hosts)
            self._spending[host] = self._new_host(now)


def reaches_leader(load: Load, host: int, now: float) -> bool:
    """Say whether there is a leader that this host reaches."""
    if any(span.holds(now) for span in load.without_leader):
        return False
    return not is_cut(load, host, now)


def is_cut(load: Load, host: int, now: float) -> bool:
    """Say whether the host is cut off."""
    return host < load.hosts * load.cut_share and load.cut_off.holds(now)


@dataclass(frozen=True)
class Outcome:
    """What a way did with a load."""

    offered: int
    refused: int
    wrong: int
    """Refused though one counter that sees all would let it run."""
    worst_share: float
    """Most tokens that ran in any window, as a share of the bound."""
    calls: int


class _Window:
    """The most that ran in any span of the window's length."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._ran: deque[tuple[float, float]] = deque()
        self._sum = 0.0
        self.most = 0.0

    def note(self, at: float, cost: float) -> None:
        self._ran.append((at, cost))
        self._sum += cost
        while self._ran[0][0] < at - self._seconds:
            self._sum -= self._ran.popleft()[1]
        self.most = max(self.most, self._sum)


def replay(
    load: Load, seed: int, build: Callable[[Load, random.Random], Way]
) -> Outcome:
    """Play a load against one way."""
    way = build(load, random.Random(seed + 1))
    ideal = AccountLedger(LimitBounds(load.bounds.window_seconds, 0, 0), -60.0)
    window = _Window(load.bounds.window_seconds)
    offered = refused = wrong = 0
    for arrival in arrivals(load, random.Random(seed)):
        way.step(arrival.at)
        offered += 1
        by_one = ideal.charge(ACCOUNT, load.limit, arrival.cost, arrival.at).wait == 0
        if way.admits(arrival):
            window.note(arrival.at, arrival.cost)
            continue
        refused += 1
        wrong += by_one
    worst = window.most / load.bounds.most(load.limit)
    return Outcome(offered, refused, wrong, worst, getattr(way, "calls", 0))


def random_load(seed: int) -> Load:
    """Return a load with faults that the seed draws."""
    source = random.Random(seed)
    limit_per_second = source.choice((3_000.0, 29_000.0, 96_000.0))
    surge_at, lost_at, cut_at = (source.uniform(1, 12) for _ in range(3))
    lost = Span(lost_at, lost_at + source.uniform(0.3, 6))
    again = Span(lost.ends + source.uniform(0.2, 4), lost.ends + 6)
    return Load(
        hosts=source.choice((7, 65, 195, 300)),
        limit=RateLimit(limit_per_second, limit_per_second * source.choice((0.5, 1))),
        bounds=LimitBounds(8, 0.1, source.choice((20_000, 120_000))),
        seconds=24,
        usual=source.uniform(0.2, 1.2),
        surge=source.choice((1, 4, 8, 20)),
        surging=Span(surge_at, surge_at + source.uniform(1, 12)),
        one_host=source.choice((0, 0, 0.5, 1)),
        without_leader=source.choice(((), (lost,), (lost, again))),
        cut_off=Span(cut_at, cut_at + source.uniform(1, 8)),
        cut_share=source.choice((0, 1 / 3, 0.6)),
        lost_answers=source.choice((0, 0.1, 0.6)),
        restarts_per_second=source.choice((0, 0, 1, 10)),
    )


WAYS: dict[str, Callable[[Load, random.Random], Way]] = {
    "even parts": lambda load, _: EvenParts(load),
    "shares by demand": lambda load, _: SharesByDemand(load),
    "charged at the leader": ChargedAtLeader,
}
