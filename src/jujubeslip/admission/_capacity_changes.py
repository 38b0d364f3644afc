"""The order in which engines may have freed capacity; uses no clock or thread."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterator


class CapacityChanges:
    """Numbers each engine's latest change: the end of a request or a report.

    It is needed when hundreds of requests wait while seventy engines report four times
    a second. Trying all engines for each request at each report took the leader's whole
    processor, and grants came after the targets of their requests. A request that found
    no capacity is therefore tried only at engines that have changed since.
    """

    def __init__(self) -> None:
        self.latest = 0
        """The number of the latest change."""
        self._number_by_start: OrderedDict[str, int] = OrderedDict()

    def note(self, start_id: str) -> None:
        """Note that an engine may have more free capacity."""
        self.latest += 1
        self._number_by_start[start_id] = self.latest
        self._number_by_start.move_to_end(start_id)

    def since(self, number: int) -> Iterator[str]:
        """Yield the engines that changed after the change of this number."""
        for start_id, changed_at in reversed(self._number_by_start.items()):
            if changed_at <= number:
                return
            yield start_id

    def retain_only(self, start_ids: Container[str]) -> None:
        """Remove all other engines."""
        for start_id in list(self._number_by_start):
            if start_id not in start_ids:
                del self._number_by_start[start_id]
