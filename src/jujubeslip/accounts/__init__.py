"""Client accounts: their keys, and what they may ask for."""

from jujubeslip.accounts._checks import find_problem
from jujubeslip.accounts._keys import hash_key, unknown_key
from jujubeslip.accounts._models import ClientAccount, ClientAccounts, TokenLimit

__all__ = [
    "ClientAccount",
    "ClientAccounts",
    "TokenLimit",
    "find_problem",
    "hash_key",
    "unknown_key",
]
