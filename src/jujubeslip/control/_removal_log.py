"""Transfer of endpoint removals between the log and this host's registry."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from jujubeslip.control._client import ControlClient
from jujubeslip.control._commands import command_of
from jujubeslip.control._replica import Replica
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.discovery import (
    EndpointRegistry,
    Removal,
    removal_from_record,
    to_removal_record,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRemovalRecord, EntryKind

logger = logging.getLogger(__name__)

# Maximum wait for the next removal before the log is checked again, in seconds.
WAIT_SECONDS = 5.0


class RemovalLog:
    """Records removals in the log, and applies those of the log to the registry."""

    def __init__(
        self, replica: Replica, registry: EndpointRegistry, client: ControlClient
    ) -> None:
        self._replica = replica
        self._registry = registry
        self._client = client
        self._machine: StateMachine | None = None
        self._applied_version = 0

    def record(self, removal: Removal, deadline: Deadline) -> None:
        """Return once the removal is in the log of a majority.

        Raises PeerUnavailableError when that is not known by the deadline. The registry
        of this host keeps the removal in any case.
        """
        record = to_removal_record(removal)
        replica = self._replica
        with replica.lock:
            machine = replica.machine
            if machine.removals.holds(record, machine.stamp_ms):
                return
        self._client.record_removal(record, deadline)

    def load(self) -> None:
        """Apply the removals in the data folder, before the first announcement.

        Entries that are not known to be committed are applied as well, since their
        endpoints have signed off in any case.
        """
        self._apply_new_removals()
        replica = self._replica
        with replica.lock:
            entries = replica.log.entries_from(replica.applied_index + 1)
            now_ms = replica.newest_stamp_ms
        pending = [
            EndpointRemovalRecord(command_of(entry), entry.stamp_ms)
            for entry in entries
            if entry.kind == EntryKind.ENDPOINT_REMOVAL
        ]
        self._registry.apply_removals(_removals(pending, now_ms), are_dated=False)

    def follow(self) -> None:
        """Apply each new removal to the registry until the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                if not self._has_new_removals():
                    replica.removals_changed.wait(WAIT_SECONDS)
            self._apply_new_removals()

    def _has_new_removals(self) -> bool:
        machine = self._replica.machine
        is_same_machine = machine is self._machine
        return not is_same_machine or machine.removals.version > self._applied_version

    def _apply_new_removals(self) -> None:
        with self._replica.lock:
            machine = self._replica.machine
            # An installed snapshot replaces the machine, whose versions start again.
            known = self._applied_version if machine is self._machine else 0
            records = machine.removals.since(known)
            now_ms = machine.stamp_ms
            self._machine, self._applied_version = machine, machine.removals.version
        self._registry.apply_removals(_removals(records, now_ms), are_dated=False)


def _removals(
    records: Iterable[EndpointRemovalRecord], now_ms: int
) -> Iterable[Removal]:
    """Return removals with their age in log time, which never runs ahead of clocks."""
    for record in records:
        yield removal_from_record(record.removal, max(0, now_ms - record.stamp_ms))
