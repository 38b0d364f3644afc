"""Which requests got grants while another one waited."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from jujubeslip.admission._waiting_queue import QueueEntry


@dataclass(frozen=True)
class GrantedMeanwhile:
    """The grants of other requests of a service while one waited."""

    higher: int
    """Grants of requests of a higher priority."""
    same: int
    lower: int
    latest_id: str
    """The request that got the latest one, empty if there is none."""
    latest_priority: int = 0

    @property
    def priorities_differ(self) -> bool:
        """Return whether a request of another priority got a grant."""
        return self.higher + self.lower > 0


class GrantCounts:
    """Counts the grants of a service by priority."""

    def __init__(self) -> None:
        self._count_by_priority: Counter[int] = Counter()
        self._latest: QueueEntry | None = None

    def note(self, entry: QueueEntry) -> None:
        """Count a grant."""
        self._count_by_priority[entry.priority] += 1
        self._latest = entry

    def counts(self) -> dict[int, int]:
        """Return the number of grants by priority."""
        return dict(self._count_by_priority)

    def since(self, before: Mapping[int, int], priority: int) -> GrantedMeanwhile:
        """Return the grants since the earlier counts, as a request of `priority`."""
        added = {
            item: count - before.get(item, 0)
            for item, count in self._count_by_priority.items()
        }
        has_latest = self._latest is not None and any(added.values())
        return GrantedMeanwhile(
            sum(count for item, count in added.items() if item < priority),
            added.get(priority, 0),
            sum(count for item, count in added.items() if item > priority),
            self._latest.request_id if self._latest and has_latest else "",
            self._latest.priority if self._latest and has_latest else 0,
        )
