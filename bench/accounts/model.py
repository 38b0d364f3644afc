"""A model of one account's requests over many hosts, without threads or sockets.

Time is simulated. Requests, plain ones and streams, arrive as a Poisson process at
random hosts or mostly at one. The leader is lost for some spans, a share of the hosts
is partitioned for others, replies are lost, and hosts restart and lose their unreported
cost. Each policy for the limit receives the same requests and faults.
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
# The cost of a stream is its prompt and the maximum answer that it allows, in tokens.
STREAM_COSTS = (2_500.0, 4_000.0, 6_000.0, 9_000.0)
# Share of the account's tokens that streams use; plain requests use the others.
STREAM_SHARE = 0.85
SETTLE_SECONDS = 1.0
JOIN_SECONDS = 0.25
# Time until the leader detects that a host is partitioned.
DETECTION_SECONDS = 3.0
INITIAL_TERM_SECONDS = 30.0


@dataclass(frozen=True)
class Span:
    """A span of time, in seconds."""

    begins: float
    ends: float

    def contains(self, now: float) -> bool:
        """Return whether a time is within the span."""
        return self.begins <= now < self.ends


@dataclass(frozen=True)
class Load:
    """The demand of an account, and the faults meanwhile."""

    hosts: int
    limit: RateLimit
    bounds: LimitBounds
    seconds: float
    demand_share: float
    """Tokens per second, as a share of the limit."""
    spike_factor: float = 1.0
    """Factor of the demand in the demand spike."""
    spike_span: Span = Span(0, 0)
    one_host: float = 0.0
    """Share of its requests that always arrive at the first host."""
    without_leader: tuple[Span, ...] = ()
    partition: Span = Span(0, 0)
    partitioned_share: float = 0.0
    """Share of the hosts that cannot reach a leader in that span."""
    lost_replies: float = 0.0
    restarts_per_second: float = 0.0
    """Restarts of hosts, over all hosts together."""


@dataclass(frozen=True)
class Arrival:
    """A request of the account at a host."""

    at: float
    host: int
    cost: float
    is_stream: bool


class LimitPolicy(Protocol):
    """A policy that enforces a limit over all hosts."""

    def admits(self, arrival: Arrival) -> bool:
        """Return whether the request is admitted."""

    def step(self, now: float) -> None:
        """Run the periodic tasks that are due by this time."""


def arrivals(load: Load, randomness: random.Random) -> Iterator[Arrival]:
    """Yield the account's requests in order."""
    stream_cost = sum(STREAM_COSTS) / len(STREAM_COSTS)
    mean_cost = 1 / (STREAM_SHARE / stream_cost + (1 - STREAM_SHARE) / PLAIN_COST)
    plain_share = (1 - STREAM_SHARE) / PLAIN_COST * mean_cost
    at = 0.0
    while True:
        factor = load.spike_factor if load.spike_span.contains(at) else 1.0
        rate = load.demand_share * factor * load.limit.per_second / mean_cost
        at += randomness.expovariate(rate)
        if at >= load.seconds:
            return
        host = 0
        if randomness.random() >= load.one_host:
            host = randomness.randrange(load.hosts)
        is_stream = randomness.random() >= plain_share
        cost = randomness.choice(STREAM_COSTS) if is_stream else PLAIN_COST
        yield Arrival(at, host, cost, is_stream)


class EvenShares:
    """Each host has an equal share of the rate, the burst and the slack."""

    def __init__(self, load: Load) -> None:
        self._rate = load.limit.per_second / load.hosts
        self._capacity = (load.limit.burst + load.bounds.slack) / load.hosts
        self._level_by_host = [(self._capacity, 0.0)] * load.hosts

    def admits(self, arrival: Arrival) -> bool:
        """See `LimitPolicy`."""
        level, since = self._level_by_host[arrival.host]
        level = min(self._capacity, level + (arrival.at - since) * self._rate)
        may_run = level >= arrival.cost
        left = level - arrival.cost if may_run else level
        self._level_by_host[arrival.host] = (left, arrival.at)
        return may_run

    def step(self, now: float) -> None:
        """See `LimitPolicy`."""


class DemandShares:
    """A manager assigns shares by the recent demand of the hosts, each second."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._now = 0.0
        self._client = Client(
            ACCOUNT, ("0" * 64,), tokens_per_second=load.limit.per_second
        )
        self._quota_manager = QuotaManager(lambda: self._now)
        self._limits = [
            ClientLimits(lambda: load.hosts, lambda: self._now)
            for _ in range(load.hosts)
        ]
        self._report_at = [
            REPORT_SECONDS * host / load.hosts for host in range(load.hosts)
        ]

    def admits(self, arrival: Arrival) -> bool:
        """See `LimitPolicy`."""
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
        """See `LimitPolicy`."""
        for host, due in enumerate(self._report_at):
            if due <= now:
                self._now = due
                self._report(host)
                self._report_at[host] = due + REPORT_SECONDS

    def _report(self, host: int) -> None:
        if not reaches_leader(self._load, host, self._now):
            return
        usages = self._limits[host].usages()
        shares = self._quota_manager.report(str(host), usages, self._load.hosts)
        self._limits[host].apply_shares(shares)


class ChargedAtLeader:
    """The product's policy: the leader charges streams and receives plain costs."""

    def __init__(self, load: Load, randomness: random.Random) -> None:
        self._load = load
        self._randomness = randomness
        initial_term_began_at = -INITIAL_TERM_SECONDS
        self._spending = [
            self._new_host(initial_term_began_at) for _ in range(load.hosts)
        ]
        self._ledger = AccountLedger(load.bounds, -INITIAL_TERM_SECONDS)
        self._term_began_at = -INITIAL_TERM_SECONDS
        self._settle_at = [
            SETTLE_SECONDS * host / load.hosts for host in range(load.hosts)
        ]
        self._restarted_at = 0.0
        self._join_at = 0.0
        self._hosts = range(load.hosts)
        self._pools = {
            partitioned_side: LeaderlessPool(load.bounds)
            for partitioned_side in (False, True)
        }
        self.calls = 0

    def _new_host(self, began_at: float) -> HostSpending:
        hosts = self._load.hosts
        return HostSpending(self._load.bounds, lambda: hosts, began_at)

    def admits(self, arrival: Arrival) -> bool:
        """See `LimitPolicy`."""
        now, spending = arrival.at, self._spending[arrival.host]
        if not arrival.is_stream:
            charge = spending.spend(ACCOUNT, arrival.cost, now)
            if not charge.asks_leader:
                return charge.wait == 0
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
        """See `LimitPolicy`."""
        for host, due in enumerate(self._settle_at):
            if due <= now:
                self._settle_at[host] = due + SETTLE_SECONDS
                self._settle(host, due)
        if now >= self._join_at:
            self._join_at = now + JOIN_SECONDS
            for host in range(self._load.hosts):
                if not reaches_leader(self._load, host, now):
                    self._charge_at_pool(host, 0.0, now)
        self._restart_hosts(now)

    def _charge_at_pool(self, host: int, cost: float, now: float) -> bool:
        """Charge a request at the control host that the host can reach."""
        load = self._load
        pool = is_partitioned(load, host, now)
        if not self._spending[host].lend(str(pool), now):
            return False
        self._pools[pool].join(str(host), now)
        return cost == 0 or self._pools[pool].charge(
            ACCOUNT, load.limit, cost, load.hosts, now
        )

    def _settle(self, host: int, now: float) -> None:
        spending = self._spending[host]
        unreported = spending.take_unreported()
        if not unreported:
            return
        if not reaches_leader(self._load, host, now):
            spending.mark_unconfirmed(unreported)
            return
        self.calls += 1
        ledger = self._leader(now)
        charges = [
            ledger.settle(ACCOUNT, self._load.limit, item.amount, now)
            for item in unreported
        ]
        if self._randomness.random() < self._load.lost_replies:
            spending.mark_unconfirmed(unreported)
            return
        spending.confirm(unreported)
        for charge in charges:
            spending.apply_answer(ACCOUNT, charge, now)

    def _leader(self, now: float) -> AccountLedger:
        """Return the ledger of the present leader; a new leader starts a new one."""
        ended = [span.ends for span in self._load.without_leader if span.ends <= now]
        term_began_at = max(ended, default=self._term_began_at)
        if term_began_at > self._term_began_at:
            self._term_began_at = term_began_at
            self._ledger = AccountLedger(self._load.bounds, term_began_at)
        is_detected = self._load.partition.contains(now - DETECTION_SECONDS)
        is_detected = is_detected and self._load.partition.contains(now)
        heard_from = [
            not (is_detected and is_partitioned(self._load, host, now))
            for host in self._hosts
        ]
        self._ledger.set_heard_share(sum(heard_from) / len(heard_from), now)
        return self._ledger

    def _restart_hosts(self, now: float) -> None:
        expected = self._load.restarts_per_second * (now - self._restarted_at)
        self._restarted_at = now
        if self._randomness.random() < expected:
            host = self._randomness.randrange(self._load.hosts)
            self._spending[host] = self._new_host(now)


def reaches_leader(load: Load, host: int, now: float) -> bool:
    """Return whether there is a leader that this host can reach."""
    if any(span.contains(now) for span in load.without_leader):
        return False
    return not is_partitioned(load, host, now)


def is_partitioned(load: Load, host: int, now: float) -> bool:
    """Return whether the host is partitioned."""
    return host < load.hosts * load.partitioned_share and load.partition.contains(now)


@dataclass(frozen=True)
class Outcome:
    """The results of a policy for a load."""

    offered: int
    refused: int
    wrong: int
    """Refused although a single counter of all requests would admit them."""
    worst_share: float
    """Maximum of the tokens admitted in any window, as a share of the bound."""
    calls: int


class _Window:
    """The maximum admitted cost in any span of the window's length."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._admitted: deque[tuple[float, float]] = deque()
        self._sum = 0.0
        self.most = 0.0

    def record(self, at: float, cost: float) -> None:
        self._admitted.append((at, cost))
        self._sum += cost
        while self._admitted[0][0] < at - self._seconds:
            self._sum -= self._admitted.popleft()[1]
        self.most = max(self.most, self._sum)


def replay(
    load: Load, seed: int, make_policy: Callable[[Load, random.Random], LimitPolicy]
) -> Outcome:
    """Simulate a load with one policy."""
    policy = make_policy(load, random.Random(seed + 1))
    ideal = AccountLedger(LimitBounds(load.bounds.window_seconds, 0, 0), -60.0)
    window = _Window(load.bounds.window_seconds)
    offered = refused = wrong = 0
    for arrival in arrivals(load, random.Random(seed)):
        policy.step(arrival.at)
        offered += 1
        ideal_admits = (
            ideal.charge(ACCOUNT, load.limit, arrival.cost, arrival.at).wait == 0
        )
        if policy.admits(arrival):
            window.record(arrival.at, arrival.cost)
            continue
        refused += 1
        wrong += ideal_admits
    worst = window.most / load.bounds.most(load.limit)
    return Outcome(offered, refused, wrong, worst, getattr(policy, "calls", 0))


def random_load(seed: int) -> Load:
    """Return a random load with faults that the seed determines."""
    randomness = random.Random(seed)
    limit_per_second = randomness.choice((3_000.0, 29_000.0, 96_000.0))
    spike_at, lost_at, partition_at = (randomness.uniform(1, 12) for _ in range(3))
    lost = Span(lost_at, lost_at + randomness.uniform(0.3, 6))
    second_loss = Span(lost.ends + randomness.uniform(0.2, 4), lost.ends + 6)
    return Load(
        hosts=randomness.choice((7, 65, 195, 300)),
        limit=RateLimit(
            limit_per_second, limit_per_second * randomness.choice((0.5, 1))
        ),
        bounds=LimitBounds(8, 0.1, randomness.choice((20_000, 120_000))),
        seconds=24,
        demand_share=randomness.uniform(0.2, 1.2),
        spike_factor=randomness.choice((1, 4, 8, 20)),
        spike_span=Span(spike_at, spike_at + randomness.uniform(1, 12)),
        one_host=randomness.choice((0, 0, 0.5, 1)),
        without_leader=randomness.choice(((), (lost,), (lost, second_loss))),
        partition=Span(partition_at, partition_at + randomness.uniform(1, 8)),
        partitioned_share=randomness.choice((0, 1 / 3, 0.6)),
        lost_replies=randomness.choice((0, 0.1, 0.6)),
        restarts_per_second=randomness.choice((0, 0, 1, 10)),
    )


POLICY_BY_NAME: dict[str, Callable[[Load, random.Random], LimitPolicy]] = {
    "even parts": lambda load, _: EvenShares(load),
    "shares by demand": lambda load, _: DemandShares(load),
    "charged at the leader": ChargedAtLeader,
}
