"""The live hosts at one version of the directory, with what is computed from them."""

from __future__ import annotations

from collections.abc import Iterable

from jujubeslip.membership._rendezvous import first_in_rendezvous_order, hash_of
from jujubeslip.peers import HostState

# Keys of one group have the same keepers, so that their order is computed once for a
# view and not for each request.
KEY_GROUPS = 4096


class LiveView:
    """Live hosts by id; the homes are computed once for each view.

    Homes are looked for among the hosts that this host can reach: two hosts that
    differ there give out too much at worst, and the engine's own limit holds. Keepers
    are looked for among all live hosts, since two hosts that differ there could run
    one key twice.
    """

    def __init__(self, live: Iterable[HostState], unreachable: set[str]) -> None:
        self._live_by_id = {state.host_id: state for state in live}
        self._reachable_by_id = {
            host_id: state
            for host_id, state in self._live_by_id.items()
            if host_id not in unreachable
        }
        self._keepers_by_group: dict[tuple[int, int], list[HostState]] = {}
        self._home_by_pool: dict[tuple[str, str], HostState] = {}

    @property
    def reachable(self) -> list[HostState]:
        """Return the live hosts that this host can reach, itself among them."""
        return list(self._reachable_by_id.values())

    def home_of(self, service: str, place: str) -> HostState:
        """Return the home of a pool, among the hosts of its place if there are any."""
        pool = (service, place)
        home = self._home_by_pool.get(pool)
        if home is None:
            home = self._find_home(service, place)
            self._home_by_pool[pool] = home
        return home

    def _find_home(self, service: str, place: str) -> HostState:
        in_place = [
            host_id
            for host_id, state in self._reachable_by_id.items()
            if place in (state.availability_zone, state.region)
        ]
        candidates = in_place or list(self._reachable_by_id)
        key = f"home/{service}/{place}"
        return self._live_by_id[first_in_rendezvous_order(key, candidates, 1)[0]]

    def keepers_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that keep what is known of a client's key, owner first."""
        group = (hash_of(f"key/{key}") % KEY_GROUPS, count)
        keepers = self._keepers_by_group.get(group)
        if keepers is None:
            order = first_in_rendezvous_order(
                f"keys/{group[0]}", self._live_by_id, count
            )
            keepers = [self._live_by_id[host_id] for host_id in order]
            self._keepers_by_group[group] = keepers
        return keepers
