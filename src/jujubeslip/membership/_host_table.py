"""The records of all hosts, and the rules by which a newer state replaces an older."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from copy import copy

from jujubeslip.kernel import Deadline
from jujubeslip.membership._host_record import (
    RETENTION_SECONDS,
    TRUSTED_AFTER_ANSWER_SECONDS,
    UNREACHABLE_SECONDS,
    HostRecord,
    digest_of,
)
from jujubeslip.membership._update_queue import UpdateQueue
from jujubeslip.peers import HostState, HostStatus

# Seconds until a host that no peer has announced counts as dead.
UNKNOWN_DEAD_AFTER = 3.0
PAGE_RECORDS = 64


class HostTable:
    """Records by host id; the directory's lock guards every call.

    Of two states of one host, the one with the greater incarnation, then the greater
    heartbeat, is used. A host raises its own heartbeat to refute a suspicion.
    `changed` is set by each change that makes the directory's views outdated.
    """

    def __init__(self, own: HostState, address_by_id: Mapping[str, str]) -> None:
        self.own = own
        self.record_by_id: dict[str, HostRecord] = {}
        self.hosts_to_verify: set[str] = set()
        self.updates = UpdateQueue()
        self.has_urgent_change = False
        self.superseded = False
        self.changed = True
        self._address_by_id = dict(address_by_id)
        self._unknown_dead_at: dict[tuple[str, int], Deadline] = {}

    def raise_heartbeat(self, above: int = 0) -> None:
        """Raise this host's heartbeat, so that its state replaces all earlier ones."""
        self.own.heartbeat = max(self.own.heartbeat, above) + 1
        self.updates.add(self.own.host_id)
        self.changed = True

    def merge(self, state: HostState) -> None:
        """Merge a state if it is newer than the known one."""
        if state.host_id == self.own.host_id:
            self._merge_own(state)
        else:
            self._merge_other(state)

    def _merge_own(self, state: HostState) -> None:
        """Refute a suspicion of this host, or detect that it was replaced."""
        if state.incarnation > self.own.incarnation:
            self.superseded = True
        if state.incarnation != self.own.incarnation:
            return
        suspected = state.status in (HostStatus.SUSPECT, HostStatus.DEAD)
        if suspected and state.heartbeat >= self.own.heartbeat:
            self.raise_heartbeat(above=state.heartbeat)
            self.has_urgent_change = True

    def _merge_other(self, state: HostState) -> None:
        record = self.record_by_id.get(state.host_id)
        version = (state.incarnation, state.heartbeat)
        if record is None or version > record.version:
            if state.status != HostStatus.DEAD:
                self._store(state)
            return
        if state.status == HostStatus.SUSPECT and version == record.version:
            self._merge_suspicion(record)

    def _merge_suspicion(self, record: HostRecord) -> None:
        """Adopt another host's suspicion, or verify it after a recent answer.

        After a network partition heals, messages that its other side wrote meanwhile
        arrive late. Adopting their suspicions would move homes away from live
        neighbours.
        """
        if record.trusted_until.expired:
            self.suspect(record.state.host_id)
        elif record.healthy:
            self.hosts_to_verify.add(record.state.host_id)

    def _store(self, state: HostState) -> None:
        known = self.record_by_id.get(state.host_id)
        record = HostRecord(state, self._address_by_id.get(state.host_id))
        if known is not None and known.state.incarnation == state.incarnation:
            record.unreachable_until = known.unreachable_until
            record.trusted_until = known.trusted_until
        self.record_by_id[state.host_id] = record
        self.updates.add(state.host_id)
        self.has_urgent_change |= state.status != HostStatus.ALIVE
        self.changed = True

    def suspect(self, host_id: str) -> None:
        """Suspect a host that was healthy so far, and announce the suspicion."""
        record = self.record_by_id.get(host_id)
        if record is not None and record.healthy:
            record.suspect()
            self.updates.add(host_id)
            self.has_urgent_change = True
            self.changed = True

    def suspect_unlisted(self, listed: Iterable[str]) -> None:
        """Suspect, without announcing it, each host that a peer's full list lacks."""
        for host_id in self.record_by_id.keys() - set(listed):
            record = self.record_by_id[host_id]
            if not record.dead:
                record.suspect()
                self.hosts_to_verify.add(host_id)
        self.changed = True

    def verify_differences(self, listed: Iterable[str]) -> None:
        """Queue a probe of each host on which a peer's full list differs."""
        hosts = set(listed)
        for host_id, record in self.record_by_id.items():
            if record.dead is (host_id in hosts):
                self.hosts_to_verify.add(host_id)

    def record_reachability(self, host_id: str, reached: bool) -> None:
        """Record whether this host itself got an answer from another one."""
        record = self.record_by_id.get(host_id)
        if record is None:
            return
        if reached is (record.unreachable_until is not None):
            self.changed = True
        record.unreachable_until = (
            None if reached else Deadline.after(UNREACHABLE_SECONDS)
        )
        if reached:
            record.trusted_until = Deadline.after(TRUSTED_AFTER_ANSWER_SECONDS)
        elif not record.dead:
            self.hosts_to_verify.add(host_id)

    # Deadlines

    def expire_suspects(self) -> None:
        """Mark suspected hosts as dead whose time to refute has expired."""
        for record in self.record_by_id.values():
            if record.dead_at is not None and record.dead_at.expired:
                record.mark_dead()
                self.changed = True

    def remove_expired(self) -> None:
        """Remove hosts long dead or unknown, and expired marks of unreachability."""
        for owner, dead_at in list(self._unknown_dead_at.items()):
            if Deadline(dead_at.timestamp + RETENTION_SECONDS).expired:
                del self._unknown_dead_at[owner]
        for host_id, record in list(self.record_by_id.items()):
            if record.dead and record.remove_at.expired:
                del self.record_by_id[host_id]
            elif record.unreachable_until and record.unreachable_until.expired:
                record.unreachable_until = None
                self.changed = True

    def status_of_unknown(self, host_id: str, incarnation: int) -> HostStatus:
        """Return DEAD for a host that no peer has announced for UNKNOWN_DEAD_AFTER.

        The time starts with the first call. A host that started after another one died
        never receives a state of the dead one.
        """
        owner = (host_id, incarnation)
        dead_at = self._unknown_dead_at.setdefault(
            owner, Deadline.after(UNKNOWN_DEAD_AFTER)
        )
        return HostStatus.DEAD if dead_at.expired else HostStatus.SUSPECT

    # States sent to others

    def digest(self) -> int:
        """Return a digest that is equal on hosts that know the same live hosts."""
        digest = digest_of(self.own)
        for record in self.record_by_id.values():
            if not record.dead:
                digest ^= record.digest
        return digest

    def next_updates(self) -> list[HostState]:
        """Return the next batch of updates."""
        records = [
            self.record_by_id[host_id]
            for host_id in self.updates.take_batch(len(self.record_by_id) + 1)
            if host_id in self.record_by_id
        ]
        return [record.gossip_state() for record in records if not record.dead]

    def page_after(self, host_id: str) -> list[HostState]:
        """Return the next live hosts ordered by id; empty after the last one."""
        live = [record for record in self.record_by_id.values() if not record.dead]
        known = [copy(self.own), *(record.gossip_state() for record in live)]
        later = [state for state in known if state.host_id > host_id]
        return sorted(later, key=lambda state: state.host_id)[:PAGE_RECORDS]
