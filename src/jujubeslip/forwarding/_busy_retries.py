"""When a client whose request all endpoints refused as full is told to return.

Answers a burst in which endpoints serve as many requests as they can, and refuse the
others. Places become free all the time, so that a client that returns soon finds one as
probably as one that returns later, and only the first one is answered in time. Clients
that can no longer be answered in time return later, each at a time of its own: with one
time for all, those that were refused together return together.
"""

from __future__ import annotations

import random

# Clients wait for at most this share of the time that they have left.
HONOURED_SHARE = 1 / 3
# Time of a refusal's way to the client and of the next request, in seconds.
RETURN_SECONDS = 0.005
# Shortest time, in seconds, and the shortest spread of clients that return in time.
MINIMUM_SECONDS = 0.01
MINIMUM_SPREAD_SECONDS = 0.01
# Longest time, in seconds: within it newly started endpoints have announced themselves.
MAXIMUM_SECONDS = 1.0
# Share of the target that an answer of a full endpoint takes if it wasn't measured.
ASSUMED_ANSWER_SHARE = 0.7


def busy_retry_seconds(
    answer_seconds: float | None,
    target_seconds: float,
    client_seconds: float,
    position: float | None = None,
) -> float:
    """Return the Retry-After seconds of a client with this much time until its target.

    `answer_seconds` is how long an answer of a full endpoint takes, None if that is
    unknown, and `client_seconds` how long the client waits at most. `position`, between
    0 and 1, is the client's place within the spread, random if not given.
    """
    drawn = random.random() if position is None else position
    answer = answer_seconds or ASSUMED_ANSWER_SHARE * target_seconds
    honoured = max(0.0, client_seconds) * HONOURED_SHARE
    latest = min(honoured, target_seconds - answer - RETURN_SECONDS)
    earliest = MINIMUM_SECONDS
    if latest < MINIMUM_SECONDS + MINIMUM_SPREAD_SECONDS:
        latest = min(MAXIMUM_SECONDS, honoured)
        earliest = min(max(MINIMUM_SECONDS, answer), latest / 2)
    return earliest + drawn * (latest - earliest)
