"""Client accounts in the operator's configurations, and API keys in requests."""

from __future__ import annotations

from typing import Any

from jujubeslip.accounts import ClientAccount, ClientAccounts, RateLimit, hash_key

# The scheme of a request's Authorization header, in lower case.
KEY_SCHEME = "token"
TOKEN_UNIT = "tokens"


def read_accounts(fields: dict[str, Any]) -> ClientAccounts | None:
    """Return a configuration's accounts, or None if requests need no key.

    Raises ValueError or KeyError if they are invalid; no message contains a key.
    """
    tenants = fields.get("tenants")
    if tenants is None:
        return None
    return ClientAccounts(tuple(_account(item) for item in tenants))


def read_key(authorization: str) -> str:
    """Return the key in an Authorization header, or "" unless it has exactly one.

    Repeated headers arrive here as one value, joined by a comma.
    """
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    is_single = not any(separator in key for separator in (" ", "\t", ","))
    return key if scheme.lower() == KEY_SCHEME and is_single else ""


def _account(fields: dict[str, Any]) -> ClientAccount:
    priority = fields.get("priority")
    return ClientAccount(
        name=_text(fields["name"]),
        key_hashes=tuple(hash_key(_text(key)) for key in _list(fields["apiKeys"])),
        limit=_limit(fields),
        counts_tokens=fields.get("unit") == TOKEN_UNIT,
        plain_tokens=int(_number(fields.get("plainTokens", 0))),
        priority=None if priority is None else _whole_number(priority),
    )


def _limit(fields: dict[str, Any]) -> RateLimit | None:
    per_second = _number(fields.get("ratePerS", 0))
    burst = _number(fields.get("burst", 0))
    # A rate of 0 means no limit, not that every request is refused.
    return RateLimit(per_second, burst) if per_second else None


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("an account's name or key is not a string")
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError("an account's keys are not a list")
    return value


def _whole_number(value: Any) -> int:
    number = _number(value)
    if not float(number).is_integer():
        raise ValueError("an account's priority is not a whole number")
    return int(number)


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("an account's limit or priority is not a number")
    return value
