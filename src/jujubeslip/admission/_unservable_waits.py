"""Which requests are refused on arrival; uses no clock, thread or engine.

Refusals on arrival are meant for a burst beyond the capacity of the engines, some of
which are lost. The forecast assumes that all requests ahead are served at the rate of
the latest grants. In fact many of them are refused at their own limit, and the rate
changes with each engine that is lost or returns. Many requests whose forecast slightly
exceeds their limit would therefore still get a grant.
"""

from __future__ import annotations

# A request is refused on arrival if its forecast exceeds the time that it can wait by
# this factor, so that its wait certainly cannot succeed.
CERTAIN_TIMES = 3.0


def is_wait_unservable(forecast: float, limit: float) -> bool:
    """Return whether to refuse a request at once that may wait `limit` seconds."""
    return forecast > CERTAIN_TIMES * max(0.0, limit)
