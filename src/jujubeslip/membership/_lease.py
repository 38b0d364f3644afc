"""The lease that limits how long a host relies on its view of the others."""

from __future__ import annotations

from jujubeslip.kernel import Deadline
from jujubeslip.peers import HostStatus

# Seconds without any answer from a peer until the view expires.
LEASE_SECONDS = 2.0
# Seconds without any answer, on a host that is not frozen, until all others count as
# dead.
ISOLATED_AFTER_SECONDS = 3.0
# Seconds between two ticks after which the host counts as having been frozen.
FROZEN_AFTER_SECONDS = 1.5
# Seconds after which the list of a peer whose own view is invalid is accepted. If all
# peers have missed updates, as after a stall of all of them, this host's previous view
# is restored then, and probes correct it.
ACCEPT_INCOMPLETE_AFTER_SECONDS = 1.0


class ViewLease:
    """A lease on the view, renewed by peers' answers.

    A frozen host receives nothing, and updates are sent only for a short time. After it
    resumes, any part of its view may be wrong, and its callers would use hosts that
    died or lost their homes. So a view that is not renewed in time expires, and only a
    full exchange with a peer restores it. The tick's deadline is checked on each read
    as well, since a task may read the view before the first tick after a freeze.
    """

    def __init__(self) -> None:
        self.view_expired = True
        self._valid_until = Deadline.after(0)
        self._frozen_at = Deadline.after(FROZEN_AFTER_SECONDS)
        self._isolated_at = Deadline.after(ISOLATED_AFTER_SECONDS)
        self._accept_incomplete_at = Deadline.after(0)

    @property
    def valid(self) -> bool:
        """Return whether the view may be relied on."""
        late = self._frozen_at.expired or self._valid_until.expired
        return not self.view_expired and not late

    @property
    def best_status(self) -> HostStatus:
        """Return the best status that any other host may have at this time."""
        if self.valid:
            return HostStatus.ALIVE
        if self._frozen_at.expired or not self._isolated_at.expired:
            return HostStatus.SUSPECT
        return HostStatus.DEAD

    def tick(self) -> None:
        """Detect a freeze or a silence; called several times a second."""
        if self._frozen_at.expired:
            self._isolated_at = Deadline.after(ISOLATED_AFTER_SECONDS)
            self._expire_view()
        elif self._valid_until.expired and not self.view_expired:
            self._expire_view()
        self._frozen_at = Deadline.after(FROZEN_AFTER_SECONDS)

    def _expire_view(self) -> None:
        self.view_expired = True
        self._accept_incomplete_at = Deadline.after(ACCEPT_INCOMPLETE_AFTER_SECONDS)

    def renew(self, asked_at: float) -> None:
        """Renew the lease by an answer to a call that was sent at this time."""
        self._isolated_at = Deadline(asked_at + ISOLATED_AFTER_SECONDS)
        if self.valid:
            self._extend(asked_at)

    def restore(self, asked_at: float, complete: bool) -> bool:
        """Apply a full exchange and return whether the view is valid again.

        `complete` means that the peer's own view is valid.
        """
        if not complete and not self._accept_incomplete_at.expired:
            return False
        self.view_expired = False
        self._isolated_at = Deadline(asked_at + ISOLATED_AFTER_SECONDS)
        self._extend(asked_at)
        return True

    def _extend(self, asked_at: float) -> None:
        renewed = Deadline(asked_at + LEASE_SECONDS)
        self._valid_until = max(self._valid_until, renewed)
