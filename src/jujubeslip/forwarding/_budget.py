"""How many further sends of requests a service may get from this host."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubeslip.kernel import steady_seconds

# Requests of the whole window count for further sends only with this share, so that
# the sum over hosts stays below the bound also when a window slides over a change of
# the load.
SAFETY_SHARE = 0.8


@dataclass(frozen=True)
class BudgetOptions:
    """The bound that all hosts share, for any span of the window's length."""

    ratio: float
    """Further sends per request."""
    window_seconds: float
    allowance: float
    """Further sends beyond that, of all hosts together."""


@dataclass
class _Sends:
    requests: deque[float] = field(default_factory=deque)
    further: deque[float] = field(default_factory=deque)


class RetryBudgets:
    """A budget for each service; a host spends no more than its own share.

    The bound holds for the sum over all hosts. Each host may use the ratio of its own
    requests, and an equal part of the allowance, so that the sum keeps the bound
    without any host asking another.
    """

    def __init__(self, options: BudgetOptions, entry_hosts: Callable[[], int]) -> None:
        self._options = options
        self._entry_hosts = entry_hosts
        self._sends_by_service: dict[str, _Sends] = {}
        self._lock = threading.Lock()
        # The host may have spent its share just before it started anew.
        self._full_from = steady_seconds() + options.window_seconds

    def note_request(self, service_name: str) -> None:
        """Count the first send of a request."""
        with self._lock:
            sends = self._sends(service_name)
            sends.requests.append(steady_seconds())

    def take(self, service_name: str) -> bool:
        """Spend one further send if there is one left."""
        with self._lock:
            sends = self._sends(service_name)
            if not self._has_one(sends):
                return False
            sends.further.append(steady_seconds())
            return True

    def has_one(self, service_name: str) -> bool:
        """Say whether a further send is left, without spending it."""
        with self._lock:
            sends = self._sends(service_name)
            return self._has_one(sends)

    def left_by_service(self) -> dict[str, float]:
        """Return how many further sends are left, by service."""
        with self._lock:
            return {
                name: self._limit(sends) - len(sends.further)
                for name in list(self._sends_by_service)
                if (sends := self._sends(name))
            }

    def charge(self, service_name: str) -> None:
        """Count a further send that has happened, whether one was left or not."""
        with self._lock:
            self._sends(service_name).further.append(steady_seconds())

    def _has_one(self, sends: _Sends) -> bool:
        return len(sends.further) + 1 <= self._limit(sends)

    def _limit(self, sends: _Sends) -> float:
        share = self._options.allowance / max(1, self._entry_hosts())
        if steady_seconds() < self._full_from:
            share /= 2
        own = self._options.ratio * len(sends.requests)
        return SAFETY_SHARE * (own + share)

    def _sends(self, service_name: str) -> _Sends:
        sends = self._sends_by_service.setdefault(service_name, _Sends())
        oldest = steady_seconds() - self._options.window_seconds
        for times in (sends.requests, sends.further):
            while times and times[0] < oldest:
                times.popleft()
        return sends
