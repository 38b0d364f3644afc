"""What a host knows of the latest start of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRecord, EndpointRole

MILLISECONDS = 1000
# A removal that does not say which start it is for holds until the start is heard
# longer than this after it, in seconds. An endpoint that did remove itself serves on
# for some seconds, may announce itself meanwhile, and its last announcement may come
# seconds late; taken back before that, it would get requests while it exits.
REMOVAL_SECONDS = 12.0


@dataclass(frozen=True)
class Endpoint:
    """One start of an endpoint, as it announced itself.

    A process may start again under the id that it had. It then knows nothing of what
    it was sent before, and its sequence starts anew: whatever belongs to one start is
    kept by `start_id`, never by the id alone.
    """

    endpoint_id: str
    service_name: str
    address: str
    """IP:port at which it serves."""
    availability_zone: str
    sequence: int
    """Grows with each announcement; tells a late one from a newer one."""
    leaving: bool
    """Said that it takes no new work; never false again for this start."""
    slots: int
    """Requests that it works on at a time."""
    role: EndpointRole
    heard_at: float
    """When its announcement reached the host that took it, by this host's clock."""
    slow_until: Deadline
    """Until when it says that it is slow after its start."""
    started_at_ms: int = 0
    """When it started, by its own clock since 1970; 0 if it doesn't say."""
    restarted: bool = False
    """Whether an earlier start under its id is known."""
    removed_at: float | None = None
    """When a removal of its id came that did not say which start it was for."""

    @property
    def start_id(self) -> str:
        """Name this start; another one under the same id has another name."""
        if not self.started_at_ms:
            return self.endpoint_id
        return f"{self.endpoint_id}/{self.started_at_ms}"

    def may_be(self, started_at_ms: int) -> bool:
        """Say whether something that tells this start may come from this one.

        With 0 it doesn't tell, and an endpoint that doesn't tell its start has none
        to compare with.
        """
        told_by_both = started_at_ms and self.started_at_ms
        return not told_by_both or started_at_ms == self.started_at_ms

    @property
    def stays(self) -> bool:
        """Say whether it may be given work: it neither left nor was removed.

        A removal that names no start may be the late one of an earlier start. Held for
        good against a start that goes on announcing itself, it would keep that one out
        as long as it runs. A start that has no earlier one was meant for sure.
        """
        if self.leaving:
            return False
        if self.removed_at is None:
            return True
        return self.restarted and self.heard_at > self.removed_at + REMOVAL_SECONDS


def endpoint_from_record(record: EndpointRecord) -> Endpoint:
    """Return what another host tells, in instants of this host's clock."""
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
    """Return what this host tells others of the endpoint."""
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
