"""Loads the state of a replica from its data folder at start."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.control._entry_log import EntryLog
from jujubeslip.control._membership import NO_MEMBERSHIP, MembershipLog
from jujubeslip.control._snapshots import SnapshotFile, load_machine
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.control._storage import Storage


@dataclass(frozen=True)
class LoadedState:
    """The snapshot and the later entries, none of which is known to be committed."""

    snapshot: SnapshotFile | None
    machine: StateMachine
    log: EntryLog
    memberships: MembershipLog
    applied_index: int


def load_state(storage: Storage) -> LoadedState:
    """Load the state from the data folder, or raise StorageDamagedError."""
    snapshot = storage.load_snapshot()
    index, term, membership = 0, 0, NO_MEMBERSHIP
    machine = StateMachine()
    if snapshot is not None:
        header = snapshot.header
        index, term = header.last_index, header.last_term
        membership = header.membership
        machine = load_machine(snapshot)
    entries = storage.load_entries(index, term)
    if entries and entries[0].index <= index:
        log = EntryLog(entries, entries[0].index - 1, None)
    else:
        log = EntryLog(entries, index, term)
    memberships = MembershipLog(index, membership)
    for entry in entries:
        if entry.index > index:
            memberships.append(entry)
    return LoadedState(snapshot, machine, log, memberships, index)
