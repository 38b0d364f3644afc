"""The log in memory: the entries that have not been trimmed, up to the newest one."""

from __future__ import annotations

from collections.abc import Sequence

from jujubeslip.peers import LogEntry

# Limits of one message, except that its first entry may exceed MAXIMUM_BATCH_BYTES.
MAXIMUM_BATCH_ENTRIES = 500
MAXIMUM_BATCH_BYTES = 512 * 1024
ENTRY_OVERHEAD_BYTES = 64


class EntryLog:
    """Entries by index; `base_index` is the index before the first one.

    `base_term` is the term at `base_index`, None if it is not known.
    """

    def __init__(
        self, entries: Sequence[LogEntry], base_index: int, base_term: int | None
    ) -> None:
        self._entries = list(entries)
        self.base_index = base_index
        self.base_term = base_term

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry, None when it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry with this index."""
        return self._entries[index - self.base_index - 1]

    def batch_from(self, index: int) -> list[LogEntry]:
        """Return entries from the index on, as many as fit into one message."""
        start = index - self.base_index - 1
        batch: list[LogEntry] = []
        size = 0
        for entry in self._entries[start : start + MAXIMUM_BATCH_ENTRIES]:
            size += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if batch and size > MAXIMUM_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return all entries from the index on."""
        return self._entries[index - self.base_index - 1 :]

    def first_index_within(self, last_index: int, count: int, size: int) -> int:
        """Return the first index of a range that ends at `last_index`.

        The range is the longest one with at most `count` entries and `size` bytes.
        """
        index = last_index + 1
        while index - 1 > self.base_index and last_index - index + 1 < count:
            size -= len(self.entry(index - 1).payload) + ENTRY_OVERHEAD_BYTES
            if size < 0:
                break
            index -= 1
        return index

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry with this index and all later ones."""
        del self._entries[index - self.base_index - 1 :]

    def trim_before(self, index: int) -> None:
        """Drop the entries before the index."""
        if index <= self.base_index + 1:
            return
        term = self.term_at(index - 1)
        del self._entries[: index - self.base_index - 1]
        self.base_index, self.base_term = index - 1, term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries, since a snapshot up to the index replaces them."""
        self._entries.clear()
        self.base_index, self.base_term = index, term

    def first_of_term(self, index: int) -> int:
        """Return the first index in memory whose entry has the same term."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
