"""Limits of client accounts: requests and tokens a second, over all hosts."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jujubeslip.accounts import limit_reached
from jujubeslip.declaration import Client
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import LimitShare, LimitUsage
from jujubeslip.routing._token_buckets import TokenBucket

# How often the hosts report what their clients ask for, in seconds.
REPORT_SECONDS = 1.0
# A report is sent at once when this many times the demand that was reported last, or
# that part of a second's limit, was asked for since then.
SURGE_FACTOR = 1.5
SURGE_PART = 0.1
# A share counts for this long without a new answer of the keeper, in seconds.
SHARE_LIFETIME = 3.0
# An account that nobody used for this long is not reported, in seconds.
IDLE_AFTER = 5.0

LimitKey = tuple[str, str]


@dataclass(frozen=True)
class _Share:
    """A rate that a host may admit, and the instant until which that counts."""

    rate: float
    until: float


class _Meter:
    """One limit of one account on this host."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.bucket = TokenBucket(clock)
        self.limit = 0.0
        self.asked = 0.0
        self.reported = 0.0
        self.asked_at = clock()
        self.measured_at = clock()
        self.share: _Share | None = None

    @property
    def surging(self) -> bool:
        """Say whether far more is asked for than the keeper knows of."""
        expected = max(self.reported * REPORT_SECONDS, SURGE_PART * self.limit)
        return self.asked > SURGE_FACTOR * expected


class ClientLimits:
    """Admits freely while an account is far from its limit, else by this host's share.

    Without an answer of the limit's keeper, as in a network partition, each host
    enforces an equal share of the hosts that it sees.
    """

    def __init__(
        self,
        host_count: Callable[[], int],
        clock: Callable[[], float] = steady_seconds,
    ) -> None:
        self._host_count = host_count
        self._clock = clock
        self._meter_by_key: dict[LimitKey, _Meter] = {}
        self._lock = threading.Lock()
        self._surge = threading.Event()

    def wait_for_surge(self, seconds: float) -> bool:
        """Wait until a report should go out early, at most this long; say if so.

        While an account is quiet each host may admit its whole limit. A burst at all
        hosts at once would get it as many times as there are hosts until the next
        regular reports.
        """
        return self._surge.wait(seconds)

    def admit(self, client: Client, tokens: int) -> None:
        """Count a request of this many tokens, or refuse it with when to return."""
        self._take(client.name, "requests", 1, client.requests_per_second)
        self._take(client.name, "tokens", tokens, client.tokens_per_second)

    def _take(self, client: str, kind: str, amount: float, limit: float | None) -> None:
        if limit is None:
            return
        with self._lock:
            meter = self._meter_by_key.get((client, kind))
            if meter is None:
                meter = _Meter(self._clock)
                self._meter_by_key[client, kind] = meter
            meter.limit = limit
            meter.asked += amount
            meter.asked_at = self._clock()
            wait = meter.bucket.take(amount, self._rate(meter))
            if meter.surging:
                self._surge.set()
        if wait > 0:
            raise limit_reached(kind, wait)

    def _rate(self, meter: _Meter) -> float:
        if meter.share is not None and meter.share.until > self._clock():
            return min(meter.limit, meter.share.rate)
        return meter.limit / max(1, self._host_count())

    def usages(self) -> list[LimitUsage]:
        """Return what this host's clients asked for since the last call, a second.

        What was refused counts as well: it shows where the demand is.
        """
        now = self._clock()
        with self._lock:
            self._surge.clear()
            for key, meter in list(self._meter_by_key.items()):
                if now - meter.asked_at > IDLE_AFTER:
                    del self._meter_by_key[key]
            return [
                LimitUsage(client, kind, self._measure(meter, now), meter.limit)
                for (client, kind), meter in self._meter_by_key.items()
            ]

    def _measure(self, meter: _Meter, now: float) -> float:
        seconds = max(REPORT_SECONDS / 2, now - meter.measured_at)
        demand = meter.asked / seconds
        meter.reported = demand
        meter.asked = 0.0
        meter.measured_at = now
        return demand

    def take_shares(self, shares: Iterable[LimitShare]) -> None:
        """Take over the keeper's answer to a report."""
        until = self._clock() + SHARE_LIFETIME
        with self._lock:
            for share in shares:
                meter = self._meter_by_key.get((share.client, share.kind))
                if meter is not None:
                    meter.share = _Share(share.rate, until)
