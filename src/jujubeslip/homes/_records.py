"""What a home keeps for each endpoint, each grant and each waiting request."""

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

# The priority that is served first.
URGENT = 0
# A status is relied on for this long, in seconds. A leaving endpoint must get no new
# work after 3 s even when nobody tells its home, so this stays below that.
STATUS_LIFETIME = 2.0
ANNOUNCEMENT_LIFETIME = 5.0
# A failed endpoint is passed over for this long, doubled on each further failure.
EJECTION_SECONDS = 0.5
MAXIMUM_EJECTION_SECONDS = 10.0
OVERDUE_SHARE = 0.25
MINIMUM_OVERDUE_SECONDS = 0.05
START_PREFILL_SECONDS_PER_TOKEN = 0.0001


class EndpointRecord:
    """One endpoint as its home knows it; changed under the pool's lock only."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.announced_until = Deadline.after(ANNOUNCEMENT_LIFETIME)
        self.usable_until = Deadline.after(0)
        self.status: EndpointStatus | None = None
        self.status_asked_at = 0.0
        self.prefill_seconds = LinearEstimate(START_PREFILL_SECONDS_PER_TOKEN)
        self.last_prefill_finished_at = 0.0
        self.prefill_grants: dict[str, GrantRecord] = {}
        # Those whose KV cache has not left this prefill endpoint yet.
        self.transfer_grants: dict[str, GrantRecord] = {}
        self.decode_grants: dict[str, GrantRecord] = {}
        # What it holds that no grant of this home accounts for.
        self.strangers = 0
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
        """Return the role that the endpoint itself last reported."""
        return self.status.role if self.status else self.announcement.role

    @property
    def slots(self) -> int:
        """Return how many requests the endpoint's memory has room for."""
        return self.status.slots if self.status else self.announcement.slots

    @property
    def reference(self) -> EndpointRef:
        """Return what an entry host needs to call the endpoint."""
        return EndpointRef(
            self.endpoint_id, self.announcement.incarnation, self.announcement.address
        )

    @property
    def in_use(self) -> bool:
        """Say whether the endpoint holds anything, by its own word or by grants."""
        held = self.status.held if self.status else ()
        return bool(held or self.decode_grants or self.transfer_grants)

    @property
    def usable(self) -> bool:
        """Say whether new work may go there now."""
        return self.is_usable(steady_seconds())

    def is_usable(self, now: float) -> bool:
        """Say whether new work may go there at an instant.

        The endpoint itself must have said so lately: an old announcement that arrives
        after the endpoint left can't bring it back, since its status says "leaving"
        or there is none.
        """
        return not self.announcement.leaving and self.usable_until.instant > now

    def prefill_backlog(self, now: float) -> float:
        """Return the seconds until the granted prefills are forecast to end."""
        if not self.prefill_grants:
            return 0.0
        latest = max(
            grant.prefill_ends.instant for grant in self.prefill_grants.values()
        )
        return max(0.0, latest - now)

    def link_free_instant(self, now: float) -> float:
        """Return when the endpoint's link is forecast to have sent what is granted."""
        free = now
        grants = self.transfer_grants.values()
        for grant in sorted(grants, key=lambda item: item.prefill_ends):
            free = max(free, grant.prefill_ends.instant) + grant.transfer_left(now)
        return free

    def free_slots_at(self, instant: float, now: float) -> int:
        """Return how many slots are forecast to be free at an instant."""
        used = self.strangers
        for grant in self.decode_grants.values():
            if grant.release_instant(now) > instant:
                used += 1
        return self.slots - used

    def observe(self, status: EndpointStatus, asked_at: float) -> None:
        """Take over a status; its lifetime counts from when it was asked for."""
        self.status = status
        self.status_asked_at = asked_at
        if status.leaving or status.incarnation != self.announcement.incarnation:
            self.usable_until = Deadline(asked_at)
            return
        self.usable_until = Deadline(asked_at + STATUS_LIFETIME)

    def failed(self) -> None:
        """Pass the endpoint over for a while; longer after each failure in a row."""
        self.failures += 1
        seconds = EJECTION_SECONDS * 2 ** (self.failures - 1)
        self.ejected_until = Deadline.after(min(seconds, MAXIMUM_EJECTION_SECONDS))

    def succeeded(self) -> None:
        """Forget one failure; the way back is as gradual as the way out."""
        self.failures = max(0, self.failures - 1)


@dataclass
class GrantRecord:
    """Capacity given to one attempt; instants are of the monotonic clock."""

    grant_id: str
    request: ReserveRequest
    prefill_id: str
    decode_id: str
    prefill_ends: Deadline
    transfer_seconds: float
    releases: Deadline
    prefill_finished: bool = False
    transfer_finished_at: float = 0.0
    granted_at: float = field(default_factory=steady_seconds)
    progressed_at: float = field(default_factory=steady_seconds)

    def transfer_left(self, now: float) -> float:
        """Return the seconds that the transfer still takes once it has begun."""
        if not self.prefill_finished:
            return self.transfer_seconds
        return max(0.0, self.progressed_at + self.transfer_seconds - now)

    def release_instant(self, now: float) -> float:
        """Return when the decode slot is forecast to be free.

        A grant that passed its forecast is expected to last a share longer, each time.
        """
        if self.releases.instant > now:
            return self.releases.instant
        planned = self.releases.instant - self.granted_at
        return now + max(MINIMUM_OVERDUE_SECONDS, OVERDUE_SHARE * planned)

    @property
    def key(self) -> tuple[str, int]:
        """Return the attempt that the grant is for."""
        return (self.request.request_id, self.request.attempt)


class Waiter:
    """A request in the home's queue, and the reply once there is one."""

    def __init__(self, request: ReserveRequest) -> None:
        self.request = request
        self.first_token_by = Deadline.from_remaining_ms(
            request.first_token_remaining_ms
        )
        self.wait_until = Deadline.from_remaining_ms(request.wait_remaining_ms)
        self.asked_until = Deadline.after(0)
        self.arrived_at = steady_seconds()
        self.reply: ReserveReply | None = None
        self.answered = threading.Event()

    @property
    def order(self) -> tuple[int, float, float]:
        """Return the place in the queue: priority, then deadline, then arrival."""
        return (
            self.request.priority,
            self.first_token_by.instant,
            self.arrived_at,
        )

    def answer(self, reply: ReserveReply) -> None:
        """Set the reply and wake the task that waits for it."""
        self.reply = reply
        self.answered.set()
