"""The live hosts at one version of the directory, with what is computed from them."""

from __future__ import annotations

from collections.abc import Iterable

from jujubeslip.membership._rendezvous import first_in_rendezvous_order, hash_of
from jujubeslip.peers import HostState

# Keys of one group have the same keepers, so that their order is computed once for a
# view and not for each request.
KEY_GROUPS = 4096
# The home of a pool, and the standby that grants while the home does not answer.
HOMES = 2


class LiveView:
    """Live hosts by id; the homes are computed once for each view.

    Homes are looked for among the hosts that this host can reach: two hosts that
    differ there give out too much at worst, and the engine's own limit holds. Keepers
    are looked for among all hosts that aren't known to be dead or leaving, suspected
    ones too, since two hosts that differ there could run one key twice.
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
        self._keepers_by_group: dict[tuple[int, int], list[HostState]] = {}
        self._homes_by_pool: dict[tuple[str, str], list[HostState]] = {}

    @property
    def reachable(self) -> list[HostState]:
        """Return the live hosts that this host can reach, itself among them."""
        return list(self._reachable_by_id.values())

    def homes_of(self, service: str, place: str) -> list[HostState]:
        """Return a pool's home and standby, of its place if that has any host."""
        pool = (service, place)
        homes = self._homes_by_pool.get(pool)
        if homes is None:
            homes = self._find_homes(service, place)
            self._homes_by_pool[pool] = homes
        return homes

    def _find_homes(self, service: str, place: str) -> list[HostState]:
        in_place = [
            host_id
            for host_id, state in self._reachable_by_id.items()
            if place in (state.availability_zone, state.region)
        ]
        candidates = in_place or list(self._reachable_by_id)
        key = f"home/{service}/{place}"
        order = first_in_rendezvous_order(key, candidates, HOMES)
        return [self._live_by_id[host_id] for host_id in order]

    def keepers_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that keep what is known of a client's key, owner first."""
        group = (hash_of(f"key/{key}") % KEY_GROUPS, count)
        keepers = self._keepers_by_group.get(group)
        if keepers is None:
            order = first_in_rendezvous_order(
                f"keys/{group[0]}", self._possible_by_id, count
            )
            keepers = [self._possible_by_id[host_id] for host_id in order]
            self._keepers_by_group[group] = keepers
        return keepers
