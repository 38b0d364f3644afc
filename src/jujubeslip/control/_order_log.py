"""Lines that say why no engine of a service is ordered to another role."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import StrEnum

from jujubeslip.kernel import Deadline

logger = logging.getLogger(__name__)

# The same reason is written again after this long, in seconds.
REPEAT_SECONDS = 5.0


class NoOrderReason(StrEnum):
    """Why the leader orders no engine of a service."""

    LOG_TOO_YOUNG = "orders that this log doesn't know may still be carried out"
    ORDERS_UNDER_WAY = "engines still change"
    LOAD_UNKNOWN = "the load is not known yet"
    BALANCED = "no other balance serves more"


@dataclass(frozen=True)
class BalanceInputs:
    """What the leader decided by."""

    reading: int
    """Engines that read prompts, or are ordered to."""
    answering: int
    changing: int
    """Engines that may still be carrying out an order."""
    kept_readers: int | None
    """Readers that are to stay, None before that is known."""
    useful_readers: int | None
    """The most for whose prompts answers find memory."""
    readers_at_least: int
    """Those that stay whatever they do now."""
    busiest_readers: float | None
    """Readers' whole time that prompts took at the busiest moment."""
    steadily_busy_readers: float
    """The same at the least busy moment of the last seconds."""
    reading_share: float | None
    """Share of engines that reads while the others answer, None while unknown."""
    lacks_memory: bool
    waited: int
    """Requests of all hosts that waited for room lately."""


@dataclass(frozen=True)
class _Written:
    reason: NoOrderReason
    reading: int
    answering: int
    until: Deadline


class NoOrderLog:
    """Writes a line when the reason or the engines change, and now and then."""

    def __init__(self) -> None:
        self._written_by_service: dict[str, _Written] = {}

    def note(
        self, service_name: str, reason: NoOrderReason, inputs: BalanceInputs
    ) -> None:
        """Note that no engine of a service was ordered, and why."""
        if self._is_known(service_name, reason, inputs):
            return
        self._written_by_service[service_name] = _Written(
            reason, inputs.reading, inputs.answering, Deadline.after(REPEAT_SECONDS)
        )
        extra = {
            "service": service_name,
            "reason": reason,
            "reading": inputs.reading,
            "answering": inputs.answering,
            "changing": inputs.changing,
            "kept_readers": inputs.kept_readers,
            "useful_readers": inputs.useful_readers,
            "readers_at_least": inputs.readers_at_least,
            "busiest_readers": inputs.busiest_readers,
            "steadily_busy_readers": inputs.steadily_busy_readers,
            "reading_share": inputs.reading_share,
            "lacks_memory": inputs.lacks_memory,
            "waited": inputs.waited,
        }
        logger.info("no engine ordered", extra=extra)

    def _is_known(
        self, service_name: str, reason: NoOrderReason, inputs: BalanceInputs
    ) -> bool:
        written = self._written_by_service.get(service_name)
        if written is None or written.until.expired:
            return False
        told = (written.reason, written.reading, written.answering)
        return told == (reason, inputs.reading, inputs.answering)
