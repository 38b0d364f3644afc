"""What hosts that find no leader may spend together; knows no clock or thread.

The load that it answers: a leader is being elected, or a zone is cut off from it, and
each host has a fraction of a stream to spend. Together at one control host that they
all reach, the parts are whole streams, for whichever host a client asks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from jujubeslip.accounts._bounds import LimitBounds
from jujubeslip.accounts._models import TokenLimit

# A host that has not joined again for this long is counted no more, in seconds: it
# joins several times as often, and lends its part to no other pool for a whole window.
JOINED_SECONDS = 2.0


@dataclass(frozen=True)
class _Spent:
    at: float
    cost: float


class AlonePool:
    """The parts of the hosts that have joined, and what was spent of them.

    What runs in any window is at most what the parts add up to: each host's part is in
    one pool at a time, and what was spent stays spent for a window.
    """

    def __init__(self, bounds: LimitBounds) -> None:
        self._bounds = bounds
        self._joined_at_by_host: dict[str, float] = {}
        self._spent_by_name: dict[str, deque[_Spent]] = {}

    def join(self, host_id: str, now: float) -> None:
        """Take a host's parts of all accounts' margins in."""
        self._joined_at_by_host[host_id] = now

    def charge(
        self, name: str, limit: TokenLimit, cost: float, hosts: int, now: float
    ) -> bool:
        """Charge a request, if the parts allow it; `hosts` is how many share them."""
        spent = self._spent_by_name.setdefault(name, deque())
        while spent and spent[0].at < now - self._bounds.window_seconds:
            spent.popleft()
        parts = self._count_joined(now) * self._bounds.alone(limit, hosts)
        if sum(item.cost for item in spent) + cost > parts:
            return False
        spent.append(_Spent(now, cost))
        return True

    def _count_joined(self, now: float) -> int:
        oldest = now - JOINED_SECONDS
        for host_id, joined_at in list(self._joined_at_by_host.items()):
            if joined_at < oldest:
                del self._joined_at_by_host[host_id]
        return len(self._joined_at_by_host)
