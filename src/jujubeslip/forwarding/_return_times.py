"""When a client should come back whose request found no room.

The load that this answers: a burst refuses dozens of requests within a tenth of a
second. Told the same time, their clients come back together, find the queue as long as
before, and are refused again.
"""

from __future__ import annotations

import random

# The earliest return, in seconds: a third of the running answers have ended by then.
LEAST_SECONDS = 1.5
# The latest one, in seconds: a client has fourteen for a summary, and one that comes
# back later would have too few left for the answer itself.
MOST_SECONDS = 4.0
# How far the times told at one moment are spread, as a share of them.
SPREAD_SHARE = 0.25


def return_seconds(forecast: float, lot: float | None = None) -> float:
    """Return the seconds to tell a client that was expected to wait `forecast` seconds.

    By then as many requests as stood before it have found room. `lot` is a number
    between 0 and 1 that places it within the spread, drawn if it isn't given.
    """
    drawn = random.random() if lot is None else lot
    middle = min(MOST_SECONDS, max(LEAST_SECONDS, forecast))
    return middle * (1 + SPREAD_SHARE * (2 * drawn - 1))
