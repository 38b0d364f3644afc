"""Limits of a client account in a system of real processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.fakes.client import ask
from tests.fakes.cluster import Cluster, hash_of_key
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import DECLARATION, small_system

ENTRIES = 3
LIMIT = 30
# Exceeds the two-second burst of a fixed share, 20, but not that of the whole limit.
BURST = 28
BURST_EVERY = 2.5
MESSAGE = {"shift": 7}


class TestUnevenLoad:
    """All requests of an account arrive at one entry host.

    With a fixed share of the limit per host, they would be refused at a third of the
    limit, for no reason that the owner of the account can see.
    """

    def test_one_host_admits_shares_that_others_leave(self, tmp_path: Path) -> None:
        account = f'key_sha256 = ["{hash_of_key()}"]'
        declaration = DECLARATION.replace(
            account, f"{account}\nrequests_per_second = {LIMIT}"
        )
        spec = small_system(entries=ENTRIES, declaration=declaration)
        with Cluster(spec, tmp_path) as cluster, ThreadPoolExecutor(BURST) as pool:
            address = cluster.client_address("entry-1")

            def all_admitted() -> bool:
                # Between the bursts, the load is far below the limit.
                time.sleep(BURST_EVERY)
                calls = [
                    pool.submit(ask, address, "confirmations", MESSAGE)
                    for _ in range(BURST)
                ]
                return all(call.result().status != 429 for call in calls)

            wait_until(all_admitted, "a whole burst is admitted", 30.0)
