"""Which requests are refused as they come; knows no clock, thread or engine.

The load that this answers: a burst beyond what engines serve, with some of them lost.
The forecast counts all that stand before a request as served, at the pace of the latest
grants. Many of those are refused at their own limit, and the pace changes with each
engine that is lost or comes back: of requests whose forecast was a little longer than
they could wait, many would have found room.
"""

from __future__ import annotations

# How many times longer than a request can wait its forecast has to be, so that there is
# no doubt that it would wait in vain.
CERTAIN_TIMES = 3.0


def waits_in_vain(forecast: float, limit: float) -> bool:
    """Say whether a request that may wait `limit` seconds is better refused at once."""
    return forecast > CERTAIN_TIMES * max(0.0, limit)
