"""The model of one start of an endpoint, and its form in messages between hosts."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRecord, EndpointRole

MILLISECONDS = 1000
# A removal that doesn't name its start applies until the start is heard from more than
# this much later, in seconds. An endpoint that removed itself keeps serving for some
# seconds, may announce itself meanwhile, and its last announcement may arrive seconds
# late; if it were put back into service earlier, it would get requests while it exits.
REMOVAL_SECONDS = 12.0


@dataclass(frozen=True)
class Endpoint:
    """One start of an endpoint, as it announced itself.

    A process may start again with the same id. It then has no knowledge of earlier
    requests, and its sequence starts again: everything that belongs to one start is
    keyed by `start_id`, never by the id alone.
    """

    endpoint_id: str
    service_name: str
    address: str
    """IP:port at which it serves."""
    availability_zone: str
    sequence: int
    """Increases with each announcement; distinguishes late ones from newer ones."""
    leaving: bool
    """Whether it announced that it accepts no new work; never reset for this start."""
    slots: int
    """Maximum number of concurrent requests."""
    role: EndpointRole
    heard_at: float
    """When the host that received its announcement got it, on this host's clock."""
    slow_until: Deadline
    """Until when it is slow after its start, as it announced."""
    started_at_ms: int = 0
    """When it started, on its own clock since 1970; 0 if not reported."""
    restarted: bool = False
    """Whether an earlier start with its id is known."""
    removed_at: float | None = None
    """When a removal of its id arrived that named no start."""

    @property
    def start_id(self) -> str:
        """Return the id of this start; other starts of the endpoint have other ids."""
        if not self.started_at_ms:
            return self.endpoint_id
        return f"{self.endpoint_id}/{self.started_at_ms}"

    def matches_start(self, started_at_ms: int) -> bool:
        """Return whether a message with this start time may come from this start.

        A message with 0 names no start, and an endpoint that doesn't report its start
        time has none to compare with, so both match.
        """
        both_known = started_at_ms and self.started_at_ms
        return not both_known or started_at_ms == self.started_at_ms

    @property
    def accepts_work(self) -> bool:
        """Return whether it accepts work: it is neither leaving nor removed.

        A removal that names no start may be a delayed one of an earlier start. If it
        applied permanently to a start that keeps announcing itself, that start would
        get no work as long as it runs. If there is no earlier start, the removal is
        certainly meant for this one.
        """
        if self.leaving:
            return False
        if self.removed_at is None:
            return True
        return self.restarted and self.heard_at > self.removed_at + REMOVAL_SECONDS


@dataclass(frozen=True)
class RelayHost:
    """An entry host that relays requests of hosts that reach no endpoint."""

    host_id: str
    address: str
    """IP:port at which it takes them."""
    availability_zone: str


def endpoint_from_record(record: EndpointRecord) -> Endpoint:
    """Return the endpoint of a record, with times converted to this host's clock."""
    now = steady_seconds()
    removed_ago = record.removed_ago_ms
    return Endpoint(
        endpoint_id=record.endpoint_id,
        service_name=record.service_name,
        address=record.address,
        availability_zone=record.availability_zone,
        sequence=record.sequence,
        leaving=record.leaving,
        slots=record.slots,
        role=EndpointRole(record.role),
        heard_at=now - record.silent_ms / MILLISECONDS,
        slow_until=Deadline.from_remaining_ms(record.cold_remaining_ms),
        started_at_ms=record.started_at_ms or 0,
        restarted=bool(record.restarted),
        removed_at=None if removed_ago is None else now - removed_ago / MILLISECONDS,
    )


def to_record(endpoint: Endpoint) -> EndpointRecord:
    """Return the record that reports the endpoint to other hosts."""
    now = steady_seconds()
    silent = now - endpoint.heard_at
    removed_at = endpoint.removed_at
    return EndpointRecord(
        endpoint.endpoint_id,
        endpoint.service_name,
        endpoint.address,
        endpoint.availability_zone,
        endpoint.sequence,
        endpoint.leaving,
        endpoint.slots,
        endpoint.role,
        int(silent * MILLISECONDS),
        endpoint.slow_until.remaining_ms(),
        endpoint.started_at_ms,
        endpoint.restarted,
        None if removed_at is None else int((now - removed_at) * MILLISECONDS),
    )
