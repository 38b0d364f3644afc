"""What one start of an endpoint has said of itself, and what follows from it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import Deadline

# How long a limit is kept that the endpoint neither names again nor lifts, in seconds.
KEPT_SECONDS = 60.0
LONG_AGO = float("-inf")


class HoldReason(Enum):
    """Why an endpoint is given no requests."""

    LIMIT = "limit"
    """All hosts together have used the limit that it named."""
    REST = "rest"
    """It turned a request of this host away, and asked for a pause."""
    LEAVING = "leaving"
    """It said that it is shutting down."""


@dataclass(frozen=True)
class Hold:
    """An endpoint is given no requests by this host now."""

    reason: HoldReason
    until: Deadline | None
    """When it may be asked again; None if this start never may."""


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


@dataclass(frozen=True)
class Notice:
    """All that one start of an endpoint has said and not taken back."""

    limit: NamedLimit | None = None
    rest_until: Deadline = Deadline(LONG_AGO)
    """When the pause ends that it asked this host for."""
    is_leaving: bool = False
    heard_at: float = LONG_AGO
    """When it last said any of this, in seconds of this host's clock."""

    def with_head(self, head: EndpointHead, now: float) -> Notice:
        """Return the notice with what an answer adds to it.

        A pause is never shortened: it holds for as long as any answer asked for.
        """
        rest_until = Deadline(now + head.rest_seconds)
        return replace(
            self,
            rest_until=max(self.rest_until, rest_until),
            is_leaving=self.is_leaving or head.is_leaving,
            heard_at=now if head.rest_seconds or head.is_leaving else self.heard_at,
        )

    def with_limit(self, per_second: float | None, now: float) -> Notice:
        """Return the notice with the limit that an answer names, or without one."""
        if per_second is None:
            return replace(self, limit=None)
        return replace(self, limit=NamedLimit(per_second, now), heard_at=now)

    @property
    def hold(self) -> Hold | None:
        """Return why the endpoint may not be asked whatever its limit, if so."""
        if self.is_leaving:
            return Hold(HoldReason.LEAVING, None)
        if not self.rest_until.expired:
            return Hold(HoldReason.REST, self.rest_until)
        return None

    def can_be_dropped(self, is_known: bool) -> bool:
        """Say whether nothing of it counts any more.

        What a start has said counts as long as the start may be given requests.
        """
        if self.limit is not None:
            return False
        if is_known:
            return self.hold is None
        return Deadline(self.heard_at + KEPT_SECONDS).expired
