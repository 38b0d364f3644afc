"""The order in which the requests of one host get capacity without a leader."""

from __future__ import annotations


def urgency(target: float, now: float, priority: int = 0) -> tuple[bool, int, float]:
    """Return the sort key of a request by its target, the time until it is in time.

    Requests that are still in time come first, the highest priority first and within a
    priority the earliest target; late ones follow.
    """
    return (now > target, priority, target)
