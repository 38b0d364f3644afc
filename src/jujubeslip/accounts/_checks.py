"""Checks of the client accounts of a configuration."""

from __future__ import annotations

import math
from collections.abc import Iterator

from jujubeslip.accounts._keys import hash_key
from jujubeslip.accounts._models import ClientAccount, ClientAccounts

EMPTY_KEY = hash_key("")


def find_problem(accounts: ClientAccounts) -> str:
    """Return the first problem, or an empty string; the text contains no key."""
    return next(_problems(accounts), "")


def _problems(accounts: ClientAccounts) -> Iterator[str]:
    name_by_key_hash: dict[str, str] = {}
    names: set[str] = set()
    for account in accounts.accounts:
        yield from _problems_of(account)
        if account.name in names:
            yield f"Two accounts are named {account.name!r}; give each its own name."
        names.add(account.name)
        for key_hash in account.key_hashes:
            other = name_by_key_hash.setdefault(key_hash, account.name)
            if other != account.name:
                yield (
                    f"Accounts {other!r} and {account.name!r} share a key; "
                    "give each account keys of its own."
                )


def _problems_of(account: ClientAccount) -> Iterator[str]:
    # The name is sent to endpoints in a header, which other characters would end.
    if not account.name or not (account.name.isascii() and account.name.isprintable()):
        yield (
            f"An account is named {account.name!r}; give it a name of printable "
            "ASCII characters."
        )
    if EMPTY_KEY in account.key_hashes:
        yield f"Account {account.name!r} has an empty key; remove it."
    limit = account.limit
    amounts = (limit.per_second, limit.burst) if limit else ()
    if any(not math.isfinite(amount) or amount < 0 for amount in amounts):
        yield (
            f"The limit of account {account.name!r} is below 0 or not finite; give "
            "numbers of 0 or more."
        )
    if account.priority is not None and account.priority < 0:
        yield (
            f"The priority of account {account.name!r} is {account.priority}; give 0, "
            "the highest, or more."
        )
    if account.plain_tokens < 0:
        yield (
            f"A request of account {account.name!r} would count fewer than 0 tokens; "
            "give 0 or more."
        )
