"""Limits of client accounts over several hosts, with a simulated clock."""

from __future__ import annotations

import pytest

from jujubeslip.declaration import Client
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.routing._client_limits import SHARE_LIFETIME_SECONDS, ClientLimits
from jujubeslip.routing._quota_manager import QuotaManager

HOSTS = 4
LIMIT = 40.0
CLIENT = Client("account", ("0" * 64,), requests_per_second=LIMIT)


class Hosts:
    """Hosts with one quota manager; usage is reported by explicit calls only."""

    def __init__(self) -> None:
        self.now = 100.0
        self.quota_manager = QuotaManager(self.read_clock)
        self.limits = [
            ClientLimits(lambda: HOSTS, self.read_clock) for _ in range(HOSTS)
        ]

    def read_clock(self) -> float:
        return self.now

    def admit_requests(self, host: int, requests: int) -> int:
        """Send requests to a host and return how many it admits."""
        admitted = 0
        for _ in range(requests):
            try:
                self.limits[host].admit(CLIENT, 0)
                admitted += 1
            except RequestRefusedError as refusal:
                assert refusal.ran is Ran.NO
                assert refusal.retry_after is not None and refusal.retry_after > 0
        return admitted

    def run_second(self, requests: list[int], report: bool = True) -> list[int]:
        """Send one second of requests to each host, then report the usage."""
        admitted = [0] * HOSTS
        for _ in range(10):
            self.now += 0.1
            for host in range(HOSTS):
                admitted[host] += self.admit_requests(host, requests[host] // 10)
        if report:
            for host, limits in enumerate(self.limits):
                shares = self.quota_manager.report(str(host), limits.usages(), HOSTS)
                limits.apply_shares(shares)
        return admitted


@pytest.fixture
def hosts() -> Hosts:
    return Hosts()


class TestSharedQuota:
    def test_one_host_may_use_shares_that_others_leave(self, hosts: Hosts) -> None:
        """The load balancer sends nearly all of an account's requests to one host.

        With a fixed share per host, it would be refused at a quarter of its limit.
        """
        for _ in range(5):
            hosts.run_second([20, 0, 0, 0])
        assert hosts.run_second([20, 0, 0, 0])[0] == 20

    def test_admitted_sum_stays_near_the_limit(self, hosts: Hosts) -> None:
        for _ in range(10):
            hosts.run_second([60, 30, 20, 10])
        admitted = sum(sum(hosts.run_second([60, 30, 20, 10])) for _ in range(10))
        assert 0.8 * 10 * LIMIT <= admitted <= 1.1 * 10 * LIMIT

    def test_shares_follow_the_demand(self, hosts: Hosts) -> None:
        for _ in range(10):
            hosts.run_second([60, 10, 10, 10])
        for _ in range(10):
            hosts.run_second([10, 10, 10, 60])
        admitted = hosts.run_second([10, 10, 10, 60])
        assert admitted[3] > admitted[0] + admitted[1]

    def test_demand_spike_is_reported_early(self, hosts: Hosts) -> None:
        """An account with little demand suddenly exceeds its limit at all hosts.

        Each host may admit the whole limit until the demand is reported.
        """
        for _ in range(5):
            hosts.run_second([1, 1, 1, 1])
        limits = hosts.limits[0]
        assert not limits.wait_for_demand_spike(0)
        hosts.admit_requests(0, 10)
        assert limits.wait_for_demand_spike(0)
        limits.apply_shares(hosts.quota_manager.report("0", limits.usages(), HOSTS))
        assert not limits.wait_for_demand_spike(0)


class TestPartitionedHost:
    def test_falls_back_to_an_equal_share(self, hosts: Hosts) -> None:
        """A host that may use a whole limit is partitioned from the limit's manager.

        If such hosts continued to admit the whole limit, the account would get it once
        per host.
        """
        for _ in range(5):
            hosts.run_second([20, 0, 0, 0])
        for _ in range(int(SHARE_LIFETIME_SECONDS) + 2):
            hosts.run_second([60, 0, 0, 0], report=False)
        admitted = hosts.run_second([60, 0, 0, 0], report=False)
        assert admitted[0] <= LIMIT / HOSTS + 1

    def test_demand_of_a_lost_host_is_forgotten(self, hosts: Hosts) -> None:
        for _ in range(5):
            hosts.run_second([60, 60, 0, 0])
        limits = hosts.limits[0]
        for _ in range(6):
            hosts.now += 1.0
            hosts.admit_requests(0, 20)
            limits.apply_shares(hosts.quota_manager.report("0", limits.usages(), HOSTS))
        shares = hosts.quota_manager.report("0", limits.usages(), HOSTS)
        assert not shares[0].shared
