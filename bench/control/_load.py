"""Load on control hosts from several client processes."""

from __future__ import annotations

import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from jujubeslip.control import ControlClient
from jujubeslip.kernel import Deadline, PeerAddress
from jujubeslip.peers import ApplyRequest, KeyClaim, PeerIdentity

CALL_SECONDS = 20.0


@dataclass(frozen=True)
class ClaimLoad:
    """What one client process does: threads that claim `count` keys each."""

    addresses: tuple[PeerAddress, ...]
    secret: str
    name: str
    threads: int
    count: int


@dataclass(frozen=True)
class LoadResult:
    """The latencies of all calls, in seconds, and how long they took together."""

    latencies: tuple[float, ...]
    seconds: float

    @property
    def per_second(self) -> float:
        """Return the rate of calls."""
        return len(self.latencies) / self.seconds

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        ordered = sorted(self.latencies)
        position = min(len(ordered) - 1, int(len(ordered) * share))
        return round(ordered[position] * 1000, 2)


def make_client(addresses: Sequence[PeerAddress], secret: str) -> ControlClient:
    """Return a client as an entry host would have it."""
    return ControlClient(addresses, PeerIdentity("bench", 1, secret))


def claim_keys(load: ClaimLoad) -> list[float]:
    """Claim keys from this process's threads and return the latencies."""
    client = make_client(load.addresses, load.secret)
    with ThreadPoolExecutor(load.threads) as pool:
        runs = [
            pool.submit(_claim_some, client, f"{load.name}-{number}", load.count)
            for number in range(load.threads)
        ]
        return [latency for run in runs for latency in run.result()]


def _claim_some(client: ControlClient, name: str, count: int) -> list[float]:
    latencies = []
    for number in range(count):
        request_id = f"{name}-{number:032d}"
        claim = KeyClaim("client", request_id, request_id, "entry-1/17", "f" * 64)
        begun = time.monotonic()
        client.claim_key(claim, Deadline.after(CALL_SECONDS))
        latencies.append(time.monotonic() - begun)
    return latencies


def offer_claims(
    addresses: tuple[PeerAddress, ...],
    secret: str,
    name: str,
    processes: int,
    threads: int,
    count: int,
) -> LoadResult:
    """Claim processes x threads x count keys, each of its own."""
    loads = [
        ClaimLoad(addresses, secret, f"{name}-{number}", threads, count)
        for number in range(processes)
    ]
    begun = time.monotonic()
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        warm = list(pool.map(time.sleep, [0.3] * processes))
        assert len(warm) == processes
        begun = time.monotonic()
        latencies = [item for run in pool.map(claim_keys, loads) for item in run]
    return LoadResult(tuple(latencies), time.monotonic() - begun)


def apply_changes(
    client: ControlClient, first: int, count: int, size: int
) -> LoadResult:
    """Apply changes of `size` bytes one after another, from revision `first` on."""
    filler = "".join(f"# line {number} of a declaration\n" for number in range(10_000))
    latencies = []
    begun = time.monotonic()
    for number in range(first, first + count):
        declaration = f"# change {number}\n{filler}"[:size].rsplit("\n", 1)[0]
        request = ApplyRequest(f"change-{number}", number, declaration, "bench")
        called = time.monotonic()
        reply = client.apply_configuration(request, Deadline.after(CALL_SECONDS))
        latencies.append(time.monotonic() - called)
        assert reply.accepted, reply
    return LoadResult(tuple(latencies), time.monotonic() - begun)
