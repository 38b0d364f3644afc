"""What is left of each account's limit, at the leader; knows no clock or thread.

The load that it answers: one account sends many times its usual, at one host or at
all, while others stay far below their limits. Streams are charged here before they run,
which costs no call of its own, as they ask the leader for an engine anyway. Plain
requests are small: hosts spend first and tell later, until the account is near its
limit.
"""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.accounts._bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# An account is near its limit with less left than this share of its burst: hosts then
# ask before each request. With a burst of a second's rate, half a second's use of the
# whole limit is left at that point, in which every host hears of it.
NEAR_SHARE = 0.5


@dataclass(frozen=True)
class LedgerAnswer:
    """What the leader says of an account."""

    wait: float
    """When to come back, in seconds; 0 where the request may run."""
    near_limit: bool
    """Whether to ask before each request from now on."""


@dataclass
class _Level:
    amount: float
    filled_at: float
    per_second: float

    def unfilled(self, now: float) -> float:
        """Return what would come free since the level was filled, and note that."""
        seconds = max(0.0, now - self.filled_at)
        self.filled_at += seconds
        return seconds * self.per_second


class AccountLedger:
    """The levels of all accounts' limits, for one lead of this host.

    A level is below nothing once hosts have told more than was left; nothing is charged
    until it has come free.
    """

    def __init__(self, bounds: LimitBounds, began_at: float) -> None:
        self._bounds = bounds
        self._began_at = began_at
        self._heard_share = 1.0
        self._level_by_name: dict[str, _Level] = {}

    def set_heard_share(self, share: float, now: float) -> None:
        """Note which share of the hosts the leader hears.

        The others may be cut off and spend their even part of the rate together: what
        comes free here is less by that.
        """
        if share == self._heard_share:
            return
        for level in self._level_by_name.values():
            level.amount += level.unfilled(now) * self._heard_share
        self._heard_share = share

    def charge(
        self, name: str, limit: RateLimit, cost: float, now: float
    ) -> LedgerAnswer:
        """Charge a request before it runs, if it is within the limit."""
        level = self._filled(name, limit, now)
        needed = min(cost, self._capacity(limit))
        if level.amount < needed:
            return LedgerAnswer((needed - level.amount) / limit.per_second, True)
        level.amount -= cost
        return LedgerAnswer(0.0, self._is_near(level, limit))

    def settle(
        self, name: str, limit: RateLimit, spent: float, now: float
    ) -> LedgerAnswer:
        """Take what a host has spent; below 0 it gives something back."""
        level = self._filled(name, limit, now)
        level.amount = min(level.amount - spent, self._capacity(limit))
        wait = max(0.0, -level.amount / limit.per_second)
        return LedgerAnswer(wait, self._is_near(level, limit))

    def forget(self, name: str) -> None:
        """Drop a limit's level; it begins anew if it is charged again."""
        self._level_by_name.pop(name, None)

    @property
    def names(self) -> list[str]:
        """Return the accounts that asked in this lead."""
        return list(self._level_by_name)

    def left(self, name: str, limit: RateLimit, now: float) -> float:
        """Return what is left of an account's limit, below 0 if too much was told."""
        return self._filled(name, limit, now).amount

    def _filled(self, name: str, limit: RateLimit, now: float) -> _Level:
        level = self._level_by_name.get(name)
        if level is None:
            level = _Level(self._bounds.start, self._began_at, limit.per_second)
            self._level_by_name[name] = level
        level.per_second = limit.per_second
        level.amount += level.unfilled(now) * self._heard_share
        # A limit that was lowered leaves no more than its own burst.
        level.amount = min(self._capacity(limit), level.amount)
        return level

    def _capacity(self, limit: RateLimit) -> float:
        return limit.burst + self._bounds.lump

    def _is_near(self, level: _Level, limit: RateLimit) -> bool:
        return level.amount < NEAR_SHARE * limit.burst
