"""Simulates loads with each policy for an account's limit; prints JSON lines.

Run as `python -m bench.accounts.measure [SEEDS]`. Each row has the mean over the seeds,
and the worst case: the maximum of the tokens admitted in any window, as a share of the
bound. With `random` instead of a number, or `random FIRST LAST`, random loads with
faults are simulated with the product's policy. This prints the worst case, and each
seed whose load exceeds the bound.
"""

from __future__ import annotations

import json
import statistics
import sys
from dataclasses import replace

from bench.accounts.charged_at_leader import ChargedAtLeader
from bench.accounts.loads import Load, Span, random_load
from bench.accounts.model import POLICY_BY_NAME, Outcome, replay
from jujubeslip.accounts import LimitBounds, RateLimit

SEEDS = 20
BOUNDS = LimitBounds(window_seconds=8, overage=0.1, slack=120_000)
LIMIT_BY_SIZE = {
    "small": RateLimit(29_000, 29_000),
    "large": RateLimit(96_000, 96_000),
}
SECONDS = 30.0


def loads(hosts: int, limit: RateLimit) -> dict[str, Load]:
    """Return the loads by name, for this number of hosts."""
    base = Load(hosts, limit, BOUNDS, SECONDS, demand_share=0.55)
    spike = replace(base, spike_factor=7.5, spike_span=Span(8, 16))
    leader_loss = (Span(10, 11.5),)
    partition, partitioned_share = Span(9, 15), 1 / 3
    return {
        "0.55 of the limit": base,
        "0.9 of the limit": replace(base, demand_share=0.9),
        "at the limit": replace(base, demand_share=1.0),
        "0.9, most at one host": replace(base, demand_share=0.9, one_host=0.9),
        "surge to 4 limits": spike,
        "surge to 11 limits": replace(spike, spike_factor=20),
        "surge, leader lost": replace(spike, without_leader=leader_loss),
        "0.55, leader lost": replace(base, without_leader=leader_loss),
        "surge, a third cut off": replace(
            spike, partition=partition, partitioned_share=partitioned_share
        ),
        "0.55, a third cut off": replace(
            base, partition=partition, partitioned_share=partitioned_share
        ),
    }


def row(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of one policy for one load, over all seeds."""
    offered = sum(item.offered for item in outcomes)
    return {
        "refused_percent": round(100 * sum(i.refused for i in outcomes) / offered, 2),
        "wrong_percent": round(100 * sum(i.wrong for i in outcomes) / offered, 2),
        "worst_of_bound": round(max(item.worst_share for item in outcomes), 3),
        "calls_per_second": round(
            statistics.mean(item.calls for item in outcomes) / SECONDS, 1
        ),
    }


def run_random_loads(first: int, last: int) -> None:
    """Print each seed whose load exceeded the bound, and the worst of all seeds."""
    worst = (0.0, 0)
    for seed in range(first, last):
        share = replay(random_load(seed), seed, ChargedAtLeader).worst_share
        worst = max(worst, (share, seed))
        if share > 1:
            print(json.dumps({"seed": seed, "worst_of_bound": share}), flush=True)
    result = {"seeds": last - first, "worst_of_bound": worst[0], "seed": worst[1]}
    print(json.dumps(result))


def main() -> None:
    """Print a line for each limit size, number of hosts, load and policy."""
    if sys.argv[1:2] == ["random"]:
        first, last = map(int, sys.argv[2:4] or (0, SEEDS))
        run_random_loads(first, last)
        return
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for size, limit in LIMIT_BY_SIZE.items():
        for hosts in (7, 65, 300):
            for name, load in loads(hosts, limit).items():
                for policy, make_policy in POLICY_BY_NAME.items():
                    outcomes = [
                        replay(load, seed, make_policy) for seed in range(seeds)
                    ]
                    labels = {"size": size, "hosts": hosts, "load": name, "way": policy}
                    print(json.dumps({**labels, **row(outcomes)}), flush=True)


if __name__ == "__main__":
    main()
