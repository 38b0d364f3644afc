"""Which client accounts hold more than their part; uses no clock, thread or engine.

For a service whose engines are full while one of many accounts sends several times its
usual. Ordered by target alone, the account gets engines in proportion to what it sends,
and the requests of all others are refused with its own. An account's limit bounds its
rate, not what it holds below the limit.

Engines are shared by what accounts hold in their memory: the prompts and the expected
answers of the granted requests that have not ended. A part is only an order among
those that wait: an account whose requests wait alone gets all engines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from jujubeslip.accounts import ClientAccount, ClientAccounts

# How much more than its part an account may hold before its requests go after those of
# others, as a share of the part, and how much it may always hold, in requests of mean
# size. With little load an account's requests come in small groups.
TOLERATED_SHARE = 1.0
TOLERATED_REQUESTS = 3
# Weight of each account where limits don't tell them apart.
EQUAL_WEIGHT = 1.0


class GrantKey(NamedTuple):
    """Identifies a grant by its request and attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True)
class HeldMemory:
    """What the granted request of an account holds."""

    account_name: str
    tokens: int
    priority: int = 0


@dataclass(frozen=True)
class AccountPart:
    """What an account holds of the memory of a service's engines, in tokens."""

    held_tokens: int
    part_tokens: int
    """Its part of all that is held."""


class SharingWeights:
    """The weights of the accounts of the configuration, empty without accounts."""

    def __init__(self, accounts: Callable[[], ClientAccounts | None]) -> None:
        self._accounts = accounts
        self._read: ClientAccounts | None = None
        self._weight_by_account: Mapping[str, float] = {}

    def __call__(self) -> Mapping[str, float]:
        """Return the weights by the names of the accounts."""
        accounts = self._accounts()
        if accounts is not self._read:
            self._read = accounts
            self._weight_by_account = weights_of(accounts.accounts if accounts else ())
        return self._weight_by_account


def weights_of(accounts: Collection[ClientAccount]) -> dict[str, float]:
    """Return the weights of accounts, in proportion to their limits.

    An account without a limit has the mean weight. All weights are equal if the limits
    count different units.
    """
    rates = {
        account.name: account.limit.per_second
        for account in accounts
        if account.limit is not None and account.limit.per_second > 0
    }
    units = {account.counts_tokens for account in accounts if account.name in rates}
    if len(units) != 1:
        return {account.name: EQUAL_WEIGHT for account in accounts}
    mean = sum(rates.values()) / len(rates)
    return {account.name: rates.get(account.name, mean) for account in accounts}


class AccountShares:
    """What the accounts hold of one service; guarded by the pool's lock.

    Only accounts of the configuration are told apart, so that its size is bounded by
    the configuration and by the grants.
    """

    def __init__(self, weights: Callable[[], Mapping[str, float]]) -> None:
        self._weights = weights
        self._held_by_grant: dict[GrantKey, HeldMemory] = {}
        self._tokens_by_account: Counter[str] = Counter()

    def note_granted(self, key: GrantKey, held: HeldMemory) -> None:
        """Note what a request holds from its grant on."""
        self.note_ended(key)
        self._held_by_grant[key] = held
        self._tokens_by_account[held.account_name] += held.tokens

    def note_ended(self, key: GrantKey) -> None:
        """Note the end of a request, with a grant or without."""
        held = self._held_by_grant.pop(key, None)
        if held is None:
            return
        self._tokens_by_account[held.account_name] -= held.tokens
        if self._tokens_by_account[held.account_name] <= 0:
            del self._tokens_by_account[held.account_name]

    def retain_only(self, keys: Collection[tuple[str, int]]) -> None:
        """Drop all grants but these, whose engines still hold them."""
        for key in [item for item in self._held_by_grant if item not in keys]:
            self.note_ended(key)

    def held_memories(self) -> list[HeldMemory]:
        """Return what each granted request holds."""
        return list(self._held_by_grant.values())

    def part_of(self, account_name: str, waiting: Collection[str]) -> AccountPart:
        """Return what an account holds while requests of these accounts wait."""
        parts = self._parts(waiting)
        held = self._tokens_by_account.get(account_name, 0)
        return AccountPart(held, int(parts.get(account_name, 0.0)))

    def above_part(self, waiting: Collection[str]) -> frozenset[str]:
        """Return the accounts above their part, of those whose requests wait.

        They are only told apart while requests of several accounts wait.
        """
        if len(waiting) < 2 or not self._held_by_grant:
            return frozenset()
        parts = self._parts(waiting)
        if len(parts) < 2:
            return frozenset()
        total = self._tokens_by_account.total()
        minimum = TOLERATED_REQUESTS * total / len(self._held_by_grant)
        return frozenset(
            name
            for name in waiting
            if name in parts
            and self._tokens_by_account.get(name, 0)
            > max(minimum, _tolerated(parts[name], total))
        )

    def _parts(self, waiting: Collection[str]) -> dict[str, float]:
        """Return the parts of the accounts that hold memory or wait, in tokens."""
        weights = self._weights()
        active = {
            name: weights[name]
            for name in {*self._tokens_by_account, *waiting}
            if name in weights
        }
        total_weight = sum(active.values())
        held = self._tokens_by_account.total()
        return {name: held * weight / total_weight for name, weight in active.items()}


def _tolerated(part: float, total: float) -> float:
    """Return what an account may hold with this part of the total, in tokens.

    Of few accounts, each has a large part, twice of which nobody can hold.
    """
    return min((1 + TOLERATED_SHARE) * part, (part + total) / 2)
