"""Retry budgets: further attempts are a bounded share of a service's requests."""

from __future__ import annotations

import threading

# How many retries a quiet service may make at once.
MAXIMUM_SAVED = 10.0
START_SAVED = 3.0


class RetryBudgets:
    """A token bucket for each service, filled by its requests.

    When endpoints fail under load, unbounded retries add to the load that made them
    fail; the budget bounds what retries can add.
    """

    def __init__(self) -> None:
        self._saved_by_service: dict[str, float] = {}
        self._lock = threading.Lock()

    def note_request(self, service_name: str, share: float) -> None:
        """Save a share of a retry for each request."""
        with self._lock:
            saved = self._saved_by_service.get(service_name, START_SAVED)
            self._saved_by_service[service_name] = min(MAXIMUM_SAVED, saved + share)

    def take(self, service_name: str) -> bool:
        """Say whether a retry may be made, and spend it."""
        with self._lock:
            saved = self._saved_by_service.get(service_name, START_SAVED)
            if saved < 1.0:
                return False
            self._saved_by_service[service_name] = saved - 1.0
            return True
