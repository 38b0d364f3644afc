"""The loads of the model: the demand of an account, and the faults meanwhile."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from jujubeslip.accounts import LimitBounds, RateLimit

ACCOUNT = "account"


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
    core_splits: tuple[Span, ...] = ()
    """When the control hosts are split into two halves."""
    splits_hosts: bool = False
    """Whether hosts then reach the control hosts of one half only."""
    lapses: tuple[Span, ...] = ()
    """When the leader, which keeps its role, has no valid lease."""
    pool_losses: tuple[Span, ...] = ()
    """When the control hosts that keep pools are down; they restart afterwards."""


@dataclass(frozen=True)
class Arrival:
    """A request of the account at a host."""

    at: float
    host: int
    cost: float
    is_stream: bool


def random_split_load(seed: int) -> Load:
    """Return a random load in which the control hosts are split, too."""
    randomness = random.Random(f"split/{seed}")
    begin = randomness.uniform(1, 12)
    split = Span(begin, begin + randomness.uniform(0.8, 7))
    second = Span(split.ends + randomness.uniform(0.5, 4), split.ends + 6)
    lost_at = split.begins + randomness.uniform(-1, 4)
    lapsed_at = randomness.uniform(1, 18)
    lapses = tuple(
        Span(lapsed_at + number, lapsed_at + number + 0.65) for number in range(3)
    )
    return replace(
        random_load(seed),
        hosts=randomness.choice((7, 76, 195)),
        core_splits=randomness.choice(((split,), (split,), (split, second))),
        splits_hosts=randomness.random() < 0.5,
        lapses=randomness.choice(((), lapses)),
        pool_losses=randomness.choice(((), (Span(lost_at, lost_at + 1.5),))),
    )


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
