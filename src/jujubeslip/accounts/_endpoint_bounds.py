"""How the limits that endpoints name are kept, by the means of accounts' limits."""

from __future__ import annotations

from jujubeslip.accounts._bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# What may reach an endpoint beyond its limit in a window, over all hosts. An endpoint
# that names a limit bears half as much again, and a few requests more.
ENDPOINT_BOUNDS = LimitBounds(window_seconds=4.0, overage=0.4, slack=3.5)
# Requests that it may get at once.
ENDPOINT_BURST = 1.0


def endpoint_limit(per_second: float) -> RateLimit:
    """Return the limit of an endpoint that takes so many requests a second."""
    return RateLimit(per_second, ENDPOINT_BURST)
