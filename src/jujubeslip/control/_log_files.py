"""The log on disk: segment files of checksummed entries, written in batches."""

from __future__ import annotations

import os
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from jujubeslip.control._errors import StorageDamagedError, StorageFailedError
from jujubeslip.control._records import (
    decode,
    frame,
    has_record_after,
    record_at,
    scan_records,
    storage_failed,
    sync_file,
    sync_folder,
    to_bytes,
    write_all,
)
from jujubeslip.peers import LogEntry, SyncedMark

SEGMENT_PREFIX = "log-"
MARK_NAME = "synced"


@dataclass
class Segment:
    """One file of the log; `ends` holds the end offset of each entry, in bytes."""

    path: Path
    first_index: int
    ends: array[int] = field(default_factory=lambda: array("Q"))

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, first_index - 1 when empty."""
        return self.first_index + len(self.ends) - 1

    @property
    def length(self) -> int:
        """Return the length in bytes of the whole entries."""
        return self.ends[-1] if self.ends else 0


class LogFiles:
    """The segments of one data folder; used by one thread at a time."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._segments: list[Segment] = []
        self._descriptor: int | None = None
        try:
            self._mark = os.open(folder / MARK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise storage_failed(MARK_NAME, error) from error

    def load(self) -> list[LogEntry]:
        """Return all entries in order, after truncating a torn tail of the log.

        Raises StorageDamagedError for any other damage.
        """
        paths = sorted(self._folder.glob(f"{SEGMENT_PREFIX}*"))
        entries: list[LogEntry] = []
        for path in paths:
            expected = entries[-1].index + 1 if entries else None
            segment = Segment(path, _first_index(path))
            if expected is not None and segment.first_index != expected:
                raise StorageDamagedError(
                    f"A log segment before {path.name} is missing."
                )
            entries.extend(self._load_segment(segment, last=path is paths[-1]))
            self._segments.append(segment)
        self._check_mark()
        if self._segments:
            self._open(self._segments[-1])
        return entries

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Write entries after the last one, without a sync."""
        if not entries:
            return
        if not self._segments:
            self.start_segment(entries[0].index)
        segment = self._segments[-1]
        assert entries[0].index == segment.last_index + 1
        chunks = [frame(to_bytes(entry)) for entry in entries]
        write_all(self._open_descriptor(), b"".join(chunks), segment.path.name)
        position = segment.length
        for chunk in chunks:
            position += len(chunk)
            segment.ends.append(position)

    def sync(self) -> None:
        """Make all appended entries durable; only then may they be acknowledged."""
        segment = self._segments[-1]
        sync_file(self._open_descriptor(), segment.path.name)
        self._write_mark(segment.first_index, segment.length)

    def truncate_from(self, index: int) -> None:
        """Remove the entry with this index and all later ones, durably."""
        kept = sum(item.first_index <= index for item in self._segments)
        if kept == 0:
            self.drop_all()
            return
        segment = self._segments[kept - 1]
        del segment.ends[max(0, index - segment.first_index) :]
        # The mark is moved back first: one beyond the end of the segment would be read
        # as damage.
        self._write_mark(segment.first_index, segment.length)
        self._sync_mark()
        while self._segments[-1] is not segment:
            self._remove(self._segments.pop())
        self._open(segment)
        try:
            os.ftruncate(self._open_descriptor(), segment.length)
        except OSError as error:
            raise storage_failed(segment.path.name, error) from error
        sync_file(self._open_descriptor(), segment.path.name)

    def start_segment(self, first_index: int) -> None:
        """Start a new segment, so that older ones can be removed as whole files."""
        name = f"{SEGMENT_PREFIX}{first_index:020d}"
        segment = Segment(self._folder / name, first_index)
        self._open(segment, os.O_CREAT | os.O_TRUNC)
        sync_folder(self._folder)
        self._segments.append(segment)

    def roll(self) -> None:
        """Start a new segment if the last one holds any entry."""
        if self._segments and self._segments[-1].ends:
            self.start_segment(self._segments[-1].last_index + 1)

    def drop_before(self, index: int) -> None:
        """Remove segments whose entries are all before the index."""
        while len(self._segments) > 1 and self._segments[0].last_index < index:
            self._remove(self._segments.pop(0))

    def drop_all(self) -> None:
        """Remove all segments, since a snapshot replaces the whole log."""
        self._close_descriptor()
        self._write_mark(0, 0)
        self._sync_mark()
        for segment in reversed(self._segments):
            self._remove(segment)
        self._segments.clear()

    def close(self) -> None:
        """Close the files."""
        self._close_descriptor()
        os.close(self._mark)

    def _load_segment(self, segment: Segment, last: bool) -> Iterator[LogEntry]:
        name = segment.path.name
        data = segment.path.read_bytes()
        for record in scan_records(data):
            entry = decode(name, LogEntry, record.body)
            if entry.index != segment.last_index + 1:
                raise StorageDamagedError(
                    f"{name}: entry {entry.index} is out of order."
                )
            segment.ends.append(record.end)
            yield entry
        if segment.length < self._synced_length(segment.first_index):
            raise StorageDamagedError(f"{name} lacks entries that were synced.")
        if segment.length == len(data):
            return
        if not last or has_record_after(data, segment.length):
            raise StorageDamagedError(f"{name} is damaged at byte {segment.length}.")
        _truncate_torn_tail(segment, len(data))

    def _synced_length(self, first_index: int) -> int:
        """Return how many bytes of the segment are known to be durable.

        The mark is written after each sync but not synced itself. It distinguishes a
        damaged last entry, which may have been acknowledged, from the torn tail of a
        write, which was not. After a power loss it may be outdated, and then only
        covers fewer bytes.
        """
        mark = self._read_mark()
        return mark.length if mark.first_index == first_index else 0

    def _check_mark(self) -> None:
        """Raise StorageDamagedError if the newest segments were removed."""
        mark = self._read_mark()
        newest = self._segments[-1].first_index if self._segments else 0
        if mark.length > 0 and mark.first_index > newest:
            raise StorageDamagedError("The newest log segment is missing.")

    def _read_mark(self) -> SyncedMark:
        size = os.fstat(self._mark).st_size
        record = record_at(os.pread(self._mark, size, 0), 0)
        if record is None:
            return SyncedMark(0, 0)
        return decode(MARK_NAME, SyncedMark, record.body)

    def _write_mark(self, first_index: int, length: int) -> None:
        body = to_bytes(SyncedMark(first_index, length))
        try:
            os.pwrite(self._mark, frame(body), 0)
        except OSError as error:
            raise storage_failed(MARK_NAME, error) from error

    def _sync_mark(self) -> None:
        sync_file(self._mark, MARK_NAME)

    def _open(self, segment: Segment, flags: int = 0) -> None:
        self._close_descriptor()
        try:
            self._descriptor = os.open(
                segment.path, os.O_WRONLY | os.O_APPEND | flags, 0o600
            )
        except OSError as error:
            raise storage_failed(segment.path.name, error) from error

    def _open_descriptor(self) -> int:
        assert self._descriptor is not None
        return self._descriptor

    def _close_descriptor(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _remove(self, segment: Segment) -> None:
        try:
            segment.path.unlink(missing_ok=True)
        except OSError as error:
            raise storage_failed(segment.path.name, error) from error
        sync_folder(self._folder)


def _first_index(path: Path) -> int:
    try:
        return int(path.name.removeprefix(SEGMENT_PREFIX))
    except ValueError as error:
        raise StorageDamagedError(
            f"{path.name} has no valid name of a log segment."
        ) from error


def _truncate_torn_tail(segment: Segment, length: int) -> None:
    """Truncate a torn tail: a write that a crash ended before it was synced."""
    try:
        descriptor = os.open(segment.path, os.O_RDWR)
        try:
            os.ftruncate(descriptor, segment.length)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        raise StorageFailedError(
            f"Truncating the torn tail of {length - segment.length} bytes in "
            f"{segment.path.name} failed: {error}."
        ) from error
