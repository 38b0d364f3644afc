"""One host's spending of account limits.

It has no clock and no lock, and does not call the leader; its callers do that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.accounts._ledger import LedgerAnswer
from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._pool_members import Loan

MILLISECONDS = 1000


@dataclass(frozen=True)
class Spent:
    """The cost spent of an account's limit since the last report."""

    account_name: str
    amount: float


@dataclass(frozen=True)
class SpendAnswer:
    """Whether a request may run, as far as this host can decide."""

    asks_leader: bool = False
    """Whether the host has to ask the leader first."""
    wait: float = 0.0
    """Seconds until a retry; 0 if the request is not refused."""


@dataclass
class _Account:
    unreported: float = 0.0
    in_report: float = 0.0
    """Cost in a report to the leader that is not confirmed; it may be lost."""
    near_limit: bool = False
    refused_until: float = 0.0

    @property
    def unsettled(self) -> float:
        return self.unreported + self.in_report


class HostSpending:
    """Admits small requests immediately, up to a bound on the unreported cost.

    The bound holds with and without a leader, so that the sum over all hosts stays
    within the limit's slack through a network partition and the loss of the leader.
    It grows over the first window after a start: a host that restarts repeatedly loses
    its unreported cost each time, and one of many hosts that start at the same time
    does not know their number yet.
    """

    def __init__(
        self, bounds: LimitBounds, hosts: Callable[[], int], began_at: float
    ) -> None:
        self._bounds = bounds
        self._hosts = hosts
        self._by_name: dict[str, _Account] = {}
        self._began_at = began_at
        self._lent_to = ""
        self._lent_at = began_at
        self._base_lent_to = ""
        self._base_lent_until = began_at

    def spend(self, name: str, cost: float, now: float) -> SpendAnswer:
        """Spend the cost of a request that runs now, unless the leader must decide."""
        account = self._account(name)
        if account.refused_until > now:
            return SpendAnswer(wait=account.refused_until - now)
        if account.near_limit or account.unsettled + cost > self._unreported_limit(now):
            return SpendAnswer(asks_leader=True)
        account.unreported += cost
        return SpendAnswer()

    def spend_without_leader(self, name: str, cost: float, now: float) -> bool:
        """Spend without a leader; return whether the request may run."""
        account = self._account(name)
        if account.unsettled + cost > self._unreported_limit(now):
            return False
        account.unreported += cost
        return True

    def lend(self, pool: str, now: float) -> Loan | None:
        """Lend this host's leaderless shares to a pool; return None if it may not.

        The shares are in one pool at a time. The share of the rate may be in another
        one from now on; the share of the overage and the slack, which the former pool
        may have spent, only once a window has passed. A host that has just started has
        none to lend, since its previous process may have lent them.
        """
        window = self._bounds.window_seconds
        if now < self._began_at + window:
            return None
        if pool != self._lent_to:
            self._lent_to, self._lent_at = pool, now
        has_base = pool == self._base_lent_to or now >= self._base_lent_until
        if has_base:
            self._base_lent_to, self._base_lent_until = pool, now + window
        loan_id = int(self._lent_at * MILLISECONDS)
        return Loan(loan_id, now - self._lent_at, has_base)

    def end_loan(self) -> None:
        """End the loan of this host's shares, since it has found a leader."""
        self._lent_to = ""

    def give_back(self, name: str, cost: float) -> None:
        """Refund the cost of a request that has not run."""
        self._account(name).unreported -= cost

    def wait_for(self, name: str, now: float) -> float:
        """Return the seconds for which the leader refuses requests, or 0."""
        account = self._by_name.get(name)
        return max(0.0, account.refused_until - now) if account else 0.0

    def is_near_limit(self, name: str) -> bool:
        """Return whether the leader said that little is left of an account's limit."""
        account = self._by_name.get(name)
        return account is not None and account.near_limit

    def forget(self, name: str) -> None:
        """Remove the state of a limit that no longer exists."""
        self._by_name.pop(name, None)

    def apply_answer(self, name: str, answer: LedgerAnswer, now: float) -> None:
        """Apply the leader's reply about an account."""
        account = self._account(name)
        account.near_limit = answer.near_limit
        account.refused_until = now + answer.wait

    def take_unreported(self) -> list[Spent]:
        """Return the cost to report; it stays unsettled until `confirm` is called."""
        reported = []
        for name, account in self._by_name.items():
            if account.unreported and not account.in_report:
                reported.append(Spent(name, account.unreported))
                account.in_report, account.unreported = account.unreported, 0.0
        return reported

    def confirm(self, reported: list[Spent]) -> None:
        """Mark a report as received by the leader."""
        for spent in reported:
            account = self._account(spent.account_name)
            account.in_report = 0.0

    def mark_unconfirmed(self, reported: list[Spent]) -> None:
        """Mark a report as possibly lost, so that its cost is reported again.

        If the leader receives both reports, the account appears nearer to its limit
        than it is for a moment.
        """
        for spent in reported:
            account = self._account(spent.account_name)
            account.unreported += account.in_report
            account.in_report = 0.0

    def _unreported_limit(self, now: float) -> float:
        started_share = min(1.0, (now - self._began_at) / self._bounds.window_seconds)
        return started_share * self._bounds.unreported(self._hosts())

    def _account(self, name: str) -> _Account:
        return self._by_name.setdefault(name, _Account())
