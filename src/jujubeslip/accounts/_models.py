"""Client accounts as a configuration gives them."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from jujubeslip.accounts._keys import hash_key


@dataclass(frozen=True)
class RateLimit:
    """How much an account may ask for, over all hosts; in tokens or in requests."""

    per_second: float
    """What comes free each second."""
    burst: float
    """What it may use at once beyond that."""


@dataclass(frozen=True)
class ClientAccount:
    """A client account."""

    name: str
    key_hashes: tuple[str, ...] = field(repr=False)
    """What its keys are known by; see hash_key."""
    limit: RateLimit | None = None
    """None where it may ask for as much as it likes."""
    counts_tokens: bool = True
    """Whether its limit is in tokens, or in requests."""
    plain_tokens: int = 0
    """What a request counts that doesn't say how many tokens it is."""
    priority: int | None = None
    """Goes before its routes' priority, None where it has none; 0 is the highest."""

    def cost_of(self, tokens: int | None) -> float:
        """Return what a request of so many tokens counts, None if it says none."""
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@dataclass(frozen=True)
class ClientAccounts:
    """All accounts of a configuration, in its order."""

    accounts: tuple[ClientAccount, ...]

    @cached_property
    def by_key_hash(self) -> dict[str, ClientAccount]:
        """Return the account that holds each key."""
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
        """Return the account that holds a key, None if no account does."""
        return self.by_key_hash.get(hash_key(key)) if key else None
