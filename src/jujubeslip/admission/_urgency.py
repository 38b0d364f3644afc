"""The order in which requests that wait for room get it."""

from __future__ import annotations


def urgency(target: float, now: float) -> tuple[bool, float]:
    """Return what orders requests by the instant until which they are in time.

    Those still in time go first, the earliest target before the others; late ones
    follow.
    """
    return (now > target, target)
