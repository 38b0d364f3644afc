"""Limits of client accounts: requests and tokens per second over all hosts."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jujubeslip.accounts import limit_reached
from jujubeslip.declaration import Client
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import LimitShare, LimitUsage
from jujubeslip.routing._token_buckets import TokenBucket

# How often hosts report the demand of their clients, in seconds.
REPORT_SECONDS = 1.0
# A report is sent immediately if the demand since the last report exceeds SPIKE_FACTOR
# times the larger of the demand reported last and SPIKE_SHARE of a second's limit.
SPIKE_FACTOR = 1.5
SPIKE_SHARE = 0.1
# How long a share is valid without a new reply of the limit's manager, in seconds.
SHARE_LIFETIME_SECONDS = 3.0
# Accounts that were not used for this long are not reported, in seconds.
IDLE_SECONDS = 5.0

LimitKey = tuple[str, str]


@dataclass(frozen=True)
class _Share:
    """A rate that a host may admit, and the time at which it expires."""

    rate: float
    until: float


class _Meter:
    """The demand, bucket and share of one account's limit on this host."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.bucket = TokenBucket(clock)
        self.limit = 0.0
        self.requested = 0.0
        self.reported_demand = 0.0
        self.last_demand_at = clock()
        self.measured_at = clock()
        self.share: _Share | None = None

    @property
    def has_demand_spike(self) -> bool:
        """Return whether demand far exceeds what was reported to the manager."""
        expected = max(self.reported_demand * REPORT_SECONDS, SPIKE_SHARE * self.limit)
        return self.requested > SPIKE_FACTOR * expected


class ClientLimits:
    """Enforces an account's whole limit at low demand, else this host's share of it.

    Without a reply of the limit's manager, for example in a network partition, each
    host enforces an equal share among the hosts that it sees.
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
        self._spike = threading.Event()

    def wait_for_demand_spike(self, seconds: float) -> bool:
        """Wait up to `seconds` for a demand spike; return whether there is one.

        While an account has little demand, each host may admit its whole limit. A
        burst at all hosts at once would be admitted up to the limit at each host until
        the next regular reports, so a spike is reported early.
        """
        return self._spike.wait(seconds)

    def admit(self, client: Client, tokens: int) -> None:
        """Admit a request of `tokens`, or raise a refusal with the time to retry."""
        self._admit_amount(client.name, "requests", 1, client.requests_per_second)
        self._admit_amount(client.name, "tokens", tokens, client.tokens_per_second)

    def _admit_amount(
        self, client: str, kind: str, amount: float, limit: float | None
    ) -> None:
        if limit is None:
            return
        with self._lock:
            meter = self._meter_by_key.get((client, kind))
            if meter is None:
                meter = _Meter(self._clock)
                self._meter_by_key[client, kind] = meter
            meter.limit = limit
            meter.requested += amount
            meter.last_demand_at = self._clock()
            wait = meter.bucket.take(amount, self._rate(meter))
            if meter.has_demand_spike:
                self._spike.set()
        if wait > 0:
            raise limit_reached(kind, wait)

    def _rate(self, meter: _Meter) -> float:
        if meter.share is not None and meter.share.until > self._clock():
            return min(meter.limit, meter.share.rate)
        return meter.limit / max(1, self._host_count())

    def usages(self) -> list[LimitUsage]:
        """Return the demand per second of this host's clients since the last call.

        Refused requests count as well, since they show where the demand is.
        """
        now = self._clock()
        with self._lock:
            self._spike.clear()
            for key, meter in list(self._meter_by_key.items()):
                if now - meter.last_demand_at > IDLE_SECONDS:
                    del self._meter_by_key[key]
            return [
                LimitUsage(client, kind, self._measure(meter, now), meter.limit)
                for (client, kind), meter in self._meter_by_key.items()
            ]

    def _measure(self, meter: _Meter, now: float) -> float:
        seconds = max(REPORT_SECONDS / 2, now - meter.measured_at)
        demand = meter.requested / seconds
        meter.reported_demand = demand
        meter.requested = 0.0
        meter.measured_at = now
        return demand

    def apply_shares(self, shares: Iterable[LimitShare]) -> None:
        """Store the shares that a manager returned for a report."""
        until = self._clock() + SHARE_LIFETIME_SECONDS
        with self._lock:
            for share in shares:
                meter = self._meter_by_key.get((share.client, share.kind))
                if meter is not None:
                    meter.share = _Share(share.rate, until)
