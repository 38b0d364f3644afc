"""The client accounts of the operator's configurations, and the keys of requests."""

from __future__ import annotations

from typing import Any

from jujubeslip.accounts import ClientAccount, ClientAccounts, RateLimit, hash_key

# The word before the key in a request's Authorization header, in lower case.
KEY_SCHEME = "token"
UNIT_OF_TOKENS = "tokens"


def read_accounts(fields: dict[str, Any]) -> ClientAccounts | None:
    """Return a configuration's accounts, None if it asks for no keys at all.

    Raises ValueError or KeyError where they can't be read; no message holds a key.
    """
    told = fields.get("tenants")
    if told is None:
        return None
    return ClientAccounts(tuple(_account(item) for item in told))


def read_key(authorization: str) -> str:
    """Return the key in an Authorization header, empty where it holds no single one.

    Two headers reach this place as one, with a comma between.
    """
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    is_single = not any(mark in key for mark in (" ", "\t", ","))
    return key if scheme.lower() == KEY_SCHEME and is_single else ""


def _account(fields: dict[str, Any]) -> ClientAccount:
    priority = fields.get("priority")
    return ClientAccount(
        name=_text(fields["name"]),
        key_hashes=tuple(hash_key(_text(key)) for key in _list(fields["apiKeys"])),
        limit=_limit(fields),
        counts_tokens=fields.get("unit") == UNIT_OF_TOKENS,
        plain_tokens=int(_number(fields.get("plainTokens", 0))),
        priority=None if priority is None else int(_number(priority)),
    )


def _limit(fields: dict[str, Any]) -> RateLimit | None:
    per_second = _number(fields.get("ratePerS", 0))
    burst = _number(fields.get("burst", 0))
    # A rate of 0 means that there is no limit, not that nothing is allowed.
    return RateLimit(per_second, burst) if per_second else None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("the name or a key of an account is no text")
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError("the keys of an account are no list")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a limit or the priority of an account is no number")
    return value
