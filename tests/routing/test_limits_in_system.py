"""An account's limit in the whole system, with real processes."""

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
# More than a fixed share's burst of two seconds, 20, and less than the limit's.
BURST = 28
BURST_EVERY = 2.5
MESSAGE = {"shift": 7}


class TestUnevenLoad:
    """An account's requests all arrive at one entry host.

    With a fixed share of the limit for each host it would be refused at a third of
    what it may use, for no reason that its owner can see.
    """

    def test_one_host_admits_what_the_others_leave(self, tmp_path: Path) -> None:
        account = f'key_sha256 = ["{hash_of_key()}"]'
        declaration = DECLARATION.replace(
            account, f"{account}\nrequests_per_second = {LIMIT}"
        )
        spec = small_system(entries=ENTRIES, declaration=declaration)
        with Cluster(spec, tmp_path) as cluster, ThreadPoolExecutor(BURST) as pool:
            address = cluster.client_address("entry-1")

            def all_admitted() -> bool:
                # The load: far below the limit between the bursts.
                time.sleep(BURST_EVERY)
                calls = [
                    pool.submit(ask, address, "confirmations", MESSAGE)
                    for _ in range(BURST)
                ]
                return all(call.result().status != 429 for call in calls)

            wait_until(all_admitted, "a whole burst is admitted", 30.0)
