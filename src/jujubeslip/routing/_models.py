"""The router interface with its requests and replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from jujubeslip.declaration import Service, Spread
from jujubeslip.kernel import Deadline
from jujubeslip.peers import Announcement, Grant, GrantProgress, ReserveRequest


@dataclass(frozen=True)
class ReservationRequest:
    """A request for endpoints for one attempt."""

    request_id: str
    attempt: int
    service: Service
    spread: Spread
    priority: int
    first_token_by: Deadline
    wait_until: Deadline
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[str, ...] = ()
    avoid_endpoint_ids: tuple[str, ...] = ()
    prefill_endpoint_id: str = ""
    plain: bool = False


@dataclass(frozen=True)
class Reservation:
    """Endpoints for one attempt, and the home that granted them ("" for none)."""

    grant: Grant
    home_address: str


@dataclass(frozen=True)
class Forecast:
    """The current queue wait and load of a service, for use in rules."""

    queue_wait_ms: int
    load: float


class Router(Protocol):
    """Assigns endpoints to requests; one implementation per kind of policy."""

    def reserve(
        self, request: ReservationRequest, interrupted: Callable[[], bool]
    ) -> Reservation:
        """Return endpoints, or raise RequestRefusedError with `ran` NO."""

    def report(self, reservation: Reservation, progress: GrantProgress) -> None:
        """Report progress to the home that made the grant, without waiting."""

    def announce(self, announcement: Announcement) -> None:
        """Send an endpoint's announcement to the hosts that choose endpoints."""

    def forecast(self, service_name: str) -> Forecast:
        """Return the current forecast for a service."""


def to_reserve_request(
    request: ReservationRequest, owner: str, locality: str
) -> ReserveRequest:
    """Return the message to a home, with the remaining time of each deadline."""
    return ReserveRequest(
        request_id=request.request_id,
        attempt=request.attempt,
        owner=owner,
        service_name=request.service.name,
        priority=request.priority,
        first_token_remaining_ms=request.first_token_by.remaining_ms(),
        wait_remaining_ms=request.wait_until.remaining_ms(),
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        prefix_hashes=list(request.prefix_hashes),
        avoid_endpoint_ids=list(request.avoid_endpoint_ids),
        prefill_endpoint_id=request.prefill_endpoint_id,
        traceparent="",
        place=locality,
        plain=request.plain,
    )
