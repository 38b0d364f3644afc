"""Generates load on control hosts from several client processes."""

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
    """The load of one client process: threads that claim `count` keys each."""

    addresses: tuple[PeerAddress, ...]
    secret: str
    name: str
    threads: int
    count: int


@dataclass(frozen=True)
class LoadResult:
    """The latencies of all calls and their total duration, in seconds."""

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
    """Return a client like that of an entry host."""
    return ControlClient(addresses, PeerIdentity("bench", 1, secret))


def claim_keys(load: ClaimLoad) -> list[float]:
    """Claim keys from the threads of this process and return the latencies."""
    client = make_client(load.addresses, load.secret)
    with ThreadPoolExecutor(load.threads) as pool:
        results = [
            pool.submit(
                _claim_keys_in_thread, client, f"{load.name}-{number}", load.count
            )
            for number in range(load.threads)
        ]
        return [latency for result in results for latency in result.result()]


def _claim_keys_in_thread(client: ControlClient, name: str, count: int) -> list[float]:
    latencies = []
    for number in range(count):
        request_id = f"{name}-{number:032d}"
        claim = KeyClaim("client", request_id, request_id, "entry-1/17", "f" * 64)
        started_at = time.monotonic()
        client.claim_key(claim, Deadline.after(CALL_SECONDS))
        latencies.append(time.monotonic() - started_at)
    return latencies


def claim_keys_in_processes(
    addresses: tuple[PeerAddress, ...],
    secret: str,
    name: str,
    processes: int,
    threads: int,
    count: int,
) -> LoadResult:
    """Claim processes x threads x count different keys."""
    claim_loads = [
        ClaimLoad(addresses, secret, f"{name}-{number}", threads, count)
        for number in range(processes)
    ]
    started_at = time.monotonic()
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        warm = list(pool.map(time.sleep, [0.3] * processes))
        assert len(warm) == processes
        started_at = time.monotonic()
        latencies = [
            item for result in pool.map(claim_keys, claim_loads) for item in result
        ]
    return LoadResult(tuple(latencies), time.monotonic() - started_at)


def apply_changes(
    client: ControlClient, first: int, count: int, size: int
) -> LoadResult:
    """Apply changes of `size` bytes one after another, from revision `first` on."""
    filler = "".join(f"# line {number} of a declaration\n" for number in range(10_000))
    latencies = []
    started_at = time.monotonic()
    for number in range(first, first + count):
        declaration = f"# change {number}\n{filler}"[:size].rsplit("\n", 1)[0]
        request = ApplyRequest(f"change-{number}", number, declaration, "bench")
        call_started_at = time.monotonic()
        reply = client.apply_configuration(request, Deadline.after(CALL_SECONDS))
        latencies.append(time.monotonic() - call_started_at)
        assert reply.accepted, reply
    return LoadResult(tuple(latencies), time.monotonic() - started_at)
