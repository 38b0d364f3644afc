"""Refusals of requests beyond an account's limit."""

from __future__ import annotations

from jujubeslip.kernel import Ran, RequestRefusedError

# Id of a control host's refusal of a charge to its leaderless pool for the time being.
POOL_USED = "pool_used"


def limit_reached(kind: str, wait: float) -> RequestRefusedError:
    """Return the refusal of a request that may be retried after `wait` seconds.

    `kind` names the unit that the limit counts.
    """
    return RequestRefusedError(
        "client_limit",
        f"The client account's limit of {kind} a second is reached.",
        status=429,
        ran=Ran.NO,
        retry_after=wait,
    )
