"""What this host knows of the entry hosts, and until when it may rely on it."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable, Mapping
from copy import copy

from jujubeslip.membership._lease import ViewLease
from jujubeslip.membership._rings import successors
from jujubeslip.membership._table import HostTable
from jujubeslip.membership._view import LiveView
from jujubeslip.peers import HostState, HostStatus

_ORDER = (HostStatus.ALIVE, HostStatus.LEAVING, HostStatus.SUSPECT, HostStatus.DEAD)


class HostDirectory:
    """The entry hosts by id, as this host sees them.

    `address_by_id` holds addresses that go before those that hosts give of themselves.
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
    def lapsed(self) -> bool:
        """Say whether this host may have missed news and needs a full exchange."""
        return self._lease.lapsed

    @property
    def hears_others(self) -> bool:
        """Say whether this host's view of the others may be relied on now."""
        with self._lock:
            return self._lease.valid

    @property
    def alone(self) -> bool:
        """Say whether this host knows others and hears none of them."""
        with self._lock:
            return bool(self._table.record_by_id) and not self._lease.valid

    @property
    def superseded(self) -> bool:
        """Say whether a later incarnation of this host runs, so that this must stop."""
        return self._table.superseded

    def beat(self, configuration_revision: int) -> None:
        """Let deadlines take effect, and tell of a new revision; call it often."""
        with self._lock:
            self._lease.tick()
            if self.own.configuration_revision != configuration_revision:
                self.own.configuration_revision = configuration_revision
                self._table.raise_heartbeat()
            if self._lease.valid:
                self._table.bury_suspects()
            self._table.forget_old()
            self._refresh()

    def leave(self) -> None:
        """Say from now on that this host is leaving; final for its incarnation."""
        with self._lock:
            self.own.status = HostStatus.LEAVING
            self._table.raise_heartbeat()
            self._table.urgent = True
            self._refresh()

    def take_urgent(self) -> bool:
        """Say, once, whether something changed that the neighbours must hear now."""
        with self._lock:
            urgent, self._table.urgent = self._table.urgent, False
            return urgent

    # What this host hears and finds out

    def merge(self, states: Iterable[HostState]) -> None:
        """Take over what is newer than what this host knows."""
        with self._lock:
            for state in states:
                self._table.merge(state)
            self._refresh()

    def suspect(self, host_id: str) -> None:
        """Suspect a host that neither this host nor its helpers could reach."""
        with self._lock:
            self._table.suspect(host_id)
            self._refresh()

    def is_sound(self, host_id: str) -> bool:
        """Say whether a host is known here and neither suspected nor dead."""
        with self._lock:
            record = self._table.record_by_id.get(host_id)
            return record is not None and record.sound

    def note_reached(self, host_id: str, reached: bool) -> None:
        """Note whether this host itself got an answer from another one."""
        with self._lock:
            self._table.note_reached(host_id, reached)
            self._refresh()

    def renew_lease(self, asked_at: float) -> None:
        """Note an answer of a peer that was asked at this monotonic instant."""
        with self._lock:
            self._lease.renew(asked_at)

    def take_full_list(
        self, live: Iterable[HostState], asked_at: float, complete: bool
    ) -> None:
        """Compare with all live hosts that a peer knows, or take them over.

        `complete` says that the peer's own view held. A host whose view lapsed gives
        each host that is not listed the time of a suspicion to be heard of. Else a
        difference only makes this host probe: a list from the other side of a network
        partition can't take hosts away.
        """
        with self._lock:
            listed = [state.host_id for state in live]
            if self._lease.lapsed:
                if self._lease.restore(asked_at, complete) and complete:
                    self._table.suspect_unlisted(listed)
            elif complete:
                self._table.doubt_differences(listed)
            self._refresh()

    def take_doubted(self) -> str | None:
        """Return one host to probe now, or None."""
        with self._lock:
            doubted = self._table.doubted
            return doubted.pop() if doubted else None

    # Views

    def _refresh(self) -> None:
        """Compute anew what the readers ask for, if something changed."""
        if not self._table.changed:
            return
        self._table.changed = False
        own = copy(self.own)
        records = self._table.record_by_id.values()
        seen = [own, *(record.seen() for record in records if not record.dead)]
        live = [state for state in seen if state.status == HostStatus.ALIVE]
        suspected = [state for state in seen if state.status == HostStatus.SUSPECT]
        unreachable = {
            record.state.host_id
            for record in records
            if record.unreachable_until is not None
        }
        self._view = LiveView(live or [own], unreachable, suspected)
        self._view_alone = LiveView([own], set())
        self._digest = self._table.digest()
        self._successor_by_ring = successors(own, seen[1:])

    def _current_view(self) -> LiveView:
        with self._lock:
            return self._view if self._lease.valid else self._view_alone

    def states(self) -> list[HostState]:
        """Return all known hosts with their status as this host sees it."""
        with self._lock:
            best = self._lease.best_status
            states = [copy(self.own)]
            for record in self._table.record_by_id.values():
                state = record.seen()
                state.status = _worse(record.status, best)
                states.append(state)
            return states

    def live_hosts(self) -> list[HostState]:
        """Return the hosts to rely on: not dead, suspected, leaving or unreachable."""
        return list(self._current_view().reachable)

    def home_of(self, service: str, place: str) -> HostState:
        """Return the home of a service's endpoints in a zone or region.

        Hosts of that place come first, so that a zone that is cut off keeps its homes.
        """
        return self.homes_of(service, place)[0]

    def homes_of(self, service: str, place: str) -> list[HostState]:
        """Return the home of a service's endpoints, and its standby if there is one."""
        return self._current_view().homes_of(service, place)

    def keepers_of(self, key: str, count: int) -> list[HostState]:
        """Return the hosts that keep what is known of a client's key, owner first."""
        return self._current_view().keepers_of(key, count)

    def status_of(self, host_id: str, incarnation: int) -> HostStatus:
        """Return the status of one incarnation; an older one is dead.

        While this host may have missed news nobody is dead: what a living host holds
        at an engine would be cancelled.
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

    # What gossip and the probes ask for

    @property
    def view_digest(self) -> int:
        """Return the digest of the live hosts, or 0 while the view has lapsed."""
        with self._lock:
            return self._digest if self._lease.valid else 0

    @property
    def has_news(self) -> bool:
        """Say whether there are changes still to be told."""
        with self._lock:
            return bool(self._table.news)

    def states_for(self, host_id: str) -> list[HostState]:
        """Return what to tell a host: this one's state, doubts of it, some news.

        A host whose view lapsed tells no news: it may be what was true before.
        """
        with self._lock:
            states = {self.own.host_id: copy(self.own)}
            record = self._table.record_by_id.get(host_id)
            if record is not None and not record.sound:
                states[host_id] = record.told()
            if self._lease.valid:
                for state in self._table.news_states():
                    states.setdefault(state.host_id, state)
            return list(states.values())

    def page_after(self, host_id: str) -> list[HostState]:
        """Return the next live hosts in order of their ids; none behind the last."""
        with self._lock:
            if self._lease.valid:
                return self._table.page_after(host_id)
            return [copy(self.own)] if self.own.host_id > host_id else []

    def neighbours(self) -> dict[str, HostState]:
        """Return the host to probe on each ring; a ring without others is left out."""
        with self._lock:
            return dict(self._successor_by_ring)

    def helpers_against(self, host_id: str, count: int) -> list[HostState]:
        """Return hosts to ask whether they reach one that this host can't reach."""
        with self._lock:
            others = [
                state for state in self._view.reachable if state.host_id != host_id
            ]
        others = [state for state in others if state.host_id != self.own.host_id]
        return random.sample(others, min(count, len(others)))

    def addresses(self, *, lost: bool = False) -> list[str]:
        """Return the addresses of all known hosts, or of those that are dead."""
        with self._lock:
            return [
                record.address
                for record in self._table.record_by_id.values()
                if record.dead or not lost
            ]


def _worse(one: HostStatus, other: HostStatus) -> HostStatus:
    return max(one, other, key=_ORDER.index)
