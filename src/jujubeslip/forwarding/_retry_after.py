"""Retry-After times of requests that found no free capacity.

In a burst, dozens of requests are refused within a tenth of a second. If all got the
same time, their clients would retry together, find the queue as long as before, and be
refused again.
"""

from __future__ import annotations

import random

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


def retry_after_seconds(forecast: float, position: float | None = None) -> float:
    """Return the Retry-After seconds of a request that was forecast to wait so long.

    By then the requests that were queued before it have found capacity. `position`,
    between 0 and 1, is its place within the spread, random if it is not given.
    """
    drawn = random.random() if position is None else position
    middle = min(MAXIMUM_SECONDS, max(MINIMUM_SECONDS, forecast))
    return middle * (1 + SPREAD_SHARE * (2 * drawn - 1))
