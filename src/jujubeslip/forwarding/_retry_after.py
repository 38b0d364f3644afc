"""Retry-After times of requests that found no free capacity.

In a burst, dozens of requests are refused within a tenth of a second. If all got the
same time, their clients would retry together, find the queue as long as before, and be
refused again. Where priorities differ, clients of the highest one retry first: the
others would use the capacity that becomes free meanwhile.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

# Minimum before spreading, in seconds: the duration of an answer, so that the capacity
# used by all running requests is free by then. It is also long enough that the time
# missing from the client's deadline shows the retry, beyond what its own timeout
# explains.
MINIMUM_SECONDS = 3.5
# Maximum before spreading, in seconds: a client has fourteen for a long stream, and
# waits at most a third of the time that it has left.
MAXIMUM_SECONDS = 4.5
# Spread of the times around their middle, as a share of it.
SPREAD_SHARE = 0.2
# Share of the time that a client has left for which it waits at most.
HONORED_SHARE = 1 / 3
# Times that are given where priorities differ, in seconds: those that the bounds above
# allow after spreading. A client with little time left gets at least this share of the
# time for which it waits at most.
EARLIEST_SECONDS = MINIMUM_SECONDS * (1 - SPREAD_SHARE)
EARLIEST_SHARE = 2 / 3
LATEST_SECONDS = MAXIMUM_SECONDS * (1 + SPREAD_SHARE)


@dataclass(frozen=True)
class Caller:
    """What the Retry-After of a request depends on besides its forecast wait."""

    place: int = 0
    """Place of its priority among those of the service, 0 for the highest."""
    priorities: int = 1
    """Number of priorities that requests of the service may have."""
    remaining: float = math.inf
    """Time until the client gives up, in seconds."""


ONLY_PRIORITY = Caller()


def retry_after_seconds(
    forecast: float, position: float | None = None, caller: Caller = ONLY_PRIORITY
) -> float:
    """Return the Retry-After seconds of a request that was forecast to wait so long.

    By then the requests that were queued before it have found capacity. `position`,
    between 0 and 1, is its place within the spread, random if it is not given.

    Where priorities differ, each has a part of the time for which clients wait, the
    highest one the first part. The longer the forecast, the later within this part.
    """
    drawn = random.random() if position is None else position
    if caller.priorities > 1:
        return _within_part(forecast, drawn, caller)
    middle = min(MAXIMUM_SECONDS, max(MINIMUM_SECONDS, forecast))
    return middle * (1 + SPREAD_SHARE * (2 * drawn - 1))


def _within_part(forecast: float, position: float, caller: Caller) -> float:
    latest = min(LATEST_SECONDS, HONORED_SHARE * max(0.0, caller.remaining))
    earliest = min(EARLIEST_SECONDS, EARLIEST_SHARE * latest)
    width = (latest - earliest) / caller.priorities
    delay = min(1.0, max(0.0, forecast) / MAXIMUM_SECONDS)
    return earliest + width * (caller.place + (delay + position) / 2)
