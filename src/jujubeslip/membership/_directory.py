"""What this host knows of the entry hosts, and until when it may rely on it."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from copy import copy

from jujubeslip.kernel import Deadline
from jujubeslip.membership._rendezvous import rendezvous_order
from jujubeslip.peers import HostState, HostStatus

# Seconds without a newer heartbeat until a host is suspected, and until it is dead.
SUSPECT_AFTER = 1.2
DEAD_AFTER = 3.0
# A dead host's record is kept this long, so that old gossip can't bring it back.
FORGET_AFTER = 600.0


class _Record:
    """A host's newest state and this host's own deadlines for believing in it."""

    def __init__(self, state: HostState) -> None:
        self.state = state
        self.renew()

    def renew(self) -> None:
        self.suspect_at = Deadline.after(SUSPECT_AFTER)
        self.dead_at = Deadline.after(DEAD_AFTER)
        self.forget_at = Deadline.after(FORGET_AFTER)

    @property
    def status(self) -> HostStatus:
        if self.state.status == HostStatus.LEAVING:
            return HostStatus.DEAD if self.dead_at.expired else HostStatus.LEAVING
        if self.dead_at.expired:
            return HostStatus.DEAD
        if self.suspect_at.expired:
            return HostStatus.SUSPECT
        return HostStatus.ALIVE


class HostDirectory:
    """The entry hosts by id; each host's own heartbeats refute a suspicion.

    A host that was frozen finds all deadlines passed when it wakes, so it relies on
    nobody until it has heard from them again.
    """

    def __init__(self, own: HostState) -> None:
        self._own = own
        self._record_by_id: dict[str, _Record] = {}
        self._dead_at_by_unknown: dict[tuple[str, int], Deadline] = {}
        self._lock = threading.Lock()

    @property
    def own(self) -> HostState:
        """Return this host's own state."""
        return self._own

    def beat(self, configuration_revision: int) -> None:
        """Raise this host's own heartbeat."""
        with self._lock:
            self._own.heartbeat += 1
            self._own.configuration_revision = configuration_revision

    def leave(self) -> None:
        """Say from now on that this host is leaving; final for its incarnation."""
        with self._lock:
            self._own.status = HostStatus.LEAVING
            self._own.heartbeat += 1

    def merge(self, states: Iterable[HostState]) -> None:
        """Take over what is newer than what this host knows."""
        with self._lock:
            for state in states:
                self._merge_one(state)
            self._forget_old()

    def _merge_one(self, state: HostState) -> None:
        if state.host_id == self._own.host_id:
            return
        record = self._record_by_id.get(state.host_id)
        if record is None:
            self._record_by_id[state.host_id] = _Record(state)
            return
        known = record.state
        if (state.incarnation, state.heartbeat) <= (known.incarnation, known.heartbeat):
            return
        record.state = state
        record.renew()

    def _forget_old(self) -> None:
        for owner, dead_at in list(self._dead_at_by_unknown.items()):
            if Deadline(dead_at.instant + FORGET_AFTER).expired:
                del self._dead_at_by_unknown[owner]
        for host_id, record in list(self._record_by_id.items()):
            if record.forget_at.expired:
                del self._record_by_id[host_id]

    def states(self) -> list[HostState]:
        """Return all known hosts with their status as this host sees it."""
        with self._lock:
            states = [copy(self._own)]
            for record in self._record_by_id.values():
                state = copy(record.state)
                state.status = record.status
                states.append(state)
            return states

    def message_states(self) -> list[HostState]:
        """Return the records to send to a peer: its own view of status stays here."""
        with self._lock:
            fresh = [
                copy(record.state)
                for record in self._record_by_id.values()
                if record.status != HostStatus.DEAD
            ]
            return [copy(self._own), *fresh]

    def live_hosts(self) -> list[HostState]:
        """Return this host and those that are neither dead, suspected nor leaving."""
        return [
            state for state in self.states() if state.status == HostStatus.ALIVE
        ] or [self._own]

    def status_of(self, host_id: str, incarnation: int) -> HostStatus:
        """Return the status of one incarnation; an older one is dead."""
        with self._lock:
            if host_id == self._own.host_id:
                same = incarnation == self._own.incarnation
                return HostStatus.ALIVE if same else HostStatus.DEAD
            record = self._record_by_id.get(host_id)
            if record is None or record.state.incarnation < incarnation:
                return self._status_of_unknown(host_id, incarnation)
            if record.state.incarnation > incarnation:
                return HostStatus.DEAD
            return record.status

    def _status_of_unknown(self, host_id: str, incarnation: int) -> HostStatus:
        """Call a host dead that nobody has told of since it was first asked for.

        A host that started after another one died never hears of the dead one.
        """
        owner = (host_id, incarnation)
        dead_at = self._dead_at_by_unknown.setdefault(owner, Deadline.after(DEAD_AFTER))
        return HostStatus.DEAD if dead_at.expired else HostStatus.SUSPECT

    def address_of(self, host_id: str) -> str | None:
        """Return the host's peer address, or None for an unknown host."""
        with self._lock:
            if host_id == self._own.host_id:
                return str(self._own.address)
            record = self._record_by_id.get(host_id)
            return None if record is None else str(record.state.address)

    def home_of(self, service: str, place: str) -> HostState:
        """Return the home of a service's endpoints in a zone or region."""
        return self.homes_of(service, place, 1)[0]

    def homes_of(self, service: str, place: str, count: int) -> list[HostState]:
        """Return the home of a service's endpoints and the next ones in order.

        Hosts of that place come first, so that a zone that is cut off keeps its homes.
        """
        state_by_id = {state.host_id: state for state in self.live_hosts()}
        in_place = [
            host_id
            for host_id, state in state_by_id.items()
            if place in (state.availability_zone, state.region)
        ]
        order = rendezvous_order(f"home/{service}/{place}", in_place or state_by_id)
        return [state_by_id[host_id] for host_id in order[:count]]

    def keepers_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that keep what is known of a client's key, owner first."""
        state_by_id = {state.host_id: state for state in self.live_hosts()}
        order = rendezvous_order(f"key/{key}", state_by_id)
        return [state_by_id[host_id] for host_id in order[:count]]
