"""What one host has spent of accounts' limits; knows no clock, thread or leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.accounts._bounds import LimitBounds
from jujubeslip.accounts._ledger import LedgerAnswer


@dataclass(frozen=True)
class Spent:
    """What was spent of an account's limit since it was told last."""

    account_name: str
    amount: float


@dataclass(frozen=True)
class SpendAnswer:
    """Whether a request may run by what this host knows."""

    asks_leader: bool = False
    """Whether the leader has to be asked first."""
    wait: float = 0.0
    """When to come back, in seconds; 0 where it need not."""


@dataclass
class _Account:
    untold: float = 0.0
    telling: float = 0.0
    """What a call on its way to the leader tells; it may never arrive."""
    near_limit: bool = False
    refused_until: float = 0.0

    @property
    def unsettled(self) -> float:
        return self.untold + self.telling


class HostSpending:
    """Lets small requests run at once, as far as the leader's ledger allows for it.

    What is not told yet is bounded, with a leader and without one, so that the sum over
    all hosts holds through a network partition, and when the leader is lost. The bound
    grows over the first window after a start: a host that starts again and again loses
    what it had not told each time, and one of many that start at once does not know yet
    how many they are.
    """

    def __init__(
        self, bounds: LimitBounds, hosts: Callable[[], int], began_at: float
    ) -> None:
        self._bounds = bounds
        self._hosts = hosts
        self._by_name: dict[str, _Account] = {}
        self._began_at = began_at
        self._lent_to = ""
        self._lent_until = began_at + bounds.window_seconds

    def spend(self, name: str, cost: float, now: float) -> SpendAnswer:
        """Spend for a request that runs now, unless the leader is to say so."""
        account = self._account(name)
        if account.refused_until > now:
            return SpendAnswer(wait=account.refused_until - now)
        if account.near_limit or account.unsettled + cost > self._untold_part(now):
            return SpendAnswer(asks_leader=True)
        account.untold += cost
        return SpendAnswer()

    def spend_alone(self, name: str, cost: float, now: float) -> bool:
        """Spend without a leader; say whether the request may run."""
        account = self._account(name)
        if account.unsettled + cost > self._untold_part(now):
            return False
        account.untold += cost
        return True

    def lend(self, pool: str, now: float) -> bool:
        """Lend the parts for a lost leader to a pool; say whether it may have them.

        They are in one pool at a time: another one may have them once a window has
        passed. A host that has just started has none to lend, since its process before
        may have lent them.
        """
        if now < self._lent_until and pool != self._lent_to:
            return False
        self._lent_to = pool
        self._lent_until = now + self._bounds.window_seconds
        return True

    def give_back(self, name: str, cost: float) -> None:
        """Take back what was spent for a request that has not run."""
        self._account(name).untold -= cost

    def wait_for(self, name: str, now: float) -> float:
        """Return for how long the leader refuses more, in seconds; 0 if it doesn't."""
        account = self._by_name.get(name)
        return max(0.0, account.refused_until - now) if account else 0.0

    def forget(self, name: str) -> None:
        """Drop what is known of a limit that is no more."""
        self._by_name.pop(name, None)

    def take_answer(self, name: str, answer: LedgerAnswer, now: float) -> None:
        """Note what the leader said of an account."""
        account = self._account(name)
        account.near_limit = answer.near_limit
        account.refused_until = now + answer.wait

    def take_untold(self) -> list[Spent]:
        """Return what is to be told; it is unsettled until that is confirmed."""
        told = []
        for name, account in self._by_name.items():
            if account.untold and not account.telling:
                told.append(Spent(name, account.untold))
                account.telling, account.untold = account.untold, 0.0
        return told

    def confirm(self, told: list[Spent]) -> None:
        """Note that the leader has heard of this."""
        for spent in told:
            account = self._account(spent.account_name)
            account.telling = 0.0

    def put_back(self, told: list[Spent]) -> None:
        """Note that the leader may not have heard of this: it is told once more.

        Told twice, it makes the account's limit look nearer than it is for a moment.
        """
        for spent in told:
            account = self._account(spent.account_name)
            account.untold += account.telling
            account.telling = 0.0

    def _untold_part(self, now: float) -> float:
        grown = min(1.0, (now - self._began_at) / self._bounds.window_seconds)
        return grown * self._bounds.untold(self._hosts())

    def _account(self, name: str) -> _Account:
        return self._by_name.setdefault(name, _Account())
