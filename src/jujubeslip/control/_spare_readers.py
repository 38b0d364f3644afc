"""How many readers are kept as a spare; knows no clock, thread or engine.

The load that this answers: few engines, of which some are lost, and bursts. A second
reader is there if the first one is lost; an engine that answers in its place serves a
third or a half more until then.
"""

from __future__ import annotations

from dataclasses import dataclass

# Readers that stay where the spare one costs nobody an answer.
LEAST_READERS = 2
# What a prompt costs an engine that answers, too, in a reader's time: it reads at half
# the speed, and all its answers stand still meanwhile.
OWN_READING_COST = 4.0
# Share of the time for which a reader is expected to be missing.
MISSING_SHARE = 0.1
# How many times as much has to be served without the spare one, before answers lack
# memory: the change itself takes seconds, and one reader's prompts wait in a burst.
SURE_GAIN = 1.3


@dataclass(frozen=True)
class EngineBalance:
    """Engines of one service, and what requests take of them."""

    engines: int
    reading_share: float
    """Share of engines that reads while the others answer, above 0."""

    def served(self, readers: int) -> float:
        """Return the load that is served, in readers' whole time.

        What readers have no time for is read by the engines that answer, whose answers
        stand still meanwhile.
        """
        answering = (1 - self.reading_share) / self.reading_share
        shared_load = (self.engines + readers) / (answering + OWN_READING_COST)
        if not answering:
            return max(readers, shared_load)
        answered = max(0, self.engines - readers) / answering
        return min(answered, max(readers, shared_load))

    def without_one(self) -> EngineBalance:
        """Return the balance with one engine less."""
        return EngineBalance(self.engines - 1, self.reading_share)


def least_readers(balance: EngineBalance, busiest: float, lacks_memory: bool) -> int:
    """Return how many readers stay at least, whatever they do now.

    `busiest` is the load that has to be expected, in readers' whole time. One reader,
    where the spare one would serve more by answering, the time included in which the
    only one is missing.
    """
    with_spare = _expected(balance, LEAST_READERS, busiest)
    gain = 1.0 if lacks_memory else SURE_GAIN
    return 1 if _expected(balance, 1, busiest) > gain * with_spare else LEAST_READERS


def _expected(balance: EngineBalance, readers: int, busiest: float) -> float:
    """Return the load that is served in the mean, one reader missing now and then."""
    missing = min(1.0, readers * MISSING_SHARE)
    whole = min(busiest, balance.served(readers))
    lost = min(busiest, balance.without_one().served(readers - 1))
    return (1 - missing) * whole + missing * lost
