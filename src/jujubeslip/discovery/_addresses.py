"""Which endpoint still serves at an address that another one has announced, too.

An endpoint that crashed says nothing. Its address is soon given to another one, which
answers reports in its place, and an announcement of the earlier one may still arrive:
taken for alive, it gets requests whose prompts are read first, and that the new one
then refuses.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.discovery._models import Endpoint

# How late an announcement may arrive, in seconds. One that is heard again later than
# this after another one came to its address does run: it isn't put out of service.
LATE_SECONDS = 5.0


@dataclass(frozen=True)
class AddressClaim:
    """A start of an endpoint, and since when it is known at its address."""

    endpoint: Endpoint
    since: float
    """By the steady clock of the host that knows it, in seconds."""


def has_lost_address(claim: AddressClaim, others: Iterable[AddressClaim]) -> bool:
    """Say whether another endpoint has taken the address of this one."""
    return any(_is_taken_by(claim, other) for other in others)


def _is_taken_by(claim: AddressClaim, other: AddressClaim) -> bool:
    if other.endpoint.endpoint_id == claim.endpoint.endpoint_id:
        return False
    heard_at = claim.endpoint.heard_at
    if other.since == claim.since:
        # A host that has just started hears of both at once.
        return heard_at + LATE_SECONDS < other.endpoint.heard_at
    return other.since > claim.since and heard_at <= other.since + LATE_SECONDS
