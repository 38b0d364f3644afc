"""Measures the cost of an entry host's tables by their size, within one process.

`python -m bench.capacity.tables` prints the processor time of the choice of a home, of
one reservation and grant, and of a declaration, and the memory of the last two tables.
Each is measured at three sizes or more, one of which is the target's, so that nothing
is extrapolated.
"""

from __future__ import annotations

import hashlib
import itertools
import time
import tracemalloc
from collections.abc import Callable

from bench.capacity.fleet import RUNS, print_figures, spread_of, timed_cpu
from jujubeslip.declaration import Declaration, parse_declaration
from jujubeslip.endpoints import EndpointStatus
from jujubeslip.homes import Pool, SchedulerOptions
from jujubeslip.kernel import run_checks
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import (
    Announcement,
    EndpointRole,
    GrantProgress,
    HostState,
    HostStatus,
    ReserveRequest,
    ReserveStatus,
)
from jujubeslip.rules import RequestFacts, first_match

HOST_SIZES = (7, 64, 380)
ENDPOINT_SIZES = (8, 64, 600)
CLIENT_SIZES = (10, 100, 320)
SLOTS = 8
CALLS = 200


def main() -> None:
    """Measure each table at each size."""
    for size in HOST_SIZES:
        measure_directory(size)
    for size in ENDPOINT_SIZES:
        measure_pool(size)
    for size in CLIENT_SIZES:
        measure_declaration(size)


def _cpu(operation: Callable[[], object], calls: int = CALLS) -> str:
    return spread_of(timed_cpu(operation, calls) for _ in range(RUNS))


def _host(number: int) -> HostState:
    zone = number % 6
    return HostState(
        f"entry-{number}",
        1_764_700_000_000_000 + number,
        f"10.0.{number // 250}.{number % 250}:8201",
        f"zone-{zone}",
        HostStatus.ALIVE,
        1,
        1,
        f"region-{zone // 3}",
    )


def measure_directory(size: int) -> None:
    """Measure the choice of a home among `size` entry hosts."""
    directory = HostDirectory(_host(0))
    directory.merge(_host(number) for number in range(1, size))
    print_figures(
        "directory of entry hosts, microseconds a call",
        entry_hosts=size,
        home_of=_cpu(lambda: directory.home_of("summaries", "region-0")),
        keepers_of=_cpu(lambda: directory.key_owners_of("client/key", 2)),
        live_hosts=_cpu(directory.live_hosts),
    )


def _announcement(number: int) -> Announcement:
    role = EndpointRole.PREFILL if number % 4 == 0 else EndpointRole.DECODE
    address = f"10.1.{number // 250}.{number % 250}:9000"
    return Announcement(
        f"engine-{number}",
        1,
        address,
        "zone-1",
        "summaries",
        role,
        "model",
        SLOTS,
        False,
        "region-1",
    )


def _status(announcement: Announcement) -> EndpointStatus:
    return EndpointStatus(
        announcement.endpoint_id,
        announcement.incarnation,
        announcement.role,
        False,
        SLOTS,
        (),
        0,
        0,
    )


def measure_pool(size: int) -> None:
    """Measure announcements, statuses and grants at the home of `size` endpoints."""
    tracemalloc.start()
    pool = Pool("summaries", "region-1", SchedulerOptions())
    announcements = [_announcement(number) for number in range(size)]
    for announcement in announcements:
        pool.announce(announcement)
        _observe(pool, announcement)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    announcement_cycle = itertools.cycle(announcements)
    numbers = itertools.count()

    def grant_and_release() -> None:
        for announcement in itertools.islice(announcement_cycle, 1):
            _observe(pool, announcement)
        reply = pool.reserve(_reserve_request(next(numbers)))
        assert reply.status == ReserveStatus.GRANTED, reply
        grant_id = reply.grant.grant_id
        pool.progress(GrantProgress(grant_id, True, False, False, 64, 0, ""))
        pool.progress(GrantProgress(grant_id, False, True, False, 0, 0, ""))
        pool.progress(GrantProgress(grant_id, False, False, True, 0, 32, ""))

    print_figures(
        "home of endpoints, microseconds a call",
        endpoints=size,
        announce=_cpu(lambda: pool.announce(next(announcement_cycle))),
        observe_status=_cpu(lambda: _observe(pool, next(announcement_cycle))),
        reserve_and_three_reports=_cpu(grant_and_release),
        state_bytes_per_endpoint=round(state_bytes / size),
    )


def _observe(pool: Pool, announcement: Announcement) -> None:
    pool.observe(announcement.endpoint_id, _status(announcement), time.monotonic())


def _reserve_request(number: int) -> ReserveRequest:
    return ReserveRequest(
        request_id=f"request-{number}",
        attempt=1,
        owner="entry-1/1",
        service_name="summaries",
        priority=0,
        first_token_remaining_ms=10_000,
        wait_remaining_ms=10_000,
        prompt_tokens=64,
        output_tokens=32,
        prefix_hashes=[],
        avoid_endpoint_ids=[],
        prefill_endpoint_id="",
        traceparent="",
        place="region-1",
        plain=False,
    )


def declaration_text(clients: int, services: int = 6) -> str:
    """Return a declaration with `clients` client accounts and a rule for each."""
    lines = []
    for number in range(services):
        lines += ["[[service]]", f'name = "service-{number}"', 'model = "model"']
    for number in range(clients):
        key = hashlib.sha256(str(number).encode()).hexdigest()
        lines += ["[[client]]", f'name = "client-{number}"', f'key_sha256 = ["{key}"]']
        lines += ["requests_per_second = 50.0", "tokens_per_second = 10000.0"]
        lines += ["[[rule]]", f'name = "rule-{number}"']
        lines += [f'when = {{ client = "client-{number}", prompt_tokens_max = 2000 }}']
        lines += ['then = { priority = "urgent", first_token_ms = 630 }']
    lines += ["[[rule]]", 'name = "last"']
    return "\n".join(lines) + "\n"


def measure_declaration(clients: int) -> None:
    """Measure a declaration with `clients` client accounts."""
    text = declaration_text(clients)
    tracemalloc.start()
    declaration: Declaration = parse_declaration(text).unwrap()
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    facts = RequestFacts(
        "service-0", "model", "", "nobody", declaration.rule[0].then.priority,
        10, True, 0, 0.0, "zone-1",
    )  # fmt: skip
    print_figures(
        "declaration, microseconds a call",
        clients=clients,
        rules=len(declaration.rule),
        bytes=len(text),
        state_bytes=state_bytes,
        parse=_cpu(lambda: parse_declaration(text), 5),
        checks=_cpu(lambda: list(run_checks(declaration)), 2),
        match_last_rule=_cpu(lambda: first_match(declaration.rule, facts), 20),
    )


if __name__ == "__main__":
    main()
