"""What several checks share."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

# A host is in touch with the others if it was not disturbed for this long, in seconds:
# longer than a silent connection goes unnoticed, and than a start takes.
CONTACT_SECONDS = 3.0
# By how much a stall that the soak sees in itself makes its bounds longer.
STALL_FACTOR = 2.0


def count_between(times: list[float], begun_at: float, ended_at: float) -> int:
    """Return how many of the sorted instants lie between these."""
    return bisect_right(times, ended_at) - bisect_left(times, begun_at)
