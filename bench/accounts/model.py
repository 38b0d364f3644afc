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

from bench.accounts.charged_at_leader import ChargedAtLeader
from bench.accounts.control_hosts import ControlHosts
from bench.accounts.loads import (
    ACCOUNT,
    Arrival,
    Load,
)
from jujubeslip.accounts import AccountLedger, LimitBounds
from jujubeslip.declaration import Client
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.routing._client_limits import REPORT_SECONDS, ClientLimits
from jujubeslip.routing._quota_manager import QuotaManager

PLAIN_COST = 200.0
# The cost of a stream is its prompt and the maximum answer that it allows, in tokens.
STREAM_COSTS = (2_500.0, 4_000.0, 6_000.0, 9_000.0)
# Share of the account's tokens that streams use; plain requests use the others.
STREAM_SHARE = 0.85


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
        self._controls = ControlHosts(load)
        self._hosts = load.hosts
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
        if not self._controls.reaches_leader(host, self._now):
            return
        usages = self._limits[host].usages()
        shares = self._quota_manager.report(str(host), usages, self._hosts)
        self._limits[host].apply_shares(shares)


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


POLICY_BY_NAME: dict[str, Callable[[Load, random.Random], LimitPolicy]] = {
    "even parts": lambda load, _: EvenShares(load),
    "shares by demand": lambda load, _: DemandShares(load),
    "charged at the leader": ChargedAtLeader,
}
