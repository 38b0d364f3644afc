"""Time bounds and helpers that several checks share."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

# A host counts as connected to the others if it was not disturbed for this long, in
# seconds: longer than a silent connection stays undetected, and than a start takes.
CONTACT_SECONDS = 3.0
# Bounds are extended by this multiple of a stall that the soak measures in itself.
STALL_FACTOR = 2.0


def count_between(times: list[float], begun_at: float, ended_at: float) -> int:
    """Return how many of the sorted instants lie between these."""
    return bisect_right(times, ended_at) - bisect_left(times, begun_at)
