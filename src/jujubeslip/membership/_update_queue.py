"""Recent changes of host states, sent in bounded batches a bounded number of times."""

from __future__ import annotations

import heapq

# Maximum updates in one message, besides the sender's own state.
MAXIMUM_RECORDS = 8
# A change is sent to this many peers for each doubling of the number of hosts.
SENDS_PER_DOUBLING = 2


class UpdateQueue:
    """Counts how often each changed record was sent; the least sent go first."""

    def __init__(self) -> None:
        self._sends_by_id: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._sends_by_id)

    def add(self, host_id: str) -> None:
        """Queue a changed record, or reset the count of one that is queued."""
        self._sends_by_id[host_id] = 0

    def take_batch(self, host_count: int) -> list[str]:
        """Return the host ids for the next message and count them as sent.

        Each change reaches all hosts with high probability after a number of sends
        that grows with the logarithm of the number of hosts. Comparing view digests
        finds the few hosts that it misses.
        """
        limit = SENDS_PER_DOUBLING * max(2, host_count.bit_length())
        sends = self._sends_by_id
        chosen = heapq.nsmallest(MAXIMUM_RECORDS, sends, key=sends.__getitem__)
        for host_id in chosen:
            sends[host_id] += 1
            if sends[host_id] >= limit:
                del sends[host_id]
        return chosen
