"""The live hosts at one version of the directory, with pool homes and key owners."""

from __future__ import annotations

from collections.abc import Iterable

from jujubeslip.membership._rendezvous import first_in_rendezvous_order, hash_of
from jujubeslip.peers import HostState

# Keys of one group have the same owners, so that these are computed once for each view
# and not for each request.
KEY_GROUPS = 4096
# The home of a pool, and the standby that grants while the home does not respond.
HOSTS_PER_POOL = 2


class LiveView:
    """Live hosts by id; homes and key owners are computed once for each view.

    Homes are chosen among the hosts that this host can reach. Two hosts that disagree
    on a home grant too much at worst, and the engine's own limit still applies. Key
    owners are chosen among all hosts that aren't known to be dead or leaving, including
    suspected ones, since two hosts that disagree on them could run one key twice.
    """

    def __init__(
        self,
        live: Iterable[HostState],
        unreachable: set[str],
        suspected: Iterable[HostState] = (),
    ) -> None:
        self._live_by_id = {state.host_id: state for state in live}
        self._possible_by_id = self._live_by_id | {
            state.host_id: state for state in suspected
        }
        self._reachable_by_id = {
            host_id: state
            for host_id, state in self._live_by_id.items()
            if host_id not in unreachable
        }
        self._owners_by_group: dict[tuple[int, int], list[HostState]] = {}
        self._homes_by_pool: dict[tuple[str, str], list[HostState]] = {}

    @property
    def reachable(self) -> list[HostState]:
        """Return the live hosts that this host can reach, including itself."""
        return list(self._reachable_by_id.values())

    def homes_of(self, service: str, locality: str) -> list[HostState]:
        """Return a pool's home and standby, from its locality if that has any host."""
        pool = (service, locality)
        homes = self._homes_by_pool.get(pool)
        if homes is None:
            homes = self._find_homes(service, locality)
            self._homes_by_pool[pool] = homes
        return homes

    def _find_homes(self, service: str, locality: str) -> list[HostState]:
        in_locality = [
            host_id
            for host_id, state in self._reachable_by_id.items()
            if locality in (state.availability_zone, state.region)
        ]
        candidates = in_locality or list(self._reachable_by_id)
        key = f"home/{service}/{locality}"
        order = first_in_rendezvous_order(key, candidates, HOSTS_PER_POOL)
        return [self._live_by_id[host_id] for host_id in order]

    def key_owners_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that store the state of a key, the primary owner first."""
        group = (hash_of(f"key/{key}") % KEY_GROUPS, count)
        owners = self._owners_by_group.get(group)
        if owners is None:
            order = first_in_rendezvous_order(
                f"keys/{group[0]}", self._possible_by_id, count
            )
            owners = [self._possible_by_id[host_id] for host_id in order]
            self._owners_by_group[group] = owners
        return owners
