"""Authentication of client accounts by API key; only hashes of keys are stored."""

from __future__ import annotations

import hmac

from jujubeslip.accounts import hash_key, unknown_key
from jujubeslip.declaration import Client, Declaration
from jujubeslip.kernel import RequestRefusedError

BEARER = "Bearer "


def bearer_token(authorization: str) -> str:
    """Return the token of an Authorization header, or an empty string."""
    if not authorization.startswith(BEARER):
        return ""
    return authorization.removeprefix(BEARER).strip()


def authenticate(declaration: Declaration, authorization: str) -> Client:
    """Return the client account of the key; raise an error if the key is unknown."""
    key = bearer_token(authorization)
    client = declaration.client_by_key_hash.get(hash_key(key))
    if not key or client is None:
        raise unknown_key("Send `Authorization: Bearer KEY` with the account's key.")
    return client


def require_secret(authorization: str, secret: str) -> None:
    """Raise RequestRefusedError unless the header carries this secret."""
    if hmac.compare_digest(bearer_token(authorization).encode(), secret.encode()):
        return
    raise RequestRefusedError(
        "not_authorized",
        "The secret is wrong.",
        status=401,
        remedy="Send `Authorization: Bearer SECRET` with the secret of the settings.",
    )
