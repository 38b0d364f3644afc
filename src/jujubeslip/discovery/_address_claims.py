"""Decides which endpoint serves at an address that several have announced.

An endpoint that crashes doesn't sign off. Its address may soon be assigned to another
endpoint, which then answers the report requests meant for the first, while a delayed
announcement of the first may still arrive. If the first were considered alive, requests
for it would be prefilled and then refused by the new endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.discovery._models import Endpoint

# Maximum delay of an announcement, in seconds. An endpoint that is heard from later
# than this after another one claimed its address is still running and stays in service.
MAXIMUM_DELAY_SECONDS = 5.0


@dataclass(frozen=True)
class AddressClaim:
    """One start of an endpoint and the time at which it claimed its address."""

    endpoint: Endpoint
    since: float
    """In seconds, on the steady clock of the host that keeps the claim."""


def has_lost_address(claim: AddressClaim, others: Iterable[AddressClaim]) -> bool:
    """Return whether another endpoint has taken over the address of this one."""
    return any(_is_taken_by(claim, other) for other in others)


def _is_taken_by(claim: AddressClaim, other: AddressClaim) -> bool:
    if other.endpoint.endpoint_id == claim.endpoint.endpoint_id:
        return False
    heard_at = claim.endpoint.heard_at
    if other.since == claim.since:
        # A host that has just started receives both in one update.
        return heard_at + MAXIMUM_DELAY_SECONDS < other.endpoint.heard_at
    return other.since > claim.since and heard_at <= other.since + MAXIMUM_DELAY_SECONDS
