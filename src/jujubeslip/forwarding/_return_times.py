"""When a client should come back whose request found no room.

The load that this answers: a burst refuses dozens of requests within a tenth of a
second. Told the same time, their clients come back together, find the queue as long as
before, and are refused again.
"""

from __future__ import annotations

import random

# The earliest return, in seconds: as long as an answer takes, so that the room of all
# that run now is free by then. A client that has lost more of its time than its own
# patience explains is known to have asked before.
LEAST_SECONDS = 3.5
# The latest one, in seconds: a client has fourteen for a summary, and heeds a third of
# what it has left.
MOST_SECONDS = 4.5
# How far the times told at one moment are spread, as a share of them.
SPREAD_SHARE = 0.2


def return_seconds(forecast: float, lot: float | None = None) -> float:
    """Return the seconds to tell a client that was expected to wait `forecast` seconds.

    By then as many requests as stood before it have found room. `lot` is a number
    between 0 and 1 that places it within the spread, drawn if it isn't given.
    """
    drawn = random.random() if lot is None else lot
    middle = min(MOST_SECONDS, max(LEAST_SECONDS, forecast))
    return middle * (1 + SPREAD_SHARE * (2 * drawn - 1))
