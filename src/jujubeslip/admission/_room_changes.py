"""At which engines room may have come free, in order; knows no clock or thread."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterator


class CapacityChanges:
    """The latest instant of each engine at which something ended or was reported.

    The load that this answers: hundreds wait while seventy engines report four times a
    second. Looked at anew for each request at each report, the engines took the
    leader's whole processor, and its grants came after their requests were late. A
    request that found no room looks only at the engines that changed since.
    """

    def __init__(self) -> None:
        self.latest = 0
        """The number of the latest change."""
        self._number_by_start: OrderedDict[str, int] = OrderedDict()

    def note(self, start_id: str) -> None:
        """Note that there may be more room at an engine."""
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
        """Forget all other engines."""
        for start_id in list(self._number_by_start):
            if start_id not in start_ids:
                del self._number_by_start[start_id]
