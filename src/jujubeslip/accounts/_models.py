"""Client accounts as defined in a configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from jujubeslip.accounts._keys import hash_key


@dataclass(frozen=True)
class RateLimit:
    """The limit of an account over all hosts, in tokens or in requests."""

    per_second: float
    """Amount that becomes available each second."""
    burst: float
    """Amount that may be used at once in addition."""


@dataclass(frozen=True)
class ClientAccount:
    """A client account."""

    name: str
    key_hashes: tuple[str, ...] = field(repr=False)
    """Hashes of the account's keys; see hash_key."""
    limit: RateLimit | None = None
    """None if the account is unlimited."""
    counts_tokens: bool = True
    """Whether the limit counts tokens; otherwise it counts requests."""
    plain_tokens: int = 0
    """Tokens counted for a request that does not state its number of tokens."""
    priority: int | None = None
    """Overrides the priority of routes; None for no override. 0 is the highest."""

    def cost_of(self, tokens: int | None) -> float:
        """Return the cost of a request; `tokens` is None if the request states none."""
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@dataclass(frozen=True)
class ClientAccounts:
    """All accounts of a configuration, in the order of the configuration."""

    accounts: tuple[ClientAccount, ...]

    @cached_property
    def by_key_hash(self) -> dict[str, ClientAccount]:
        """Return the accounts by the hashes of their keys."""
        return {
            key_hash: account
            for account in self.accounts
            for key_hash in account.key_hashes
        }

    @cached_property
    def by_name(self) -> dict[str, ClientAccount]:
        """Return the accounts by their names."""
        return {account.name: account for account in self.accounts}

    def holder_of(self, key: str) -> ClientAccount | None:
        """Return the account that holds a key, or None."""
        return self.by_key_hash.get(hash_key(key)) if key else None
