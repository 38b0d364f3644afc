"""Plays loads against each way of keeping an account's limit; JSON lines.

Run as `python -m bench.accounts.measure [SEEDS]`. Each row has the mean over the seeds,
and the worst: the most tokens that ran in any window, as a share of the bound. With
`random` in place of a number, or `random FIRST LAST`, loads with faults that seeds draw
are played against the way in use; the worst is told, and each one above the bound.
"""

from __future__ import annotations

import json
import statistics
import sys
from dataclasses import replace

from bench.accounts.model import (
    WAYS,
    ChargedAtLeader,
    Load,
    Outcome,
    Span,
    random_load,
    replay,
)
from jujubeslip.accounts import LimitBounds, RateLimit

SEEDS = 20
BOUNDS = LimitBounds(window_seconds=8, overage=0.1, slack=120_000)
LIMIT_BY_SIZE = {
    "small": RateLimit(29_000, 29_000),
    "large": RateLimit(96_000, 96_000),
}
SECONDS = 30.0


def loads(hosts: int, limit: RateLimit) -> dict[str, Load]:
    """Return the loads by name, at this many hosts."""
    base = Load(hosts, limit, BOUNDS, SECONDS, usual=0.55)
    surge = replace(base, surge=7.5, surging=Span(8, 16))
    lost = (Span(10, 11.5),)
    cut_off, cut_share = Span(9, 15), 1 / 3
    return {
        "0.55 of the limit": base,
        "0.9 of the limit": replace(base, usual=0.9),
        "at the limit": replace(base, usual=1.0),
        "0.9, most at one host": replace(base, usual=0.9, one_host=0.9),
        "surge to 4 limits": surge,
        "surge to 11 limits": replace(surge, surge=20),
        "surge, leader lost": replace(surge, without_leader=lost),
        "0.55, leader lost": replace(base, without_leader=lost),
        "surge, a third cut off": replace(surge, cut_off=cut_off, cut_share=cut_share),
        "0.55, a third cut off": replace(base, cut_off=cut_off, cut_share=cut_share),
    }


def row(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of one way on one load, over all seeds."""
    offered = sum(item.offered for item in outcomes)
    return {
        "refused_percent": round(100 * sum(i.refused for i in outcomes) / offered, 2),
        "wrong_percent": round(100 * sum(i.wrong for i in outcomes) / offered, 2),
        "worst_of_bound": round(max(item.worst_share for item in outcomes), 3),
        "calls_per_second": round(
            statistics.mean(item.calls for item in outcomes) / SECONDS, 1
        ),
    }


def play_random(first: int, last: int) -> None:
    """Print each seed whose load went over the bound, and the worst of all."""
    worst = (0.0, 0)
    for seed in range(first, last):
        share = replay(random_load(seed), seed, ChargedAtLeader).worst_share
        worst = max(worst, (share, seed))
        if share > 1:
            print(json.dumps({"seed": seed, "worst_of_bound": share}), flush=True)
    told = {"seeds": last - first, "worst_of_bound": worst[0], "seed": worst[1]}
    print(json.dumps(told))


def main() -> None:
    """Print a line for each size, number of hosts, load and way."""
    if sys.argv[1:2] == ["random"]:
        first, last = map(int, sys.argv[2:4] or (0, SEEDS))
        play_random(first, last)
        return
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for size, limit in LIMIT_BY_SIZE.items():
        for hosts in (7, 65, 300):
            for name, load in loads(hosts, limit).items():
                for way, build in WAYS.items():
                    outcomes = [replay(load, seed, build) for seed in range(seeds)]
                    told = {"size": size, "hosts": hosts, "load": name, "way": way}
                    print(json.dumps({**told, **row(outcomes)}), flush=True)


if __name__ == "__main__":
    main()
