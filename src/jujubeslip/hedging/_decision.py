"""Whether and when a request that has no answer yet is sent a second time.

It answers loads in which a few endpoints are slow while the others have room: a request
at a slow endpoint is answered sooner by another one. It leaves alone loads in which all
are slow or full, because a second send only takes room from other callers there.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class KeptBack(Enum):
    """Why a request that was slow was not sent a second time."""

    ATTEMPTS = "attempts"
    """Its route allows no further endpoint, or it was sent too often."""
    TOO_LATE = "too_late"
    """A second answer would usually come after the target, or the client's deadline."""
    LINKS = "links"
    """The host has lost its own links to endpoints, or the request is relayed."""
    QUARANTINE = "quarantine"
    """An endpoint has crashed on its content or on a part of its prompt."""
    ACCOUNT = "account"
    """Its account is near its limit, or its key was revoked."""
    NO_ROOM = "no_room"
    """The service refused a request lately, or one of its endpoints is on hold."""
    NO_ENDPOINT = "no_endpoint"
    """No other endpoint is healthy and free of this host's requests."""
    THREADS = "threads"
    """As many second sends are under way as the host may run at a time."""
    SHARE = "share"
    """The configured share of second sends, or the bound on repeats, is used up."""


@dataclass(frozen=True)
class SecondSendOptions:
    """The operators' settings."""

    share: float
    """Second sends per request of a service; 0 for none."""
    percentile: float
    """Share of a route's recent answers that must have come sooner."""
    floor_seconds: float
    """The shortest wait before a second send."""

    @property
    def is_enabled(self) -> bool:
        """Return whether there are second sends at all."""
        return self.share > 0


@dataclass(frozen=True)
class Situation:
    """What is known when a request has waited long enough for a second send."""

    has_attempts_left: bool
    seconds_to_target: float
    seconds_to_end: float
    """Until the client's deadline and the end of the route's timeout."""
    usual_seconds: float
    """The time in which half of the route's recent answers came."""
    uses_own_links: bool
    is_suspected: bool
    account_has_room: bool
    refused_lately: bool
    has_holds: bool
    """Whether an endpoint of the service is in backoff or at its limit."""


def wait_before_second_send(
    options: SecondSendOptions, percentile_seconds: float | None
) -> float | None:
    """Return the seconds after the first send, None while too little is known."""
    if not options.is_enabled or percentile_seconds is None:
        return None
    return max(options.floor_seconds, percentile_seconds)


def reason_to_keep_back(situation: Situation) -> KeptBack | None:
    """Return why there is no second send, None if nothing in general is against it."""
    if not situation.has_attempts_left:
        return KeptBack.ATTEMPTS
    time_left = min(situation.seconds_to_target, situation.seconds_to_end)
    if situation.usual_seconds > time_left:
        return KeptBack.TOO_LATE
    if not situation.uses_own_links:
        return KeptBack.LINKS
    if situation.is_suspected:
        return KeptBack.QUARANTINE
    if not situation.account_has_room:
        return KeptBack.ACCOUNT
    if situation.refused_lately or situation.has_holds:
        return KeptBack.NO_ROOM
    return None
