"""Limits that endpoints in need name in their answers, as this host knows them."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import Deadline, steady_seconds

logger = logging.getLogger(__name__)

# How long a limit is kept that the endpoint neither names again nor lifts, in seconds:
# far longer than a limited endpoint goes without a request.
KEPT_SECONDS = 60.0


@dataclass(frozen=True)
class NamedLimit:
    """How many requests an endpoint takes from all hosts together."""

    per_second: float
    named_at: float
    """When an answer named it last, in seconds of this host's clock."""

    @property
    def forgotten_at(self) -> Deadline:
        """Return when it counts no more, unless it is named again."""
        return Deadline(self.named_at + KEPT_SECONDS)


class EndpointLimits:
    """Knows which starts of endpoints have named a limit; may be used by threads."""

    def __init__(self) -> None:
        self._limit_by_start: dict[str, NamedLimit] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Return how many starts have a limit."""
        return len(self._limit_by_start)

    def note_answer(
        self, endpoint: Endpoint, head: EndpointHead, sent_at: float
    ) -> None:
        """Note what the head of an answer says to a request sent at this instant.

        An answer without a limit lifts the one that is known, unless its request was
        sent before that was named.
        """
        if head.limit_per_second is None and not self._limit_by_start:
            return
        start_id = endpoint.start_id
        with self._lock:
            known = self._limit_by_start.get(start_id)
            if head.limit_per_second is not None:
                limit = NamedLimit(head.limit_per_second, steady_seconds())
                self._limit_by_start[start_id] = limit
            elif known is not None and sent_at > known.named_at:
                del self._limit_by_start[start_id]
            else:
                return
        self._log(start_id, known, head.limit_per_second)

    def forget_old(self) -> None:
        """Drop limits of starts that have not been heard for long."""
        with self._lock:
            for start_id, limit in list(self._limit_by_start.items()):
                if limit.forgotten_at.expired:
                    del self._limit_by_start[start_id]

    def _log(
        self, start_id: str, known: NamedLimit | None, per_second: float | None
    ) -> None:
        extra = {
            "start_id": start_id,
            "per_second": per_second,
            "per_second_before": known.per_second if known else None,
        }
        if per_second is None:
            logger.info("endpoint lifted its limit", extra=extra)
        elif known is None or known.per_second != per_second:
            logger.info("endpoint named a limit", extra=extra)
