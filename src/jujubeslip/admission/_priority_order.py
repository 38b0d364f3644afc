"""Which request goes first when priorities differ; uses no clock, thread or engine.

For a service whose engines have too little memory for the requests of several
priorities, at one and a half times to twice the load that they serve. Ordered by target
alone, the first to be refused are those with the shortest target, which usually have
the highest priority. Ordered by priority alone, the lowest one gets nothing until the
load falls.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from jujubeslip.admission._waiting_queue import QueueEntry, WaitingQueue

# Lower priorities count as this one, so that the number of queues is bounded.
LOWEST_PRIORITY = 9
# Number of requests of lower priorities that are checked before a late request of a
# higher priority goes first.
MAXIMUM_CHECKED = 32
# How many times the forecast wait a request must have left until it has to start, so
# that a late one may go first. Requests of higher priorities arrive meanwhile.
SAFETY_FACTOR = 2.0
# Time from a grant to the first event, in seconds.
FIRST_EVENT_SECONDS = 0.25
# Tolerance for sums of fractions, in tokens and in requests.
EPSILON = 1e-9


class PriorityOrder:
    """The waiting requests of one service, in the order in which they get grants.

    Requests that are still in time go first. While all of them can start in time, the
    earliest target is first: another order would only make some of them late.

    Otherwise the highest priority is first, and within a priority the earliest target.
    While a lower priority waits, it keeps a share of the granted tokens: each grant to
    a higher one adds to its credit, and it goes first as soon as the credit pays for
    its next request. Each priority has a credit for all lower ones together, so that
    these share it in the same way.

    Late requests follow, in the same order. A late answer is still worth something, so
    a late request goes before those of lower priorities in time if all of these have
    enough time left to wait for it. Late requests of one priority never go before
    requests in time of the same or of a higher priority.

    Where the order goes by priority, requests of the accounts in `above_part` follow
    the others of their priority, in time or late.

    If all requests have the same priority and no account is above its part, the order
    is that of `WaitingQueue`.
    """

    def __init__(self, lower_priority_share: float = 0.0) -> None:
        self._share = lower_priority_share
        self._queue_by_priority: dict[int, WaitingQueue] = {}
        self._credit_by_priority: dict[int, float] = {}
        """Tokens that all priorities below this one have saved up, by priority."""

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_priority.values())

    @property
    def priorities(self) -> list[int]:
        """Return the priorities of the waiting requests, the highest first."""
        return sorted(self._queue_by_priority)

    def add(self, entry: QueueEntry) -> None:
        """Add a request to the queue."""
        queue = self._queue_by_priority.setdefault(entry.priority, WaitingQueue())
        queue.add(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request from the queue; raise KeyError if it does not wait."""
        queue = self._queue_by_priority[entry.priority]
        queue.remove(entry)
        if not len(queue):
            del self._queue_by_priority[entry.priority]
            self._drop_unused_credits()

    def _drop_unused_credits(self) -> None:
        """Drop the credits of lower priorities that no longer wait."""
        lowest = max(self._queue_by_priority, default=-1)
        for priority in [item for item in self._credit_by_priority if item >= lowest]:
            del self._credit_by_priority[priority]

    def note_granted(self, entry: QueueEntry) -> None:
        """Settle the credits for the grant of a request that still waits."""
        lowest = max(self._queue_by_priority, default=-1)
        _settle(self._credit_by_priority, entry, self._share, lowest)

    def head(
        self,
        now: float,
        maximum: int,
        interval: float = 0.0,
        above_part: Collection[str] = (),
    ) -> list[QueueEntry]:
        """Return the first requests in order, `maximum` at most.

        `interval` is the expected time between two grants, in seconds.
        """
        if len(self._queue_by_priority) == 1 and not above_part:
            (queue,) = self._queue_by_priority.values()
            return queue.head(now, maximum)
        selection = _Selection(
            self._queue_by_priority, now, maximum, interval, above_part
        )
        return list(selection.take(dict(self._credit_by_priority), self._share))

    def count_ahead(
        self, entry: QueueEntry, now: float, above_part: Collection[str] = ()
    ) -> int:
        """Return how many of the waiting requests are granted before this one.

        Requests that arrive later, and grants that late requests get before those in
        time, are not counted.
        """
        is_late = entry.target < now
        own = self._queue_by_priority.get(entry.priority)
        same = _same_ahead(own, entry, now, above_part) if own is not None else 0
        ahead_of_late = 0
        if is_late:
            ahead_of_late = sum(
                queue.in_time_count(now) for queue in self._queue_by_priority.values()
            )
        return ahead_of_late + self._ahead_in_group(entry, same, now, is_late)

    def _ahead_in_group(
        self, entry: QueueEntry, same: int, now: float, is_late: bool
    ) -> int:
        """Return how many requests in time, or late ones, are granted before this one.

        Counts requests instead of tokens, and starts without credits.
        """
        share = self._share
        count_by_priority = {
            priority: _count(queue, now, is_late)
            for priority, queue in self._queue_by_priority.items()
        }
        lower = sum(n for item, n in count_by_priority.items() if item > entry.priority)
        ahead = same + min(lower, int(same * share / (1 - share) + EPSILON))
        for priority in sorted(count_by_priority, reverse=True):
            if priority < entry.priority:
                due = (ahead + 1) * (1 - share) / share if share else float("inf")
                ahead += int(min(count_by_priority[priority], due + EPSILON))
        return ahead


class _Selection:
    """Takes the first requests of all priorities, as if each of them got its grant."""

    def __init__(
        self,
        queue_by_priority: dict[int, WaitingQueue],
        now: float,
        maximum: int,
        interval: float,
        above_part: Collection[str],
    ) -> None:
        self._now = now
        self._maximum = maximum
        self._interval = interval
        self._in_time = {
            priority: queue.in_time(now)
            for priority, queue in sorted(queue_by_priority.items())
        }
        self._late = {
            priority: _by_part(queue.late(now), above_part)
            for priority, queue in sorted(queue_by_priority.items())
        }
        self._all_start_in_time = self._can_all_start_in_time()
        if not self._all_start_in_time:
            for priority, entries in self._in_time.items():
                self._in_time[priority] = _by_part(entries, above_part)
        self._taken = 0
        self._late_allowance: float | None = None

    def _can_all_start_in_time(self) -> bool:
        """Return whether all would start in time by target, at the latest interval.

        Requests that can't start in time any more are left out.
        """
        latest_start = self._now + FIRST_EVENT_SECONDS
        waiting = sorted(
            entry.target
            for entries in self._in_time.values()
            for entry in entries
            if entry.target >= latest_start
        )
        return all(
            target - latest_start >= self._interval * (position + 1)
            for position, target in enumerate(waiting)
        )

    def take(
        self, credit_by_priority: dict[int, float], share: float
    ) -> Iterator[QueueEntry]:
        """Yield the requests in order."""
        while self._taken < self._maximum:
            group = self._in_time if any(self._in_time.values()) else self._late
            priorities = [item for item, entries in group.items() if entries]
            if not priorities:
                return
            if group is self._in_time and self._all_start_in_time:
                chosen = min(priorities, key=lambda item: self._in_time[item][0])
                late = self._late_before(priorities[0])
                group, chosen = late or (group, chosen)
            else:
                chosen = _next_priority(group, priorities, credit_by_priority, share)
            entry = group[chosen].pop(0)
            self._taken += 1
            lowest = max(item for item in self._all_priorities(entry))
            _settle(credit_by_priority, entry, share, lowest)
            yield entry

    def _all_priorities(self, entry: QueueEntry) -> Iterator[int]:
        yield entry.priority
        for group in (self._in_time, self._late):
            yield from (priority for priority, entries in group.items() if entries)

    def _late_before(
        self, chosen: int
    ) -> tuple[dict[int, list[QueueEntry]], int] | None:
        """Return the late requests, and the priority that goes before `chosen`, if any.

        `chosen` is the highest priority with requests in time.
        """
        for priority, entries in self._late.items():
            if priority >= chosen:
                return None
            if entries:
                if self._late_allowance is None:
                    self._late_allowance = self._compute_late_allowance()
                if self._late_allowance < 1:
                    return None
                self._late_allowance -= 1
                return self._late, priority
        return None

    def _compute_late_allowance(self) -> float:
        """Return how many late requests may go before all that are in time.

        All of these must still start in time.
        """
        waiting = sorted(
            entry
            for entries in self._in_time.values()
            for entry in entries[:MAXIMUM_CHECKED]
        )
        latest_start = self._now + FIRST_EVENT_SECONDS
        seconds = max(EPSILON, SAFETY_FACTOR * self._interval)
        return min(
            (entry.target - latest_start) / seconds - (position + self._taken + 1)
            for position, entry in enumerate(waiting[:MAXIMUM_CHECKED])
        )


def _next_priority(
    entries_by_priority: dict[int, list[QueueEntry]],
    priorities: list[int],
    credit_by_priority: dict[int, float],
    share: float,
) -> int:
    """Return the highest priority whose lower ones have no due credit."""
    for position, priority in enumerate(priorities[:-1]):
        first_below = entries_by_priority[priorities[position + 1]][0]
        cost = (1 - share) * first_below.tokens
        credit = credit_by_priority.get(priority, 0.0)
        if not share or credit + EPSILON < cost or not credit:
            return priority
    return priorities[-1]


def _settle(
    credit_by_priority: dict[int, float],
    entry: QueueEntry,
    share: float,
    lowest: int,
) -> None:
    """Update the credits after a grant while priorities down to `lowest` wait."""
    if entry.priority < lowest:
        credit = credit_by_priority.get(entry.priority, 0.0)
        credit_by_priority[entry.priority] = credit + share * entry.tokens
    for priority, credit in list(credit_by_priority.items()):
        if priority < entry.priority:
            left = credit - (1 - share) * entry.tokens
            credit_by_priority[priority] = max(0.0, left)


def _by_part(
    entries: list[QueueEntry], above_part: Collection[str]
) -> list[QueueEntry]:
    """Return the entries with those of accounts above their part at the end."""
    if not above_part:
        return entries
    return sorted(entries, key=lambda entry: entry.account_name in above_part)


def _same_ahead(
    queue: WaitingQueue, entry: QueueEntry, now: float, above_part: Collection[str]
) -> int:
    """Return how many entries of its priority, late if it is, go before this one."""
    is_late = entry.target < now
    if not above_part:
        ahead = queue.count_ahead(entry, now)
        return ahead - queue.in_time_count(now) if is_late else ahead
    own_key = (entry.account_name in above_part, entry)
    entries = queue.late(now) if is_late else queue.in_time(now)
    return sum((item.account_name in above_part, item) < own_key for item in entries)


def _count(queue: WaitingQueue, now: float, is_late: bool) -> int:
    in_time = queue.in_time_count(now)
    return len(queue) - in_time if is_late else in_time
