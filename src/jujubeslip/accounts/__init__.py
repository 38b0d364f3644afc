"""Client accounts: their keys and their limits.

Limits that endpoints set for themselves are enforced by the same means.
"""

from jujubeslip.accounts._checks import find_problem
from jujubeslip.accounts._endpoint_bounds import ENDPOINT_BOUNDS, endpoint_limit
from jujubeslip.accounts._keys import hash_key, unknown_key
from jujubeslip.accounts._leaderless_pool import LeaderlessPool, PoolAnswer
from jujubeslip.accounts._ledger import AccountLedger, LedgerAnswer
from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import ClientAccount, ClientAccounts, RateLimit
from jujubeslip.accounts._pool_members import Loan, Spans
from jujubeslip.accounts._refusals import POOL_USED, limit_reached
from jujubeslip.accounts._spending import HostSpending, SpendAnswer, Spent

__all__ = [
    "ENDPOINT_BOUNDS",
    "POOL_USED",
    "AccountLedger",
    "LeaderlessPool",
    "ClientAccount",
    "ClientAccounts",
    "HostSpending",
    "LedgerAnswer",
    "LimitBounds",
    "Loan",
    "PoolAnswer",
    "SpendAnswer",
    "Spans",
    "Spent",
    "RateLimit",
    "endpoint_limit",
    "find_problem",
    "hash_key",
    "limit_reached",
    "unknown_key",
]
