"""Patterns of load: how many requests come, at which engines, and what is lost."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Workload:
    """What requests are like, and the engines that are made for them."""

    capacity_tokens: int
    """What an engine's memory holds."""
    event_tokens: int
    maximum_events: int
    read_tokens_a_second: float
    """Of an engine that only reads; one that answers reads at half the speed."""
    log_prompt_tokens: float
    """Mean of the logarithm of a prompt's tokens."""
    largest_prompt: int
    log_events: float
    """Mean of the logarithm of an answer's events."""
    large_prompt: int
    """Tokens that one prompt in ten is longer than."""
    usual_tokens: int
    """Of a request that is worth 1, answer tokens counted tenfold."""
    smallest_prompt: int = 400
    log_deviations: tuple[float, float] = (0.5, 0.55)
    """Of prompts and of answers."""


SHORT_ANSWERS = Workload(
    capacity_tokens=34_009,
    event_tokens=13,
    maximum_events=160,
    read_tokens_a_second=33_333.0,
    log_prompt_tokens=7.95,
    largest_prompt=9_000,
    log_events=3.95,
    large_prompt=5_400,
    usual_tokens=11_000,
)
LONG_ANSWERS = Workload(
    capacity_tokens=103_755,
    event_tokens=65,
    maximum_events=130,
    read_tokens_a_second=55_555.0,
    log_prompt_tokens=8.39,
    largest_prompt=11_000,
    log_events=4.12,
    large_prompt=8_400,
    usual_tokens=50_500,
    log_deviations=(0.5, 0.5),
)


@dataclass(frozen=True)
class Burst:
    """A span in which more requests come; times are seconds from the start."""

    begins: float
    ends: float
    times: float


@dataclass(frozen=True)
class Loss:
    """Engines that are lost at once, and for how long."""

    at: float
    seconds: float
    answering: int = 0
    reading: int = 0
    is_announced: bool = False
    """Whether they say that they leave, and end the answers that they make."""
    spares_changing: bool = False
    """Whether it takes none that carries out an order."""


@dataclass(frozen=True)
class Span:
    """A span of time; seconds from the start."""

    begins: float
    ends: float


@dataclass(frozen=True)
class Pattern:
    """One load."""

    name: str
    answering: int
    reading: int
    streams_a_second: float
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()
    seconds: float = 32.0
    workload: Workload = SHORT_ANSWERS
    changes_roles: bool = False
    """Whether the leader orders engines to another role."""
    without_leader: tuple[Span, ...] = ()
    """While nobody may order engines; grants go on."""
    leaders_lost: tuple[Span, ...] = ()
    """The same, and another host leads from the end of each on."""


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
        (Loss(7.0, 10.0, answering=2),),
        seconds=25.0,
    ),
    Pattern(
        "a reader lost in a burst",
        7,
        2,
        9.1,
        BURSTS[:2],
        (Loss(7.0, 12.0, reading=1),),
        seconds=25.0,
    ),
    Pattern(
        "both lost in a burst",
        6,
        2,
        9.1,
        BURSTS[:2],
        (Loss(7.0, 12.0, answering=1, reading=1),),
        seconds=25.0,
    ),
    Pattern("seventy engines, three bursts", 58, 12, 74.0, BURSTS),
)

FOR_GOOD = math.inf
# Five engines, in bursts that ask for twice what they usually serve.
FEW_ENGINES = Pattern(
    "few engines",
    answering=3,
    reading=2,
    streams_a_second=5.2,
    bursts=(Burst(6, 11, 1.8), Burst(17, 21, 2.1), Burst(27, 31, 1.8)),
    seconds=41.0,
    workload=LONG_ANSWERS,
    changes_roles=True,
)


def _leaves(at: float, *, answering: int = 0, reading: int = 0) -> Loss:
    return Loss(at, FOR_GOOD, answering, reading, is_announced=True)


FEW_ENGINES_PATTERNS = (
    FEW_ENGINES,
    replace(
        FEW_ENGINES,
        name="few engines, one that answers leaves",
        losses=(_leaves(14.0, answering=1),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, two that answer leave",
        losses=(_leaves(5.5, answering=1), _leaves(24.9, answering=1)),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, one reader leaves",
        losses=(_leaves(14.0, reading=1),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, both readers leave without a leader",
        losses=(_leaves(8.7, reading=1), _leaves(10.0, reading=1)),
        without_leader=(Span(7.6, 18.0),),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, one of each crashes",
        losses=(Loss(7.0, 5.0, reading=1), Loss(18.0, 4.0, answering=1)),
    ),
    replace(
        FEW_ENGINES,
        name="few engines, the only reader leaves in a burst",
        answering=4,
        reading=1,
        losses=(_leaves(18.0, reading=1),),
    ),
)


def drawn_pattern(seed: int) -> Pattern:
    """Return five engines of which the seed takes some away, at any moment.

    One or two leave for good, and one crashes and is back seconds later.
    """
    draw = random.Random(f"few engines {seed}")
    losses = []
    for _ in range(draw.randint(1, 2)):
        reads = draw.random() < 0.4
        at = draw.uniform(3.0, 30.0)
        losses.append(_leaves(at, answering=int(not reads), reading=int(reads)))
    reads = draw.random() < 0.4
    at, seconds = draw.uniform(3.0, 35.0), draw.uniform(2.0, 5.0)
    losses.append(Loss(at, seconds, int(not reads), int(reads)))
    name = f"few engines, drawn by {seed}"
    return replace(FEW_ENGINES, name=name, losses=tuple(losses))


LOST_LEADERS_PATTERNS = (
    replace(
        FEW_ENGINES,
        name="one that answers leaves before and one after a leader is lost",
        losses=(_leaves(8.2, answering=1), _leaves(13.0, answering=1)),
        leaders_lost=(Span(8.3, 12.0),),
    ),
    replace(
        FEW_ENGINES,
        name="both readers leave before and one engine crashes after a leader is lost",
        losses=(
            _leaves(8.2, reading=1),
            _leaves(8.3, reading=1),
            Loss(13.0, 5.0, answering=1),
        ),
        leaders_lost=(Span(8.4, 12.0),),
    ),
    replace(
        FEW_ENGINES,
        name="a leader is lost while its order is carried out",
        losses=(
            _leaves(8.0, reading=1),
            _leaves(8.1, reading=1),
            Loss(11.5, 4.0, answering=1),
        ),
        leaders_lost=(Span(9.0, 11.0),),
    ),
    replace(
        FEW_ENGINES,
        name="both readers leave while two engines change to answer",
        answering=2,
        reading=4,
        losses=(replace(_leaves(4.0, reading=2), spares_changing=True),),
    ),
)


def drawn_pattern_with_lost_leader(seed: int) -> Pattern:
    """Return five engines of which one leaves before and one after a leader is lost.

    A third one crashes at any moment, and is back seconds later.
    """
    draw = random.Random(f"lost leader {seed}")
    begins = draw.uniform(5.0, 25.0)
    ends = begins + draw.uniform(1.0, 6.0)
    losses = []
    for at in (begins - draw.uniform(0.0, 2.0), ends + draw.uniform(0.0, 5.0)):
        reads = draw.random() < 0.4
        losses.append(_leaves(at, answering=int(not reads), reading=int(reads)))
    reads = draw.random() < 0.4
    at, seconds = draw.uniform(3.0, 35.0), draw.uniform(2.0, 5.0)
    losses.append(Loss(at, seconds, int(not reads), int(reads)))
    return replace(
        FEW_ENGINES,
        name=f"few engines and a lost leader, drawn by {seed}",
        losses=tuple(losses),
        leaders_lost=(Span(begins, ends),),
    )
