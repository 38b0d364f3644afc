"""The records of a home for endpoints, grants and waiting requests."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from jujubeslip.endpoints import EndpointStatus
from jujubeslip.homes._estimates import LinearEstimate
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import (
    Announcement,
    EndpointRef,
    EndpointRole,
    ReserveReply,
    ReserveRequest,
)

# The highest priority, served first.
URGENT = 0
# How long a status is valid, in seconds. A leaving endpoint must get no new requests
# after 3 s even if its home is not notified, so the lifetime is shorter than that.
STATUS_LIFETIME_SECONDS = 2.0
ANNOUNCEMENT_LIFETIME_SECONDS = 5.0
# How long a failed endpoint is skipped, in seconds; doubled on each further failure.
EJECTION_SECONDS = 0.5
MAXIMUM_EJECTION_SECONDS = 10.0
OVERDUE_SHARE = 0.25
MINIMUM_OVERDUE_SECONDS = 0.05
START_PREFILL_SECONDS_PER_TOKEN = 0.0001


class EndpointRecord:
    """The state of one endpoint at its home; changed only with the pool's lock held."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.announced_until = Deadline.after(ANNOUNCEMENT_LIFETIME_SECONDS)
        self.usable_until = Deadline.after(0)
        self.status: EndpointStatus | None = None
        self.status_requested_at = 0.0
        self.prefill_seconds = LinearEstimate(START_PREFILL_SECONDS_PER_TOKEN)
        self.last_prefill_finished_at = 0.0
        self.prefill_grants: dict[str, GrantRecord] = {}
        # Grants whose KV cache has not been transferred from this prefill endpoint yet.
        self.transfer_grants: dict[str, GrantRecord] = {}
        self.decode_grants: dict[str, GrantRecord] = {}
        # The number of requests that the endpoint holds without a grant of this home.
        self.foreign_requests = 0
        self.failures = 0
        self.ejected_until = Deadline.after(0)

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return self.announcement.endpoint_id

    @property
    def incarnation(self) -> int:
        """Return the endpoint's incarnation."""
        return int(self.announcement.incarnation)

    @property
    def role(self) -> EndpointRole:
        """Return the last reported role, or the announced one without a status."""
        return self.status.role if self.status else self.announcement.role

    @property
    def slots(self) -> int:
        """Return how many requests fit into the endpoint's memory."""
        return self.status.slots if self.status else self.announcement.slots

    @property
    def reference(self) -> EndpointRef:
        """Return the reference with which an entry host calls the endpoint."""
        return EndpointRef(
            self.endpoint_id, self.announcement.incarnation, self.announcement.address
        )

    @property
    def in_use(self) -> bool:
        """Return whether the endpoint holds requests, by its status or by grants."""
        held = self.status.held if self.status else ()
        return bool(held or self.decode_grants or self.transfer_grants)

    @property
    def usable(self) -> bool:
        """Return whether the endpoint may get new requests now."""
        return self.is_usable(steady_seconds())

    def is_usable(self, now: float) -> bool:
        """Return whether the endpoint may get new requests at the time `now`.

        This requires a recent status of the endpoint itself. An old announcement that
        arrives after the endpoint left does not make it usable again, since its status
        is "leaving" or missing.
        """
        return not self.announcement.leaving and self.usable_until.timestamp > now

    def prefill_backlog(self, now: float) -> float:
        """Return the forecast seconds until the granted prefills end."""
        if not self.prefill_grants:
            return 0.0
        latest = max(
            grant.prefill_ends.timestamp for grant in self.prefill_grants.values()
        )
        return max(0.0, latest - now)

    def link_free_time(self, now: float) -> float:
        """Return the forecast time at which the link has sent all granted KV caches."""
        free = now
        grants = self.transfer_grants.values()
        for grant in sorted(grants, key=lambda item: item.prefill_ends):
            free = max(free, grant.prefill_ends.timestamp) + grant.transfer_left(now)
        return free

    def free_slots_at(self, at_time: float, now: float) -> int:
        """Return the forecast number of free slots at `at_time`."""
        used = self.foreign_requests
        for grant in self.decode_grants.values():
            if grant.release_time(now) > at_time:
                used += 1
        return self.slots - used

    def observe(self, status: EndpointStatus, requested_at: float) -> None:
        """Record a status; its lifetime starts when it was requested."""
        self.status = status
        self.status_requested_at = requested_at
        if status.leaving or status.incarnation != self.announcement.incarnation:
            self.usable_until = Deadline(requested_at)
            return
        self.usable_until = Deadline(requested_at + STATUS_LIFETIME_SECONDS)

    def record_failure(self) -> None:
        """Skip the endpoint for some time; longer after each consecutive failure."""
        self.failures += 1
        seconds = EJECTION_SECONDS * 2 ** (self.failures - 1)
        self.ejected_until = Deadline.after(min(seconds, MAXIMUM_EJECTION_SECONDS))

    def record_success(self) -> None:
        """Remove one failure, so that recovery is as gradual as ejection."""
        self.failures = max(0, self.failures - 1)


@dataclass
class GrantRecord:
    """Capacity granted to one attempt; times are of the monotonic clock."""

    grant_id: str
    request: ReserveRequest
    prefill_id: str
    decode_id: str
    prefill_ends: Deadline
    transfer_seconds: float
    releases_at: Deadline
    prefill_finished: bool = False
    transfer_finished_at: float = 0.0
    granted_at: float = field(default_factory=steady_seconds)
    progressed_at: float = field(default_factory=steady_seconds)

    def transfer_left(self, now: float) -> float:
        """Return the forecast transfer seconds that remain once it has begun."""
        if not self.prefill_finished:
            return self.transfer_seconds
        return max(0.0, self.progressed_at + self.transfer_seconds - now)

    def release_time(self, now: float) -> float:
        """Return the forecast time at which the decode slot becomes free.

        A grant that exceeded its forecast is expected to last longer by a fixed share
        of its planned duration, counted from `now` at each call.
        """
        if self.releases_at.timestamp > now:
            return self.releases_at.timestamp
        planned = self.releases_at.timestamp - self.granted_at
        return now + max(MINIMUM_OVERDUE_SECONDS, OVERDUE_SHARE * planned)

    @property
    def key(self) -> tuple[str, int]:
        """Return the request id and attempt that the grant is for."""
        return (self.request.request_id, self.request.attempt)


class Waiter:
    """A request in the home's queue, with its reply once there is one."""

    def __init__(self, request: ReserveRequest) -> None:
        self.request = request
        self.first_token_by = Deadline.from_remaining_ms(
            request.first_token_remaining_ms
        )
        self.wait_until = Deadline.from_remaining_ms(request.wait_remaining_ms)
        self.polled_until = Deadline.after(0)
        self.arrived_at = steady_seconds()
        self.reply: ReserveReply | None = None
        self.answered = threading.Event()

    @property
    def order(self) -> tuple[int, float, float]:
        """Return the sort key of the queue: priority, then deadline, then arrival."""
        return (
            self.request.priority,
            self.first_token_by.timestamp,
            self.arrived_at,
        )

    def answer(self, reply: ReserveReply) -> None:
        """Set the reply and wake the thread that waits for it."""
        self.reply = reply
        self.answered.set()
