"""Budgets that bound how many retries this host may send to a service."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubeslip.hedging import RecentSends
from jujubeslip.kernel import steady_seconds

# Share of the bound that is used, so that the sum over hosts stays below the bound also
# when the window slides over a change of the load.
SAFETY_SHARE = 0.8


@dataclass(frozen=True)
class BudgetOptions:
    """The bound that all hosts share, for any period of the window's length."""

    ratio: float
    """Retries and second sends per request."""
    window_seconds: float
    allowance: float
    """Additional retries of all hosts together."""
    second_send_share: float = 0.0
    """The part of the ratio that second sends may always use."""


@dataclass
class _ServiceSends:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    second_sends: deque[float] = field(default_factory=deque)


class RetryBudgets:
    """A retry budget for each service, of which a host spends only its own share.

    The bound holds for the sum over all hosts. Each host may use the ratio of its own
    requests and an equal part of the allowance, so that the hosts keep the bound
    without communicating.
    """

    def __init__(self, options: BudgetOptions, entry_hosts: Callable[[], int]) -> None:
        self._options = options
        self._entry_hosts = entry_hosts
        self._sends_by_service: dict[str, _ServiceSends] = {}
        self._lock = threading.Lock()
        # The host may have spent its share just before it restarted.
        self._full_share_from = steady_seconds() + options.window_seconds

    def note_request(self, service_name: str) -> None:
        """Count the first send of a request."""
        with self._lock:
            sends = self._sends(service_name)
            sends.requests.append(steady_seconds())

    def spend(self, service_name: str) -> bool:
        """Spend one retry if one is left; return whether it was."""
        with self._lock:
            sends = self._sends(service_name)
            if not self._has_retry_left(sends):
                return False
            sends.retries.append(steady_seconds())
            return True

    def restore(self, service_name: str) -> None:
        """Restore a retry that was spent on a send of which nothing was sent."""
        with self._lock:
            retries = self._sends(service_name).retries
            if retries:
                retries.pop()

    def has_retry_left(self, service_name: str) -> bool:
        """Return whether a retry is left, without spending it."""
        with self._lock:
            sends = self._sends(service_name)
            return self._has_retry_left(sends)

    def left_by_service(self) -> dict[str, float]:
        """Return the number of retries left, by service."""
        with self._lock:
            return {
                name: self._limit(sends) - len(sends.retries)
                for name in list(self._sends_by_service)
                if (sends := self._sends(name))
            }

    def recent_sends(self, service_name: str) -> RecentSends:
        """Return this host's sends in the window, and the bound on its repeats."""
        with self._lock:
            sends = self._sends(service_name)
            return RecentSends(
                len(sends.requests),
                len(sends.retries) + len(sends.second_sends),
                self._bound(sends, self._options.ratio),
            )

    def note_second_send(self, service_name: str) -> None:
        """Count a second send, which costs no retry unless its share is borrowed."""
        with self._lock:
            self._sends(service_name).second_sends.append(steady_seconds())

    def charge(self, service_name: str) -> None:
        """Count a retry that was sent, whether one was left or not."""
        with self._lock:
            self._sends(service_name).retries.append(steady_seconds())

    def _has_retry_left(self, sends: _ServiceSends) -> bool:
        return len(sends.retries) + 1 <= self._limit(sends)

    def _limit(self, sends: _ServiceSends) -> float:
        """Return the bound on retries, which may borrow unused second sends."""
        ratio, second_send_share = self._options.ratio, self._options.second_send_share
        unused = self._bound(sends, ratio) - len(sends.second_sends)
        return max(unused, self._bound(sends, ratio - second_send_share))

    def _bound(self, sends: _ServiceSends, ratio: float) -> float:
        share = self._options.allowance / max(1, self._entry_hosts())
        if steady_seconds() < self._full_share_from:
            share /= 2
        return SAFETY_SHARE * (ratio * len(sends.requests) + share)

    def _sends(self, service_name: str) -> _ServiceSends:
        sends = self._sends_by_service.setdefault(service_name, _ServiceSends())
        oldest = steady_seconds() - self._options.window_seconds
        for send_times in (sends.requests, sends.retries, sends.second_sends):
            while send_times and send_times[0] < oldest:
                send_times.popleft()
        return sends
