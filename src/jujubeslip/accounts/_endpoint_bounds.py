"""Bounds for the limits that endpoints set, enforced like those of accounts."""

from __future__ import annotations

from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# The excess over an endpoint's limit in a window, over all hosts. An endpoint that sets
# a limit tolerates half as much again, and a few requests more.
ENDPOINT_BOUNDS = LimitBounds(window_seconds=4.0, overage=0.4, slack=3.5)
# The number of requests that an endpoint may get at once.
ENDPOINT_BURST = 1.0


def endpoint_limit(per_second: float) -> RateLimit:
    """Return the limit of an endpoint that accepts `per_second` requests a second."""
    return RateLimit(per_second, ENDPOINT_BURST)
