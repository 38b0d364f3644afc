"""The host's view of the entry hosts, valid while its lease on the view holds."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable, Mapping
from copy import copy

from jujubeslip.membership._host_table import HostTable
from jujubeslip.membership._lease import ViewLease
from jujubeslip.membership._live_view import LiveView
from jujubeslip.membership._rings import successors
from jujubeslip.peers import HostState, HostStatus

_STATUSES_BEST_FIRST = (
    HostStatus.ALIVE,
    HostStatus.LEAVING,
    HostStatus.SUSPECT,
    HostStatus.DEAD,
)


class HostDirectory:
    """The entry hosts by id, as this host sees them.

    The addresses in `address_by_id` override those that the hosts announce.
    """

    def __init__(
        self, own: HostState, address_by_id: Mapping[str, str] | None = None
    ) -> None:
        self._table = HostTable(own, address_by_id or {})
        self._lease = ViewLease()
        self._lock = threading.RLock()
        self._refresh()

    # This host itself

    @property
    def own(self) -> HostState:
        """Return this host's own state."""
        return self._table.own

    @property
    def view_expired(self) -> bool:
        """Return whether this host may have missed updates and needs a full list."""
        return self._lease.view_expired

    @property
    def has_valid_view(self) -> bool:
        """Return whether this host's view of the others is valid now."""
        with self._lock:
            return self._lease.valid

    @property
    def isolated(self) -> bool:
        """Return whether this host knows others but its view of them is invalid."""
        with self._lock:
            return bool(self._table.record_by_id) and not self._lease.valid

    @property
    def superseded(self) -> bool:
        """Return whether a later incarnation of this host has replaced this one."""
        return self._table.superseded

    def tick(self, configuration_revision: int) -> None:
        """Apply expired deadlines and announce a new revision; call it often."""
        with self._lock:
            self._lease.tick()
            if self.own.configuration_revision != configuration_revision:
                self.own.configuration_revision = configuration_revision
                self._table.raise_heartbeat()
            if self._lease.valid:
                self._table.expire_suspects()
            self._table.remove_expired()
            self._refresh()

    def leave(self) -> None:
        """Announce that this host is leaving; this is final for its incarnation."""
        with self._lock:
            self.own.status = HostStatus.LEAVING
            self._table.raise_heartbeat()
            self._table.has_urgent_change = True
            self._refresh()

    def pop_urgent_change(self) -> bool:
        """Return and reset whether a change must be sent to the neighbours at once."""
        with self._lock:
            is_urgent, self._table.has_urgent_change = (
                self._table.has_urgent_change,
                False,
            )
            return is_urgent

    # Updates from peers and from probes

    def merge(self, states: Iterable[HostState]) -> None:
        """Merge the states that are newer than the known ones."""
        with self._lock:
            for state in states:
                self._table.merge(state)
            self._refresh()

    def suspect(self, host_id: str) -> None:
        """Mark a host as suspected; neither this host nor those it asked reached it."""
        with self._lock:
            self._table.suspect(host_id)
            self._refresh()

    def is_healthy(self, host_id: str) -> bool:
        """Return whether a host is known here and neither suspected nor dead."""
        with self._lock:
            record = self._table.record_by_id.get(host_id)
            return record is not None and record.healthy

    def record_reachability(self, host_id: str, reached: bool) -> None:
        """Record whether this host itself got an answer from another one."""
        with self._lock:
            self._table.record_reachability(host_id, reached)
            self._refresh()

    def renew_lease(self, asked_at: float) -> None:
        """Renew the lease by a peer's answer to a call sent at this monotonic time."""
        with self._lock:
            self._lease.renew(asked_at)

    def apply_full_list(
        self, live: Iterable[HostState], asked_at: float, complete: bool
    ) -> None:
        """Apply a peer's list of all live hosts, or compare it with this host's view.

        `complete` means that the peer's own view is valid. If this host's view has
        expired, each host that is not listed is suspected, and is dead unless it
        refutes that in time. Otherwise a difference only makes this host probe, so
        that a list from the other side of a network partition removes no host.
        """
        with self._lock:
            listed = [state.host_id for state in live]
            if self._lease.view_expired:
                if self._lease.restore(asked_at, complete) and complete:
                    self._table.suspect_unlisted(listed)
            elif complete:
                self._table.verify_differences(listed)
            self._refresh()

    def pop_host_to_verify(self) -> str | None:
        """Remove and return one host to probe now, or None."""
        with self._lock:
            hosts_to_verify = self._table.hosts_to_verify
            return hosts_to_verify.pop() if hosts_to_verify else None

    # Views

    def _refresh(self) -> None:
        """Recompute the cached views if a record changed."""
        if not self._table.changed:
            return
        self._table.changed = False
        own = copy(self.own)
        records = self._table.record_by_id.values()
        visible = [
            own,
            *(record.local_state() for record in records if not record.dead),
        ]
        live = [state for state in visible if state.status == HostStatus.ALIVE]
        suspected = [state for state in visible if state.status == HostStatus.SUSPECT]
        unreachable = {
            record.state.host_id
            for record in records
            if record.unreachable_until is not None
        }
        self._view = LiveView(live or [own], unreachable, suspected)
        self._single_host_view = LiveView([own], set())
        self._digest = self._table.digest()
        self._successor_by_ring = successors(own, visible[1:])

    def _current_view(self) -> LiveView:
        with self._lock:
            return self._view if self._lease.valid else self._single_host_view

    def states(self) -> list[HostState]:
        """Return all known hosts with their status in this host's view."""
        with self._lock:
            best = self._lease.best_status
            states = [copy(self.own)]
            for record in self._table.record_by_id.values():
                state = record.local_state()
                state.status = _worse(record.status, best)
                states.append(state)
            return states

    def live_hosts(self) -> list[HostState]:
        """Return the usable hosts: not dead, suspected, leaving or unreachable."""
        return list(self._current_view().reachable)

    def home_of(self, service: str, locality: str) -> HostState:
        """Return the home of a service's endpoints in a zone or region.

        Hosts of that zone or region come first, so that a partitioned zone keeps its
        homes.
        """
        return self.homes_of(service, locality)[0]

    def homes_of(self, service: str, locality: str) -> list[HostState]:
        """Return the home of a service's endpoints, and its standby if there is one."""
        return self._current_view().homes_of(service, locality)

    def key_owners_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that store the state of a key, the primary owner first."""
        return self._current_view().key_owners_of(key, count)

    def status_of(self, host_id: str, incarnation: int) -> HostStatus:
        """Return the status of one incarnation; an older one is dead.

        While this host may have missed updates, no host counts as dead. Otherwise the
        requests that a live host holds at an engine could be cancelled.
        """
        with self._lock:
            if host_id == self.own.host_id:
                same = incarnation == self.own.incarnation
                return HostStatus.ALIVE if same else HostStatus.DEAD
            record = self._table.record_by_id.get(host_id)
            if record is not None and record.state.incarnation > incarnation:
                return HostStatus.DEAD
            best = self._lease.best_status
            if best == HostStatus.SUSPECT:
                return best
            if record is None or record.state.incarnation < incarnation:
                return self._table.status_of_unknown(host_id, incarnation)
            return _worse(record.status, best)

    def address_of(self, host_id: str) -> str | None:
        """Return the host's peer address, or None for an unknown host."""
        with self._lock:
            if host_id == self.own.host_id:
                return str(self.own.address)
            record = self._table.record_by_id.get(host_id)
            return None if record is None else record.address

    def host_at(self, address: str) -> str | None:
        """Return the host whose peer address this is, or None."""
        with self._lock:
            for host_id, record in self._table.record_by_id.items():
                if record.address == address:
                    return host_id
            return None

    # Data for gossip messages and probes

    @property
    def view_digest(self) -> int:
        """Return the digest of the live hosts, or 0 while the view is invalid."""
        with self._lock:
            return self._digest if self._lease.valid else 0

    @property
    def has_updates(self) -> bool:
        """Return whether there are updates still to be sent."""
        with self._lock:
            return bool(self._table.updates)

    def states_for(self, host_id: str) -> list[HostState]:
        """Return the states to send to a host.

        These are this host's own state, a suspicion of the receiver so that it can
        refute it, and some updates. While the view is invalid no updates are sent,
        because they may be outdated.
        """
        with self._lock:
            states = {self.own.host_id: copy(self.own)}
            record = self._table.record_by_id.get(host_id)
            if record is not None and not record.healthy:
                states[host_id] = record.gossip_state()
            if self._lease.valid:
                for state in self._table.next_updates():
                    states.setdefault(state.host_id, state)
            return list(states.values())

    def page_after(self, host_id: str) -> list[HostState]:
        """Return the next live hosts ordered by id; empty after the last one."""
        with self._lock:
            if self._lease.valid:
                return self._table.page_after(host_id)
            return [copy(self.own)] if self.own.host_id > host_id else []

    def neighbours(self) -> dict[str, HostState]:
        """Return the hosts that this host probes, the next one on each ring, by ring.

        A ring orders hosts by a hash of their ids. Rings without others are left out.
        """
        with self._lock:
            return dict(self._successor_by_ring)

    def helpers_for(self, host_id: str, count: int) -> list[HostState]:
        """Return random hosts to ask whether they reach one that this one can't."""
        with self._lock:
            others = [
                state for state in self._view.reachable if state.host_id != host_id
            ]
        others = [state for state in others if state.host_id != self.own.host_id]
        return random.sample(others, min(count, len(others)))

    def addresses(self, *, lost: bool = False) -> list[str]:
        """Return the addresses of all known hosts, or only of dead ones if `lost`."""
        with self._lock:
            return [
                record.address
                for record in self._table.record_by_id.values()
                if record.dead or not lost
            ]


def _worse(one: HostStatus, other: HostStatus) -> HostStatus:
    return max(one, other, key=_STATUSES_BEST_FIRST.index)
