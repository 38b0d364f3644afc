"""Registry of the notices from all endpoints that have sent answers to this host."""

from __future__ import annotations

import logging
import threading
from dataclasses import replace

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.notices._models import Hold, HoldReason, NamedLimit, Notice

logger = logging.getLogger(__name__)

# The maximum number of unknown starts whose notices are kept.
MAXIMUM_UNKNOWN_STARTS = 1000
EMPTY_NOTICE = Notice()


class EndpointNotices:
    """Stores the notices of endpoints by start; thread-safe.

    A new start has no notice, since the requests of the previous start ended with it.
    Without a registry of endpoints, each start is considered known.
    """

    def __init__(self, endpoint_registry: EndpointRegistry | None = None) -> None:
        self._endpoint_registry = endpoint_registry
        self._notice_by_start: dict[str, Notice] = {}
        self._lifted_at_by_start: dict[str, float] = {}
        """Lifted limits that have not been reported to the leader yet."""
        self._lock = threading.Lock()

    # Notices in answers

    def record_answer(
        self, endpoint: Endpoint, head: EndpointHead, sent_at: float
    ) -> None:
        """Record the notice in the headers of an answer to a request.

        An answer without a limit lifts the known limit, unless its request was sent
        before that limit was named.
        """
        known = self._get(endpoint.start_id)
        if known is EMPTY_NOTICE and not head.has_notice:
            return
        now = steady_seconds()
        with self._lock:
            known = self._get(endpoint.start_id)
            updated = known.with_head(head, now)
            names_limit = head.limit_per_second is not None
            if names_limit or (known.limit and sent_at > known.limit.named_at):
                updated = updated.with_limit(head.limit_per_second, now)
            self._notice_by_start[endpoint.start_id] = updated
            if known.limit is not None and updated.limit is None:
                self._lifted_at_by_start[endpoint.start_id] = now
        _log_change(endpoint.start_id, known, updated)

    def record_internal_answer(self, endpoint: Endpoint, head: EndpointHead) -> None:
        """Record the notice in an answer to another call than a client's request.

        Such answers name no limits, so they don't lift any.
        """
        if not head.has_notice:
            return
        with self._lock:
            known = self._get(endpoint.start_id)
            updated = known.with_head(head, steady_seconds())
            self._notice_by_start[endpoint.start_id] = updated
        _log_change(endpoint.start_id, known, updated)

    def record_hold(self, start_id: str, seconds: float) -> None:
        """Record that another host has to wait before it asks a start again."""
        with self._lock:
            known = self._get(start_id)
            until = max(known.backoff_until, Deadline.after(seconds))
            updated = replace(known, backoff_until=until, received_at=steady_seconds())
            self._notice_by_start[start_id] = updated
        _log_change(start_id, known, updated)

    # Queries

    def hold_of(self, start_id: str) -> Hold | None:
        """Return the hold on a start apart from its limit, or None if there is none."""
        return self._get(start_id).hold

    def in_backoff(self, start_id: str) -> bool:
        """Return whether a backoff that a start asked this host for is in effect."""
        hold = self.hold_of(start_id)
        return hold is not None and hold.reason is HoldReason.BACKOFF

    def leaves(self, start_id: str) -> bool:
        """Return whether a start has announced that it is shutting down."""
        return self._get(start_id).is_leaving

    def limit_of(self, start_id: str) -> NamedLimit | None:
        """Return the limit that a start has named, or None if it named none."""
        return self._get(start_id).limit

    @property
    def limited_starts(self) -> list[str]:
        """Return the starts that have named a limit."""
        with self._lock:
            return [
                start for start, notice in self._notice_by_start.items() if notice.limit
            ]

    @property
    def held_count(self) -> int:
        """Return how many starts are in backoff or leaving."""
        with self._lock:
            return sum(
                notice.hold is not None for notice in self._notice_by_start.values()
            )

    # Expiry of limits and notices

    def drop_limit(self, start_id: str, lifted_at: float) -> bool:
        """Drop a limit that another host reported as lifted.

        Return False if there is no limit, or if it was named after it was lifted.
        """
        with self._lock:
            known = self._get(start_id)
            if known.limit is None or known.limit.named_at > lifted_at:
                return False
            updated = known.with_limit(None, lifted_at)
            self._notice_by_start[start_id] = updated
        _log_change(start_id, known, updated)
        return True

    def pop_lifted(self) -> dict[str, float]:
        """Return the times of lifted limits by start, and clear the pending ones."""
        with self._lock:
            lifted, self._lifted_at_by_start = self._lifted_at_by_start, {}
        return lifted

    def forget_old(self) -> list[str]:
        """Drop expired limits and notices; return the starts whose limits expired."""
        expired_starts = []
        with self._lock:
            for start_id, notice in list(self._notice_by_start.items()):
                if notice.limit is not None and notice.limit.forgotten_at.expired:
                    expired_starts.append(start_id)
                    notice = notice.with_limit(None, steady_seconds())
                    self._notice_by_start[start_id] = notice
                if not notice.is_in_effect:
                    del self._notice_by_start[start_id]
            self._forget_unknown()
        return expired_starts

    def _forget_unknown(self) -> None:
        """Drop the oldest notices of unknown starts beyond MAXIMUM_UNKNOWN_STARTS.

        The others are kept, since a start that was unreachable may be announced again
        and its notice is still valid then.
        """
        unknown = [item for item in self._notice_by_start if not self._is_known(item)]
        unknown.sort(key=lambda item: self._notice_by_start[item].received_at)
        for start_id in unknown[: max(0, len(unknown) - MAXIMUM_UNKNOWN_STARTS)]:
            del self._notice_by_start[start_id]

    def _get(self, start_id: str) -> Notice:
        return self._notice_by_start.get(start_id, EMPTY_NOTICE)

    def _is_known(self, start_id: str) -> bool:
        return (
            self._endpoint_registry is None
            or self._endpoint_registry.find_start(start_id) is not None
        )


def _log_change(start_id: str, known: Notice, updated: Notice) -> None:
    """Log the changes of a notice; most answers change nothing."""
    if known.limit != updated.limit:
        _log_limit(start_id, known.limit, updated.limit)
    if updated.backoff_until > known.backoff_until:
        extra: dict[str, object] = {
            "start_id": start_id,
            "seconds": round(updated.backoff_until.remaining(), 3),
        }
        logger.info("endpoint asked for backoff", extra=extra)
    if updated.is_leaving and not known.is_leaving:
        logger.info("endpoint said that it leaves", extra={"start_id": start_id})


def _log_limit(
    start_id: str, known: NamedLimit | None, updated: NamedLimit | None
) -> None:
    before = known.per_second if known else None
    per_second = updated.per_second if updated else None
    extra = {
        "start_id": start_id,
        "per_second": per_second,
        "per_second_before": before,
    }
    if per_second is None:
        logger.info("endpoint lifted its limit", extra=extra)
    elif per_second != before:
        logger.info("endpoint named a limit", extra=extra)
