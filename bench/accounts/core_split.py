"""Replays sixteen accounts at 79 hosts while the control hosts are split.

Run as `python -m bench.accounts.core_split [SEEDS]`; prints a JSON line for each policy
and factor of the load. One account sends seven times its usual load. A request counts
as served in time if it is admitted while its client can still be served in time; one
that is refused does not return. Engines and endpoints are not simulated.
"""

from __future__ import annotations

import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace

from bench.accounts.charged_at_leader import ChargedAtLateRates, ChargedAtLeader
from bench.accounts.control_hosts import ControlHosts
from bench.accounts.loads import ACCOUNT, Arrival, Load, Span
from jujubeslip.accounts import AccountLedger, LimitBounds, RateLimit

HOSTS = 79
ACCOUNTS = 16
# Requests a second of all accounts together, and how they are shared out: the account
# at place k sends as a share 1 / k ** SKEW.
REQUESTS_PER_SECOND = 120.0
SKEW = 1.2
STREAM_SHARE = 0.17
STREAM_COST = 5_300.0
PLAIN_COST = 200.0
# An account's limit is this many times its usual cost, and at least the floor.
LIMIT_FACTOR = 1.8
LIMIT_FLOOR = 18_000.0
SURGE_ACCOUNT = 2
SURGE_FACTOR = 7.0
BOUNDS = LimitBounds(window_seconds=8, overage=0.1, slack=73_000)
SPLIT = Span(10.0, 14.0)
# From the split on until shortly after the next leader.
MEASURED = Span(10.0, 15.0)
SECONDS = 18.0
# How long a request may wait for its charge and be in time, and how often it asks.
STREAM_WAIT_SECONDS = 0.5
PLAIN_WAIT_SECONDS = 0.1
POLL_SECONDS = 0.1
SEEDS = 5


@dataclass(frozen=True)
class Served:
    """Requests while the control hosts are split."""

    due: int
    """Requests that one counter of all requests would admit."""
    in_time: int

    @property
    def share(self) -> float:
        """Return the share of the due requests that are served in time."""
        return self.in_time / self.due if self.due else 1.0


class AsBefore(ChargedAtLateRates):
    """Hosts join pools with their own charges only, and streams wait before that.

    Each host took the leader without a lease for one to call, every tenth of a second.
    """

    def __init__(self, load: Load, randomness: random.Random) -> None:
        super().__init__(load, randomness)
        self._join_at = SECONDS


Policy = Callable[[Load, random.Random], ChargedAtLeader]
POLICY_BY_NAME: dict[str, Policy] = {
    "as before": AsBefore,
    "rates after 3.5 s": ChargedAtLateRates,
    "rates once no lease is valid": ChargedAtLeader,
}


def account_load(place: int, factor: float, splits_hosts: bool) -> tuple[Load, float]:
    """Return the load of the account at a place, and its requests a second."""
    weights = [1 / number**SKEW for number in range(1, ACCOUNTS + 1)]
    per_second = REQUESTS_PER_SECOND * weights[place - 1] / sum(weights)
    cost = STREAM_SHARE * STREAM_COST + (1 - STREAM_SHARE) * PLAIN_COST
    limit = max(LIMIT_FLOOR, LIMIT_FACTOR * per_second * cost)
    load = Load(
        HOSTS,
        RateLimit(limit, limit),
        BOUNDS,
        SECONDS,
        demand_share=0.0,
        core_splits=(SPLIT,),
        splits_hosts=splits_hosts,
    )
    is_surging = place == SURGE_ACCOUNT
    return load, per_second * factor * (SURGE_FACTOR if is_surging else 1.0)


def arrivals(per_second: float, randomness: random.Random) -> list[Arrival]:
    """Return the requests of an account in order."""
    at, found = 0.0, []
    while (at := at + randomness.expovariate(per_second)) < SECONDS:
        is_stream = randomness.random() < STREAM_SHARE
        cost = STREAM_COST * randomness.uniform(0.5, 1.5) if is_stream else PLAIN_COST
        found.append(Arrival(at, randomness.randrange(HOSTS), cost, is_stream))
    return found


def replay_account(
    load: Load, per_second: float, policy_of: Policy, seed: int
) -> Served:
    """Return how many of an account's requests are served in time during the split."""
    policy = policy_of(load, random.Random(seed + 1))
    ideal = AccountLedger(LimitBounds(BOUNDS.window_seconds, 0, 0), -60.0)
    due = in_time = 0
    controls = ControlHosts(load)
    waits_first = policy_of is AsBefore
    # Requests that wait ask again, in the order of time.
    pending = [(item.at, item) for item in arrivals(per_second, random.Random(seed))]
    is_due = {
        item.at: ideal.charge(ACCOUNT, load.limit, item.cost, item.at).wait == 0
        for _, item in pending
    }
    while pending:
        now, arrival = pending.pop(0)
        policy.step(now)
        is_measured = MEASURED.contains(arrival.at) and is_due[arrival.at]
        due += is_measured and now == arrival.at
        has_leader = controls.reaches_leader(arrival.host, now)
        limit = STREAM_WAIT_SECONDS if arrival.is_stream else PLAIN_WAIT_SECONDS
        is_last = now + POLL_SECONDS > arrival.at + limit
        skips_pool = waits_first and arrival.is_stream and not has_leader
        if not (skips_pool and not is_last) and policy.admits(replace(arrival, at=now)):
            in_time += is_measured
        elif not (is_last or has_leader):
            pending.append((now + POLL_SECONDS, arrival))
            pending.sort(key=lambda item: item[0])
    return Served(due, in_time)


def replay_all(
    factor: float, policy_of: Policy, seed: int, splits_hosts: bool
) -> tuple[Served, list[Served]]:
    """Return the surging account's requests, and those of each other account."""
    served = []
    for place in range(1, ACCOUNTS + 1):
        load, per_second = account_load(place, factor, splits_hosts)
        served.append(replay_account(load, per_second, policy_of, seed * 100 + place))
    surging = served.pop(SURGE_ACCOUNT - 1)
    return surging, served


def together(served: list[Served]) -> Served:
    """Return the requests of several accounts or seeds together."""
    return Served(sum(i.due for i in served), sum(i.in_time for i in served))


def main() -> None:
    """Print the shares that are served in time."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for splits_hosts in (False, True):
        for factor in (0.5, 1.0, 1.5):
            for name, policy_of in POLICY_BY_NAME.items():
                runs = [
                    replay_all(factor, policy_of, seed, splits_hosts)
                    for seed in range(seeds)
                ]
                by_account = [
                    together(list(items))
                    for items in zip(*(others for _, others in runs), strict=True)
                ]
                row = {
                    "hosts_split": splits_hosts,
                    "load": factor,
                    "way": name,
                    "others": round(together(by_account).share, 3),
                    "worst_account": round(min(i.share for i in by_account), 3),
                    "surging": round(together([item for item, _ in runs]).share, 3),
                }
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
