"""How many second sends a host may make of its share of all hosts' requests.

It answers a service whose answers turn slow at all hosts at once. Each host earns
second sends with its own requests only, so that the sum over hosts stays within the
share without messages; what is earned and unused is bounded, or a quiet minute would be
followed by a burst of second sends.
"""

from __future__ import annotations

import threading
from collections.abc import Collection
from dataclasses import dataclass

# Second sends that a host may keep for later where its requests in a window earn less.
# Hosts with few requests would never have a whole one otherwise.
MINIMUM_KEPT = 1.0
# Sums of shares are a little less than a whole number by rounding.
ROUNDING = 1e-9


@dataclass(frozen=True)
class RecentSends:
    """A host's sends to a service within the window of the retry budget."""

    requests: int
    """First sends."""
    repeats: int
    """Retries and second sends."""
    maximum_repeats: float


class SecondSendBudget:
    """The second sends that a host has earned, by service; thread-safe.

    It is separate from the retry budget: second sends that it allows leave retries what
    the settings give to them. Repeats that were sent count, for the bound on both.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._earned_by_service: dict[str, float] = {}
        self._lock = threading.Lock()

    def note_request(self, service_name: str, recent: RecentSends) -> None:
        """Earn a share of a second send with the first send of a request."""
        maximum = max(MINIMUM_KEPT, self._share * recent.requests)
        with self._lock:
            earned = self._earned_by_service.get(service_name, 0.0) + self._share
            self._earned_by_service[service_name] = min(maximum, earned)

    def spend(self, service_name: str, recent: RecentSends) -> bool:
        """Spend one second send if one is left; return whether it was."""
        with self._lock:
            earned = self._earned_by_service.get(service_name, 0.0)
            if earned < 1.0 - ROUNDING or recent.repeats + 1 > recent.maximum_repeats:
                return False
            self._earned_by_service[service_name] = earned - 1.0
            return True

    def keep_services(self, service_names: Collection[str]) -> None:
        """Forget the services that are not among these."""
        with self._lock:
            for name in self._earned_by_service.keys() - set(service_names):
                del self._earned_by_service[name]
