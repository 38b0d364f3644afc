"""Patterns of load: the request rate, the engines and the engines that are lost."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Workload:
    """The sizes of requests, and the capacity and speed of their engines."""

    capacity_tokens: int
    """Capacity of the memory of an engine."""
    event_tokens: int
    maximum_events: int
    prefill_tokens_per_second: float
    """Of a prefill engine; a decode engine prefills at half the speed."""
    log_prompt_tokens: float
    """Mean of the logarithm of a prompt's tokens."""
    largest_prompt: int
    log_events: float
    """Mean of the logarithm of an answer's events."""
    large_prompt: int
    """The 90th percentile of a prompt's tokens; longer prompts count as large."""
    reference_tokens: int
    """Tokens of a request that is worth 1; answer tokens count tenfold."""
    smallest_prompt: int = 400
    log_deviations: tuple[float, float] = (0.5, 0.55)
    """Standard deviations of these logarithms, of prompts and of answers."""


SHORT_ANSWERS = Workload(
    capacity_tokens=34_009,
    event_tokens=13,
    maximum_events=160,
    prefill_tokens_per_second=33_333.0,
    log_prompt_tokens=7.95,
    largest_prompt=9_000,
    log_events=3.95,
    large_prompt=5_400,
    reference_tokens=11_000,
)
LONG_ANSWERS = Workload(
    capacity_tokens=103_755,
    event_tokens=65,
    maximum_events=130,
    prefill_tokens_per_second=55_555.0,
    log_prompt_tokens=8.39,
    largest_prompt=11_000,
    log_events=4.12,
    large_prompt=8_400,
    reference_tokens=50_500,
    log_deviations=(0.5, 0.5),
)


@dataclass(frozen=True)
class Burst:
    """A span with a higher request rate; times are seconds from the start."""

    begins: float
    ends: float
    load_factor: float


@dataclass(frozen=True)
class Loss:
    """Engines that are lost at the same time, and for how long."""

    at: float
    seconds: float
    decode_engines: int = 0
    prefill_engines: int = 0
    is_announced: bool = False
    """Whether they announce that they are leaving, and finish their running answers."""
    excludes_changing: bool = False
    """Whether engines that are changing their role are excluded from the loss."""


@dataclass(frozen=True)
class Span:
    """A span of time; seconds from the start."""

    begins: float
    ends: float


@dataclass(frozen=True)
class Pattern:
    """One load pattern and the faults during it."""

    name: str
    decode_engines: int
    prefill_engines: int
    streams_per_second: float
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()
    seconds: float = 32.0
    workload: Workload = SHORT_ANSWERS
    changes_roles: bool = False
    """Whether the leader orders engines to change their role."""
    without_leader: tuple[Span, ...] = ()
    """Spans in which no leader may order engines; grants continue."""
    leaders_lost: tuple[Span, ...] = ()
    """The same, and another host becomes leader at the end of each span."""


BURSTS = tuple(Burst(at, at + 5, 2.3) for at in (5.0, 15.0, 25.0))

PATTERNS = (
    Pattern("calm", 7, 2, 9.1),
    Pattern("three bursts", 7, 2, 9.1, BURSTS),
    Pattern(
        "engines lost in a burst",
        7,
        2,
        9.1,
        BURSTS[:2],
        (Loss(7.0, 10.0, decode_engines=2),),
        seconds=25.0,
    ),
    Pattern(
        "a reader lost in a burst",
        7,
        2,
        9.1,
        BURSTS[:2],
        (Loss(7.0, 12.0, prefill_engines=1),),
        seconds=25.0,
    ),
    Pattern(
        "both lost in a burst",
        6,
        2,
        9.1,
        BURSTS[:2],
        (Loss(7.0, 12.0, decode_engines=1, prefill_engines=1),),
        seconds=25.0,
    ),
    Pattern("seventy engines, three bursts", 58, 12, 74.0, BURSTS),
)

PERMANENTLY = math.inf
# Five engines, with bursts of twice the load that they usually serve.
FEW_ENGINES = Pattern(
    "few engines",
    decode_engines=3,
    prefill_engines=2,
    streams_per_second=5.2,
    bursts=(Burst(6, 11, 1.8), Burst(17, 21, 2.1), Burst(27, 31, 1.8)),
    seconds=41.0,
    workload=LONG_ANSWERS,
    changes_roles=True,
)


def _leaves(at: float, *, decode_engines: int = 0, prefill_engines: int = 0) -> Loss:
    return Loss(at, PERMANENTLY, decode_engines, prefill_engines, is_announced=True)


FEW_ENGINES_PATTERNS = (
    FEW_ENGINES,
    replace(
        FEW_ENGINES,
        name="few engines, one that answers leaves",
        losses=(_leaves(14.0, decode_engines=1),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, two that answer leave",
        losses=(_leaves(5.5, decode_engines=1), _leaves(24.9, decode_engines=1)),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, one reader leaves",
        losses=(_leaves(14.0, prefill_engines=1),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, both readers leave without a leader",
        losses=(_leaves(8.7, prefill_engines=1), _leaves(10.0, prefill_engines=1)),
        without_leader=(Span(7.6, 18.0),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, one of each crashes",
        losses=(Loss(7.0, 5.0, prefill_engines=1), Loss(18.0, 4.0, decode_engines=1)),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, the only reader leaves in a burst",
        decode_engines=4,
        prefill_engines=1,
        losses=(_leaves(18.0, prefill_engines=1),),
    ),
)


def _random_engine_leaves(draw: random.Random, at: float) -> Loss:
    is_prefill = draw.random() < 0.4
    return _leaves(
        at, decode_engines=int(not is_prefill), prefill_engines=int(is_prefill)
    )


def random_pattern(seed: int) -> Pattern:
    """Return a pattern of five engines of which random ones are lost at random times.

    One or two leave permanently, and one crashes and recovers after a few seconds.
    """
    draw = random.Random(f"few engines {seed}")
    losses = []
    for _ in range(draw.randint(1, 2)):
        is_prefill = draw.random() < 0.4
        at = draw.uniform(3.0, 30.0)
        losses.append(
            _leaves(
                at, decode_engines=int(not is_prefill), prefill_engines=int(is_prefill)
            )
        )
    is_prefill = draw.random() < 0.4
    at, seconds = draw.uniform(3.0, 35.0), draw.uniform(2.0, 5.0)
    losses.append(Loss(at, seconds, int(not is_prefill), int(is_prefill)))
    name = f"few engines, drawn by {seed}"
    return replace(FEW_ENGINES, name=name, losses=tuple(losses))


LOST_LEADERS_PATTERNS = (
    replace(
        FEW_ENGINES,
        name="one that answers leaves before and one after a leader is lost",
        losses=(_leaves(8.2, decode_engines=1), _leaves(13.0, decode_engines=1)),
        leaders_lost=(Span(8.3, 12.0),),
    ),
    replace(
        FEW_ENGINES,
        name="both readers leave before and one engine crashes after a leader is lost",
        losses=(
            _leaves(8.2, prefill_engines=1),
            _leaves(8.3, prefill_engines=1),
            Loss(13.0, 5.0, decode_engines=1),
        ),
        leaders_lost=(Span(8.4, 12.0),),
    ),
    replace(
        FEW_ENGINES,
        name="a leader is lost while its order is carried out",
        losses=(
            _leaves(8.0, prefill_engines=1),
            _leaves(8.1, prefill_engines=1),
            Loss(11.5, 4.0, decode_engines=1),
        ),
        leaders_lost=(Span(9.0, 11.0),),
    ),
    replace(
        FEW_ENGINES,
        name="both readers leave while two engines change to answer",
        decode_engines=2,
        prefill_engines=4,
        losses=(replace(_leaves(4.0, prefill_engines=2), excludes_changing=True),),
    ),
)


def random_pattern_with_lost_leader(seed: int) -> Pattern:
    """Return a pattern in which an engine leaves before and one after leader loss.

    Of the five engines, a third one crashes at a random time and recovers after a few
    seconds.
    """
    draw = random.Random(f"lost leader {seed}")
    begins = draw.uniform(5.0, 25.0)
    ends = begins + draw.uniform(1.0, 6.0)
    losses = []
    for at in (begins - draw.uniform(0.0, 2.0), ends + draw.uniform(0.0, 5.0)):
        losses.append(_random_engine_leaves(draw, at))
    is_prefill = draw.random() < 0.4
    at, seconds = draw.uniform(3.0, 35.0), draw.uniform(2.0, 5.0)
    losses.append(Loss(at, seconds, int(not is_prefill), int(is_prefill)))
    return replace(
        FEW_ENGINES,
        name=f"few engines and a lost leader, drawn by {seed}",
        losses=tuple(losses),
        leaders_lost=(Span(begins, ends),),
    )


def random_pattern_with_any_losses(seed: int) -> Pattern:
    """Return a pattern that loses engines in any order and number, and leaders.

    One to three of five engines leave, some of them at once; up to two crash for some
    seconds, and up to two leaders are lost around one of these losses.
    """
    draw = random.Random(f"any losses {seed}")
    losses = []
    count = draw.randint(1, 3)
    at = draw.uniform(3.0, 25.0)
    for _ in range(count):
        losses.append(_random_engine_leaves(draw, at))
        at += draw.choice([0.0, draw.uniform(0.0, 3.0), draw.uniform(3.0, 15.0)])
        if at > 38.0:
            at = draw.uniform(3.0, 38.0)
    for _ in range(draw.randint(0, 2)):
        is_prefill = draw.random() < 0.4
        at, seconds = draw.uniform(3.0, 36.0), draw.uniform(2.0, 6.0)
        losses.append(Loss(at, seconds, int(not is_prefill), int(is_prefill)))
    return replace(
        FEW_ENGINES,
        name=f"few engines and any losses, drawn by {seed}",
        losses=tuple(losses),
        leaders_lost=_spans_without_leader(draw, [loss.at for loss in losses]),
    )


def _spans_without_leader(
    draw: random.Random, lost_at: Sequence[float]
) -> tuple[Span, ...]:
    """Return up to two spans, which do not overlap, around times of losses."""
    spans = []
    for _ in range(draw.randint(0, 2)):
        begins = draw.choice(lost_at) - draw.uniform(-1.0, 2.0)
        spans.append(Span(begins, begins + draw.uniform(1.0, 6.0)))
    spans.sort(key=lambda span: span.begins)
    if len(spans) == 2 and spans[1].begins < spans[0].ends:
        return (spans[0],)
    return tuple(spans)
