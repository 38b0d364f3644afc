"""Retry budgets, which bound retries to a share of a service's requests."""

from __future__ import annotations

import threading

# How many retries a service may accumulate, and make at once.
MAXIMUM_RETRIES = 10.0
INITIAL_RETRIES = 3.0


class RetryBudgets:
    """A token bucket of retries for each service, filled by its requests.

    When endpoints fail under load, unbounded retries would increase that load further;
    the budget bounds the load that retries can add.
    """

    def __init__(self) -> None:
        self._retries_by_service: dict[str, float] = {}
        self._lock = threading.Lock()

    def note_request(self, service_name: str, share: float) -> None:
        """Add `share` of a retry to the budget for a request."""
        with self._lock:
            retries = self._retries_by_service.get(service_name, INITIAL_RETRIES)
            self._retries_by_service[service_name] = min(
                MAXIMUM_RETRIES, retries + share
            )

    def spend(self, service_name: str) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        with self._lock:
            retries = self._retries_by_service.get(service_name, INITIAL_RETRIES)
            if retries < 1.0:
                return False
            self._retries_by_service[service_name] = retries - 1.0
            return True
