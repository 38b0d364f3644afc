"""A host's record of another host: its announced state and local suspicions."""

from __future__ import annotations

import hashlib
from copy import copy

from jujubeslip.kernel import Deadline
from jujubeslip.peers import HostState, HostStatus

# Seconds in which a suspected host must refute the suspicion, or it counts as dead.
REFUTE_WITHIN_SECONDS = 1.5
# Seconds for which a host is skipped after this host could not reach it.
UNREACHABLE_SECONDS = 2.0
# Seconds after an answer in which another host's suspicion is verified by a probe and
# not adopted. A true suspicion comes later than this after the last answer, since the
# failed probe and the helpers' probes before it take longer.
TRUSTED_AFTER_ANSWER_SECONDS = 0.7
# Seconds for which a dead host's record is kept, so that old gossip can't revive it.
RETENTION_SECONDS = 600.0

HEALTHY_STATUSES = (HostStatus.ALIVE, HostStatus.LEAVING)


class HostRecord:
    """A host's newest announced state, and a suspicion with its deadline.

    `state.status` is ALIVE or LEAVING. Suspicion and death follow this host's own
    deadlines: a death is never adopted from others.
    """

    def __init__(self, state: HostState, address: str | None = None) -> None:
        self.state = copy(state)
        self.address = address or str(state.address)
        self.digest = digest_of(state)
        self.dead = False
        self.dead_at: Deadline | None = None
        self.unreachable_until: Deadline | None = None
        self.trusted_until = Deadline.after(0)
        self.remove_at = Deadline.after(RETENTION_SECONDS)
        if state.status not in HEALTHY_STATUSES:
            self.state.status = HostStatus.ALIVE
            self.suspect()

    @property
    def version(self) -> tuple[int, int]:
        """Return the version by which states of one host are ordered."""
        return (self.state.incarnation, self.state.heartbeat)

    @property
    def status(self) -> HostStatus:
        """Return the host's status as known here."""
        if self.dead:
            return HostStatus.DEAD
        if self.dead_at is not None:
            return HostStatus.SUSPECT
        return HostStatus(self.state.status)

    @property
    def healthy(self) -> bool:
        """Return whether the host is neither suspected nor dead."""
        return not self.dead and self.dead_at is None

    def suspect(self) -> None:
        """Suspect the host, and give it the full time to refute that."""
        self.dead_at = Deadline.after(REFUTE_WITHIN_SECONDS)

    def mark_dead(self) -> None:
        """Mark the host as dead until a newer state replaces this record."""
        self.dead = True
        self.dead_at = None
        self.remove_at = Deadline.after(RETENTION_SECONDS)

    def local_state(self) -> HostState:
        """Return the state with the status and address that this host uses."""
        state = self.gossip_state()
        state.address = self.address
        return state

    def gossip_state(self) -> HostState:
        """Return the state as sent to other hosts."""
        state = copy(self.state)
        state.status = self.status
        return state


def digest_of(state: HostState) -> int:
    """Return one host's contribution to the digest of a view."""
    text = f"{state.host_id}/{state.incarnation}/{state.heartbeat}"
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")
