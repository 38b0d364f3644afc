"""How recently each service has refused requests of this host.

It answers a service at its capacity: an endpoint that refuses has no free place, and a
second send would take the place of another caller's request.
"""

from __future__ import annotations

import math
from collections.abc import Collection

# How long after a refusal no request is sent a second time, in seconds. A host that
# sends one request a second sees a refusal within this time if one in ten is refused.
REFUSAL_SECONDS = 10.0


class ServiceRefusals:
    """The time of the latest refusal by service."""

    def __init__(self) -> None:
        self._refused_at_by_service: dict[str, float] = {}

    def note(self, service_name: str, now: float) -> None:
        """Record that an endpoint of the service has refused a request."""
        self._refused_at_by_service[service_name] = now

    def keep_services(self, service_names: Collection[str]) -> None:
        """Forget the services that are not among these."""
        for name in self._refused_at_by_service.keys() - set(service_names):
            self._refused_at_by_service.pop(name, None)

    def is_recent(self, service_name: str, now: float) -> bool:
        """Return whether the service has refused a request lately."""
        refused_at = self._refused_at_by_service.get(service_name, -math.inf)
        return now - refused_at < REFUSAL_SECONDS
