"""Data classes of the notices of endpoints, and of the holds that they cause."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import Deadline

# How long a limit is kept after it was last named, in seconds.
KEPT_SECONDS = 60.0
# The maximum backoff, in seconds; longer ones are reduced to it, since an erroneous
# value must not disable an endpoint permanently.
LONGEST_BACKOFF_SECONDS = 86_400.0
LONG_AGO = float("-inf")
NEVER = Deadline(float("inf"))


class HoldReason(Enum):
    """The reason why an endpoint gets no requests."""

    LIMIT = "limit"
    """All hosts together have used up the limit that it named."""
    BACKOFF = "backoff"
    """It refused a request of this host and asked for a backoff."""
    LEAVING = "leaving"
    """It announced that it is shutting down."""


@dataclass(frozen=True)
class Hold:
    """A period in which this host sends no requests to an endpoint."""

    reason: HoldReason
    until: Deadline
    """When the hold ends; infinite if it holds for the rest of this start."""


@dataclass(frozen=True)
class ServiceHolds:
    """A snapshot of the holds on a service's endpoints."""

    hold_by_start: Mapping[str, Hold | None]

    @property
    def cover_all(self) -> bool:
        """Return whether there are endpoints and all of them are on hold."""
        return bool(self.hold_by_start) and None not in self.hold_by_start.values()

    @property
    def first_to_end(self) -> Hold | None:
        """Return the hold that ends first, or None if no hold ends."""
        holds = [hold for hold in self.hold_by_start.values() if hold is not None]
        first = min(holds, key=lambda hold: hold.until, default=None)
        return first if first is not None and first.until < NEVER else None

    @property
    def starts_in_backoff(self) -> list[str]:
        """Return the starts that have asked this host for backoff."""
        return [
            start_id
            for start_id, hold in self.hold_by_start.items()
            if hold is not None and hold.reason is HoldReason.BACKOFF
        ]


@dataclass(frozen=True)
class NamedLimit:
    """The request rate that an endpoint accepts from all hosts together."""

    per_second: float
    """0 if hosts have reported that the limit was lifted."""
    named_at: float
    """When an answer last named it, in seconds of this host's clock."""

    @property
    def forgotten_at(self) -> Deadline:
        """Return when the limit expires, unless it is named again."""
        return Deadline(self.named_at + KEPT_SECONDS)


@dataclass(frozen=True)
class Notice:
    """The backoff, limit and leaving that one start of an endpoint has announced."""

    limit: NamedLimit | None = None
    backoff_until: Deadline = Deadline(LONG_AGO)
    """The end of the backoff that it asked this host for."""
    is_leaving: bool = False
    received_at: float = LONG_AGO
    """When the last of these was received, in seconds of this host's clock."""

    def with_head(self, head: EndpointHead, now: float) -> Notice:
        """Return the notice updated with the headers of an answer.

        A backoff is never shortened: the latest end that any answer asked for is used.
        """
        seconds = min(LONGEST_BACKOFF_SECONDS, head.backoff_seconds)
        backoff_until = Deadline(now + seconds)
        return replace(
            self,
            backoff_until=max(self.backoff_until, backoff_until),
            is_leaving=self.is_leaving or head.is_leaving,
            received_at=now
            if head.backoff_seconds or head.is_leaving
            else self.received_at,
        )

    def with_limit(self, per_second: float | None, now: float) -> Notice:
        """Return the notice with the given limit, or without a limit for None."""
        if per_second is None:
            return replace(self, limit=None)
        return replace(self, limit=NamedLimit(per_second, now), received_at=now)

    @property
    def hold(self) -> Hold | None:
        """Return the hold that applies regardless of the limit, or None."""
        if self.is_leaving:
            return Hold(HoldReason.LEAVING, NEVER)
        if not self.backoff_until.expired:
            return Hold(HoldReason.BACKOFF, self.backoff_until)
        return None

    @property
    def is_in_effect(self) -> bool:
        """Return whether any part of the notice is still in effect."""
        return self.limit is not None or self.hold is not None
