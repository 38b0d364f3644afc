"""How far all hosts together may go beyond an account's limit, and who may use it."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.accounts._models import RateLimit

# What hosts may have spent and not told the leader, as a share of the slack. It counts
# four times: at the end of a window it is not charged yet; told all at once it takes
# the ledger as far below nothing; it is lost with a host's process; and the processes
# that it starts in a window lose as much at most together, as their parts grow slowly.
UNTOLD_SHARE = 0.125
# What a ledger holds beyond the burst, as a share of the slack: requests of thousands
# of tokens come in lumps, and an account below its limit is not to be refused for that.
LUMP_SHARE = 0.125
# What a new leader's ledger starts with, as a share of the slack: it knows nothing of
# what the one before let run, and refuses little with this until more has come free.
START_SHARE = 0.25
# What hosts that find no leader may spend together, as a share of the slack, beside all
# of the overage. With the shares above the whole margin is given out.
ALONE_SHARE = 0.125


@dataclass(frozen=True)
class LimitBounds:
    """What may run beyond a limit in any window, over all hosts, in its unit."""

    window_seconds: float
    overage: float
    """Share of what the limit allows in a window."""
    slack: float
    """Amount beyond that."""

    @property
    def lump(self) -> float:
        """Return what a ledger holds beyond the burst."""
        return self.slack * LUMP_SHARE

    @property
    def start(self) -> float:
        """Return what a new leader's ledger starts with."""
        return self.slack * START_SHARE

    def untold(self, hosts: int) -> float:
        """Return what each of so many hosts may have spent and not told."""
        return self.slack * UNTOLD_SHARE / max(1, hosts)

    def alone(self, limit: RateLimit, hosts: int) -> float:
        """Return the part of each of so many hosts while they find no leader."""
        allowed = limit.per_second * self.window_seconds + limit.burst
        kept_back = self.overage * allowed + ALONE_SHARE * self.slack
        return kept_back / max(1, hosts)

    def most(self, limit: RateLimit) -> float:
        """Return what may run at most in any window."""
        allowed = limit.per_second * self.window_seconds + limit.burst
        return (1 + self.overage) * allowed + self.slack
