"""Removals of endpoints between the log and this host's book."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from jujubeslip.control._client import ControlClient
from jujubeslip.control._commands import command_of
from jujubeslip.control._machine import StateMachine
from jujubeslip.control._replica import Replica
from jujubeslip.discovery import (
    EndpointBook,
    Removal,
    removal_from_record,
    to_removal_record,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRemovalRecord, EntryKind

logger = logging.getLogger(__name__)

# How long to wait for the next removal before looking again, in seconds.
WAIT_SECONDS = 5.0


class RemovalLog:
    """Records removals before they are acknowledged, and tells the book of all."""

    def __init__(
        self, replica: Replica, book: EndpointBook, client: ControlClient
    ) -> None:
        self._replica = replica
        self._book = book
        self._client = client
        self._machine: StateMachine | None = None
        self._told_version = 0

    def record(self, removal: Removal, deadline: Deadline) -> None:
        """Return once the removal is in the log of a majority.

        Raises PeerUnavailableError when that is not known by the deadline. This host's
        book keeps the removal all the same.
        """
        record = to_removal_record(removal)
        replica = self._replica
        with replica.lock:
            machine = replica.machine
            if machine.removals.holds(record, machine.stamp_ms):
                return
        self._client.record_removal(record, deadline)

    def load(self) -> None:
        """Tell the book what the data folder holds, before the first announcement.

        An entry that is not known to be committed counts, too: its endpoint has signed
        off in any case.
        """
        self._tell_news()
        replica = self._replica
        with replica.lock:
            entries = replica.log.entries_from(replica.applied_index + 1)
            now_ms = replica.newest_stamp_ms
        pending = [
            EndpointRemovalRecord(command_of(entry), entry.stamp_ms)
            for entry in entries
            if entry.kind == EntryKind.ENDPOINT_REMOVAL
        ]
        self._book.take_removals(_removals(pending, now_ms))

    def follow(self) -> None:
        """Tell the book of each removal that is applied, until the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                if not self._has_news():
                    replica.removals_changed.wait(WAIT_SECONDS)
            self._tell_news()

    def _has_news(self) -> bool:
        machine = self._replica.machine
        is_same = machine is self._machine
        return not is_same or machine.removals.version > self._told_version

    def _tell_news(self) -> None:
        with self._replica.lock:
            machine = self._replica.machine
            # An installed snapshot brings another machine, which counts anew.
            known = self._told_version if machine is self._machine else 0
            records = machine.removals.since(known)
            now_ms = machine.stamp_ms
            self._machine, self._told_version = machine, machine.removals.version
        self._book.take_removals(_removals(records, now_ms))


def _removals(
    records: Iterable[EndpointRemovalRecord], now_ms: int
) -> Iterable[Removal]:
    """Return removals as old as log time says: it never runs ahead of other clocks."""
    for record in records:
        yield removal_from_record(record.removal, max(0, now_ms - record.stamp_ms))
