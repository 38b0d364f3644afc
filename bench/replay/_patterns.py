"""Patterns of load: how many requests come, at which engines, and what is lost."""

from __future__ import annotations

from dataclasses import dataclass


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
