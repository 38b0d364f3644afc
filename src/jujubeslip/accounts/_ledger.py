"""The leader's ledger of account limits.

It keeps accounts to their limits when one of them sends many times its usual load, at
one host or at all, while others stay far below their limits. Streams are charged here
before they run, which needs no separate call, since they request an engine from the
leader anyway. Plain requests are small: hosts spend first and report later, until the
account is near its limit. The ledger has no clock and no lock; callers pass the time
and synchronize access.
"""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# An account is near its limit when less than this share of its burst is left; hosts
# then ask the leader before each request. With a burst of one second's rate, half a
# second of the whole limit is left at that point, in which every host is notified.
NEAR_SHARE = 0.5


@dataclass(frozen=True)
class LedgerAnswer:
    """The leader's reply about an account."""

    wait: float
    """Seconds until a retry; 0 if the request may run."""
    near_limit: bool
    """Whether hosts have to ask the leader before each request."""


@dataclass
class _Level:
    amount: float
    updated_at: float
    per_second: float

    def refill(self, now: float) -> float:
        """Return the amount that became free since the last update; set the time."""
        seconds = max(0.0, now - self.updated_at)
        self.updated_at += seconds
        return seconds * self.per_second


class AccountLedger:
    """The levels of all accounts' limits, for one term of this host as leader.

    A level is below 0 after hosts have reported more than was left; no request is
    charged until it has refilled.
    """

    def __init__(self, bounds: LimitBounds, began_at: float) -> None:
        self._bounds = bounds
        self._began_at = began_at
        self._heard_share = 1.0
        self._level_by_name: dict[str, _Level] = {}

    def set_heard_share(self, share: float, now: float) -> None:
        """Set the share of the hosts that the leader hears from.

        The other hosts may be partitioned, and spend their equal shares of the rate
        together, so the refill rate here is reduced by these shares.
        """
        if share == self._heard_share:
            return
        for level in self._level_by_name.values():
            level.amount += level.refill(now) * self._heard_share
        self._heard_share = share

    def charge(
        self, name: str, limit: RateLimit, cost: float, now: float
    ) -> LedgerAnswer:
        """Charge a request before it runs, if the limit allows it."""
        level = self._updated_level(name, limit, now)
        needed = min(cost, self._capacity(limit))
        if level.amount < needed:
            return LedgerAnswer((needed - level.amount) / limit.per_second, True)
        level.amount -= cost
        return LedgerAnswer(0.0, self._is_near(level, limit))

    def settle(
        self, name: str, limit: RateLimit, spent: float, now: float
    ) -> LedgerAnswer:
        """Charge the cost that a host has spent; a negative cost is refunded."""
        level = self._updated_level(name, limit, now)
        level.amount = min(level.amount - spent, self._capacity(limit))
        wait = max(0.0, -level.amount / limit.per_second)
        return LedgerAnswer(wait, self._is_near(level, limit))

    def forget(self, name: str) -> None:
        """Remove a limit's level; a later charge starts with the initial level."""
        self._level_by_name.pop(name, None)

    @property
    def names(self) -> list[str]:
        """Return the names of the accounts charged in this term as leader."""
        return list(self._level_by_name)

    def left(self, name: str, limit: RateLimit, now: float) -> float:
        """Return what is left of a limit; below 0 if reports exceeded it."""
        return self._updated_level(name, limit, now).amount

    def _updated_level(self, name: str, limit: RateLimit, now: float) -> _Level:
        level = self._level_by_name.get(name)
        if level is None:
            level = _Level(self._bounds.initial_level, self._began_at, limit.per_second)
            self._level_by_name[name] = level
        level.per_second = limit.per_second
        level.amount += level.refill(now) * self._heard_share
        # A lowered limit leaves at most its new capacity.
        level.amount = min(self._capacity(limit), level.amount)
        return level

    def _capacity(self, limit: RateLimit) -> float:
        return limit.burst + self._bounds.extra_burst

    def _is_near(self, level: _Level, limit: RateLimit) -> bool:
        return level.amount < NEAR_SHARE * limit.burst
