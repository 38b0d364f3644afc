"""Bounds on how far all hosts together may exceed an account's limit."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.accounts._models import RateLimit

# The cost that hosts may have spent without reporting it, as a share of the slack. It
# counts four times: it is not charged yet at the end of a window; reported all at once,
# it takes the ledger as far below 0; it is lost when a host's process ends; and the
# processes that the host starts in a window lose at most as much together, since their
# bounds grow slowly.
UNREPORTED_SHARE = 0.125
# The capacity of a ledger beyond the burst, as a share of the slack. Requests of
# thousands of tokens arrive unevenly, and an account below its limit must not be
# refused for that.
EXTRA_BURST_SHARE = 0.125
# The initial level of a new leader's ledger, as a share of the slack. The new leader
# does not know what the previous one admitted; with this level, it refuses few requests
# until the ledger refills.
INITIAL_LEVEL_SHARE = 0.25
# The cost that hosts without a leader may spend together, as a share of the slack, in
# addition to the whole overage. With the shares above, this uses up the whole slack.
LEADERLESS_SHARE = 0.125


@dataclass(frozen=True)
class LimitBounds:
    """The excess over a limit allowed in any window over all hosts, in its unit."""

    window_seconds: float
    overage: float
    """Allowed excess, as a share of what the limit allows in a window."""
    slack: float
    """Allowed excess beyond the overage, as an amount."""

    @property
    def extra_burst(self) -> float:
        """Return the capacity of a ledger beyond the burst."""
        return self.slack * EXTRA_BURST_SHARE

    @property
    def initial_level(self) -> float:
        """Return the initial level of a new leader's ledger."""
        return self.slack * INITIAL_LEVEL_SHARE

    def unreported(self, hosts: int) -> float:
        """Return the cost that each of `hosts` may have spent without reporting it."""
        return self.slack * UNREPORTED_SHARE / max(1, hosts)

    def leaderless_share(self, limit: RateLimit, hosts: int) -> float:
        """Return the share of each of `hosts` while there is no leader."""
        allowed = limit.per_second * self.window_seconds + limit.burst
        reserved = self.overage * allowed + LEADERLESS_SHARE * self.slack
        return reserved / max(1, hosts)

    def most(self, limit: RateLimit) -> float:
        """Return the maximum cost that may run in any window."""
        allowed = limit.per_second * self.window_seconds + limit.burst
        return (1 + self.overage) * allowed + self.slack
