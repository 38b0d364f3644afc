"""Hosts that run only the membership code, with a fault proxy on each hop."""

from __future__ import annotations

from collections.abc import Callable

from bench.membership.measure import HostProcess
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.processes import free_address, wait_until

BOUND_SECONDS = 20.0


class Hosts:
    """Starts `host-0`, `host-1`, ... in the given zones, and stops only these.

    Each host reaches each other one through a separate proxy, so that every hop can
    fail independently.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        ids = [f"host-{number}" for number in range(len(zones))]
        address_by_id = {host_id: free_address() for host_id in ids}
        self.zone_by_id = dict(zip(ids, zones, strict=True))
        self.proxy_by_hop = {
            (source, target): FaultProxy(address_by_id[target])
            for source in ids
            for target in ids
            if source != target
        }
        self.by_id = {
            host_id: HostProcess(
                host_id,
                address_by_id[host_id],
                self.zone_by_id[host_id],
                [
                    f"{target}={proxy.address}"
                    for (source, target), proxy in self.proxy_by_hop.items()
                    if source == host_id
                ],
            )
            for host_id in ids
        }

    def __enter__(self) -> Hosts:
        try:
            for host in self.by_id.values():
                host.send_command("watch")
            all_hosts = set(self.by_id)
            self.wait(lambda: all(self.live(host) == all_hosts for host in all_hosts))
            self.wait(lambda: all(self._is_settled(host) for host in all_hosts))
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _is_settled(self, host_id: str) -> bool:
        """Return whether the last recorded change of every host is to ALIVE."""
        status_by_id = dict(self.changes(host_id))
        return status_by_id == dict.fromkeys(self.by_id, "ALIVE")

    def stop(self) -> None:
        """Stop the processes and the proxies."""
        for host in self.by_id.values():
            host.end()
        for proxy in self.proxy_by_hop.values():
            proxy.stop()

    def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds, at most BOUND_SECONDS."""
        wait_until(condition, "the hosts' views are as expected", BOUND_SECONDS)

    def statuses(self, host_id: str) -> dict[str, str]:
        """Return the status of all other hosts in a host's view."""
        statuses = self.by_id[host_id].report()["status_by_id"]
        assert isinstance(statuses, dict)
        return statuses

    def live(self, host_id: str) -> set[str]:
        """Return the live hosts in a host's view."""
        return set(self.by_id[host_id].report()["live"])

    def changes(self, host_id: str) -> list[tuple[str, str]]:
        """Return the changes of status that a host has seen, in order."""
        changes = list(self.by_id[host_id].changes)
        return [(change["changed"], change["to"]) for change in changes]

    def clear_changes(self) -> None:
        """Discard the recorded changes."""
        for host in self.by_id.values():
            host.changes.clear()

    def partition_zone(self, zone: str) -> None:
        """Partition a zone from all others, in both directions."""
        for (source, target), proxy in self.proxy_by_hop.items():
            if (self.zone_by_id[source] == zone) != (self.zone_by_id[target] == zone):
                proxy.cut()

    def heal(self) -> None:
        """Restore all connections."""
        for proxy in self.proxy_by_hop.values():
            proxy.heal()
