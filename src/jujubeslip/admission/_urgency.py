"""The order in which waiting requests get capacity."""

from __future__ import annotations


def urgency(target: float, now: float) -> tuple[bool, float]:
    """Return the sort key of a request by its target, the time until it is in time.

    Requests that are still in time come first, by earliest target; late ones follow.
    """
    return (now > target, target)
