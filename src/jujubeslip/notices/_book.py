"""The notices of all endpoints that a host has had answers from."""

from __future__ import annotations

import logging
import threading

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import steady_seconds
from jujubeslip.notices._models import Hold, HoldReason, NamedLimit, Notice

logger = logging.getLogger(__name__)

# Starts that are not known, and whose notices are kept, at most.
MAXIMUM_UNKNOWN = 1000
NOTHING_SAID = Notice()


class EndpointNotices:
    """Keeps what endpoints say of themselves, by start; may be used by threads.

    A new start has said nothing: what the one before asked for ended with it. Without a
    book, each start counts as known.
    """

    def __init__(self, book: EndpointBook | None = None) -> None:
        self._book = book
        self._notice_by_start: dict[str, Notice] = {}
        self._lifted_at_by_start: dict[str, float] = {}
        """Of limits that the leader is still to be told of."""
        self._lock = threading.Lock()

    # What answers say

    def note_answer(
        self, endpoint: Endpoint, head: EndpointHead, sent_at: float
    ) -> None:
        """Note what the head of an answer says to a request sent at this instant.

        An answer without a limit lifts the one that is known, unless its request was
        sent before that was named.
        """
        known = self._get(endpoint.start_id)
        if known is NOTHING_SAID and not head.says_of_itself:
            return
        now = steady_seconds()
        with self._lock:
            known = self._get(endpoint.start_id)
            told = known.with_head(head, now)
            names_limit = head.limit_per_second is not None
            if names_limit or (known.limit and sent_at > known.limit.named_at):
                told = told.with_limit(head.limit_per_second, now)
            self._notice_by_start[endpoint.start_id] = told
            if known.limit is not None and told.limit is None:
                self._lifted_at_by_start[endpoint.start_id] = now
        _log_change(endpoint.start_id, known, told)

    def note_other_answer(self, endpoint: Endpoint, head: EndpointHead) -> None:
        """Note what an answer says that is no answer to a client's request.

        Such answers name no limits, so that they lift none.
        """
        if not head.says_of_itself:
            return
        with self._lock:
            known = self._get(endpoint.start_id)
            told = known.with_head(head, steady_seconds())
            self._notice_by_start[endpoint.start_id] = told
        _log_change(endpoint.start_id, known, told)

    # What is known

    def hold_of(self, start_id: str) -> Hold | None:
        """Return why a start may not be asked, None if only its limit may say so."""
        return self._get(start_id).hold

    def in_backoff(self, start_id: str) -> bool:
        """Say whether a start wants no requests from this host for a while."""
        hold = self.hold_of(start_id)
        return hold is not None and hold.reason is HoldReason.BACKOFF

    def leaves(self, start_id: str) -> bool:
        """Say whether a start has said that it is shutting down."""
        return self._get(start_id).is_leaving

    def limit_of(self, start_id: str) -> NamedLimit | None:
        """Return the limit that a start has named, None without one."""
        return self._get(start_id).limit

    @property
    def limited_starts(self) -> list[str]:
        """Return the starts that have named a limit."""
        with self._lock:
            return [
                start for start, told in self._notice_by_start.items() if told.limit
            ]

    @property
    def held_count(self) -> int:
        """Return how many starts are in backoff or leave."""
        with self._lock:
            return sum(told.hold is not None for told in self._notice_by_start.values())

    # Limits that end

    def drop_limit(self, start_id: str, lifted_at: float) -> bool:
        """Drop a limit that another host was told is lifted; say whether it counted."""
        with self._lock:
            known = self._get(start_id)
            if known.limit is None or known.limit.named_at > lifted_at:
                return False
            told = known.with_limit(None, lifted_at)
            self._notice_by_start[start_id] = told
        _log_change(start_id, known, told)
        return True

    def take_lifted(self) -> dict[str, float]:
        """Return when limits were lifted that were not returned before, by start."""
        with self._lock:
            lifted, self._lifted_at_by_start = self._lifted_at_by_start, {}
        return lifted

    def forget_old(self) -> list[str]:
        """Drop what counts no more; return the starts whose limits are among it."""
        unlimited = []
        with self._lock:
            for start_id, told in list(self._notice_by_start.items()):
                if told.limit is not None and told.limit.forgotten_at.expired:
                    unlimited.append(start_id)
                    told = told.with_limit(None, steady_seconds())
                    self._notice_by_start[start_id] = told
                if not told.counts:
                    del self._notice_by_start[start_id]
            self._forget_unknown()
        return unlimited

    def _forget_unknown(self) -> None:
        """Drop notices of starts that are not known, the oldest ones, if too many.

        A start that was out of reach may be announced again; what it said counts then.
        """
        unknown = [item for item in self._notice_by_start if not self._is_known(item)]
        unknown.sort(key=lambda item: self._notice_by_start[item].heard_at)
        for start_id in unknown[: max(0, len(unknown) - MAXIMUM_UNKNOWN)]:
            del self._notice_by_start[start_id]

    def _get(self, start_id: str) -> Notice:
        return self._notice_by_start.get(start_id, NOTHING_SAID)

    def _is_known(self, start_id: str) -> bool:
        return self._book is None or self._book.find_start(start_id) is not None


def _log_change(start_id: str, known: Notice, told: Notice) -> None:
    """Log what an answer has changed; most change nothing."""
    if known.limit != told.limit:
        _log_limit(start_id, known.limit, told.limit)
    if told.backoff_until > known.backoff_until:
        extra: dict[str, object] = {
            "start_id": start_id,
            "seconds": round(told.backoff_until.remaining(), 3),
        }
        logger.info("endpoint asked for backoff", extra=extra)
    if told.is_leaving and not known.is_leaving:
        logger.info("endpoint said that it leaves", extra={"start_id": start_id})


def _log_limit(
    start_id: str, known: NamedLimit | None, told: NamedLimit | None
) -> None:
    before = known.per_second if known else None
    per_second = told.per_second if told else None
    extra = {
        "start_id": start_id,
        "per_second": per_second,
        "per_second_before": before,
    }
    if per_second is None:
        logger.info("endpoint lifted its limit", extra=extra)
    elif per_second != before:
        logger.info("endpoint named a limit", extra=extra)
