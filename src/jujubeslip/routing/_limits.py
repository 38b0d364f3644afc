"""Limits of client accounts: requests and tokens a second."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from jujubeslip.declaration import Client
from jujubeslip.kernel import Ran, RequestRefusedError

# A bucket holds this many seconds of its rate, so that a burst passes.
BURST_SECONDS = 2.0


class TokenBucket:
    """A rate with a burst; `take` says how long to wait, in seconds, or zero."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._filled_at = time.monotonic()

    def take(self, amount: float, rate: float) -> float:
        """Take the amount, or return the seconds until it is there."""
        now = time.monotonic()
        capacity = max(1.0, rate * BURST_SECONDS)
        level = capacity if self._level is None else self._level
        level = min(capacity, level + (now - self._filled_at) * rate)
        self._filled_at = now
        needed = min(amount, capacity)
        if level < needed:
            self._level = level
            return (needed - level) / rate
        self._level = level - amount
        return 0.0


class ClientLimits:
    """Each host enforces its fixed share of an account's limits."""

    def __init__(self, host_count: Callable[[], int]) -> None:
        self._host_count = host_count
        self._bucket_by_key: dict[tuple[str, str], TokenBucket] = {}
        self._lock = threading.Lock()

    def admit(self, client: Client, tokens: int) -> None:
        """Count a request of this many tokens, or refuse it with when to return."""
        share = 1 / max(1, self._host_count())
        self._take(client.name, "requests", 1, client.requests_per_second, share)
        self._take(client.name, "tokens", tokens, client.tokens_per_second, share)

    def _take(
        self, client: str, kind: str, amount: float, rate: float | None, share: float
    ) -> None:
        if rate is None:
            return
        with self._lock:
            bucket = self._bucket_by_key.setdefault((client, kind), TokenBucket())
            wait = bucket.take(amount, rate * share)
        if wait > 0:
            raise RequestRefusedError(
                "client_limit",
                f"The client account's limit of {kind} a second is reached.",
                status=429,
                ran=Ran.NO,
                retry_after=wait,
            )
