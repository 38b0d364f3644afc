"""Tests of the data folder: synced data is read back completely or not at all."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jujubeslip.control._errors import (
    DataFolderInUseError,
    StorageDamagedError,
    StorageFailedError,
)
from jujubeslip.control._log_files import MARK_NAME, LogFiles
from jujubeslip.control._storage import Storage
from jujubeslip.peers import EntryKind, LogEntry, ReplicaMetadata


def make_entry(index: int, term: int = 1, payload: bytes = b"payload") -> LogEntry:
    return LogEntry(index, term, index * 10, EntryKind.CLAIM, payload)


def write_log(folder: Path, count: int, segment_size: int = 1000) -> list[LogEntry]:
    folder.mkdir(exist_ok=True)
    files = LogFiles(folder)
    entries = [make_entry(index) for index in range(1, count + 1)]
    for entry in entries:
        if entry.index % segment_size == 1:
            files.start_segment(entry.index)
        files.append([entry])
        files.sync()
    files.close()
    return entries


def load_log(folder: Path) -> list[LogEntry]:
    files = LogFiles(folder)
    try:
        return files.load()
    finally:
        files.close()


def segment_path(folder: Path) -> Path:
    return max(folder.glob("log-*"))


class TestLogFiles:
    """The log is read back exactly as it was synced."""

    def test_entries_survive_in_order(self, tmp_path: Path) -> None:
        entries = write_log(tmp_path, 7, segment_size=3)
        assert load_log(tmp_path) == entries

    def test_truncated_entries_are_replaced(self, tmp_path: Path) -> None:
        write_log(tmp_path, 7, segment_size=3)
        files = LogFiles(tmp_path)
        entries = files.load()
        files.truncate_from(3)
        files.append([make_entry(3, term=2)])
        files.sync()
        files.close()
        assert load_log(tmp_path) == [*entries[:2], make_entry(3, term=2)]

    def test_dropped_segments_are_removed(self, tmp_path: Path) -> None:
        entries = write_log(tmp_path, 7, segment_size=3)
        files = LogFiles(tmp_path)
        files.load()
        files.drop_before(5)
        files.close()
        assert load_log(tmp_path) == entries[3:]

    def test_missing_segment_is_refused_at_start(self, tmp_path: Path) -> None:
        write_log(tmp_path, 7, segment_size=3)
        sorted(tmp_path.glob("log-*"))[1].unlink()
        with pytest.raises(StorageDamagedError, match="learner"):
            load_log(tmp_path)

    def test_tail_cut_anywhere(self, tmp_path: Path) -> None:
        """A replica starts after a power loss in the middle of a write.

        Only a part of the last write is on disk. If it was never synced, it is
        truncated at the start. If it was synced, acknowledged entries are lost, and
        the start has to fail.
        """
        entries = write_log(tmp_path, 4)
        path, mark = segment_path(tmp_path), tmp_path / MARK_NAME
        whole, mark_bytes = path.read_bytes(), mark.read_bytes()
        for length in range(len(whole)):
            path.write_bytes(whole[:length])
            mark.write_bytes(mark_bytes)
            with pytest.raises(StorageDamagedError):
                load_log(tmp_path)
            mark.write_bytes(b"")
            found = load_log(tmp_path)
            assert found == entries[: len(found)]
            assert len(found) == length * len(entries) // len(whole)

    def test_byte_flipped_anywhere(self, tmp_path: Path) -> None:
        """A byte of the log changes after its sync, and the start has to fail.

        No changed entry may be read, and no acknowledged entry may be dropped as if it
        were a torn tail.
        """
        entries = write_log(tmp_path, 4)
        path, mark = segment_path(tmp_path), tmp_path / MARK_NAME
        whole, mark_bytes = path.read_bytes(), mark.read_bytes()
        last_start = len(whole) // len(entries) * (len(entries) - 1)
        for position in range(len(whole)):
            flipped = bytearray(whole)
            flipped[position] ^= 0x41
            path.write_bytes(flipped)
            mark.write_bytes(mark_bytes)
            with pytest.raises(StorageDamagedError):
                load_log(tmp_path)
            mark.write_bytes(b"")
            if position < last_start:
                with pytest.raises(StorageDamagedError):
                    load_log(tmp_path)
            else:
                assert load_log(tmp_path) == entries[:-1]

    @settings(max_examples=60, deadline=None)
    @given(
        payloads=st.lists(st.binary(max_size=200), min_size=1, max_size=8),
        position=st.integers(min_value=0),
        noise=st.binary(min_size=1, max_size=40),
    )
    def test_overwritten_bytes_never_change_an_entry(
        self,
        tmp_path_factory: pytest.TempPathFactory,
        payloads: list[bytes],
        position: int,
        noise: bytes,
    ) -> None:
        folder = tmp_path_factory.mktemp("log")
        files = LogFiles(folder)
        entries = [make_entry(i, payload=p) for i, p in enumerate(payloads, 1)]
        files.append(entries)
        files.sync()
        files.close()
        data = bytearray(segment_path(folder).read_bytes())
        start = position % len(data)
        data[start : start + len(noise)] = noise
        segment_path(folder).write_bytes(data)
        (folder / MARK_NAME).write_bytes(b"")
        try:
            found = load_log(folder)
        except StorageDamagedError:
            return
        assert found == entries[: len(found)]


class TestStorage:
    """A data folder belongs to one replica and one process."""

    def test_metadata_and_identity_survive(self, tmp_path: Path) -> None:
        storage = Storage(tmp_path, "control-1")
        metadata = ReplicaMetadata("cluster", 7, "control-2/abc")
        storage.save_metadata(metadata)
        storage.close()
        again = Storage(tmp_path, "control-1")
        assert again.metadata == metadata
        assert again.replica_id == storage.replica_id
        again.close()

    def test_lost_disk_gives_another_identity(self, tmp_path: Path) -> None:
        first = Storage(tmp_path / "first", "control-1")
        second = Storage(tmp_path / "second", "control-1")
        assert first.replica_id != second.replica_id

    def test_folder_of_another_host_is_refused(self, tmp_path: Path) -> None:
        Storage(tmp_path, "control-1").close()
        with pytest.raises(StorageDamagedError, match="control-1"):
            Storage(tmp_path, "control-2")

    def test_folder_in_use_is_refused(self, tmp_path: Path) -> None:
        storage = Storage(tmp_path, "control-1")
        with pytest.raises(DataFolderInUseError):
            Storage(tmp_path, "control-1")
        storage.close()

    @pytest.mark.parametrize("name", ["identity", "metadata"])
    def test_missing_file_is_refused_at_start(self, tmp_path: Path, name: str) -> None:
        storage = Storage(tmp_path, "control-1")
        storage.save_metadata(ReplicaMetadata("cluster", 1, ""))
        storage.log.append([make_entry(1)])
        storage.log.sync()
        storage.close()
        (tmp_path / name).unlink()
        with pytest.raises(StorageDamagedError, match="empty one"):
            Storage(tmp_path, "control-1")

    @pytest.mark.parametrize("name", ["identity", "metadata"])
    def test_file_damaged_anywhere_is_refused_at_start(
        self, tmp_path: Path, name: str
    ) -> None:
        storage = Storage(tmp_path, "control-1")
        storage.save_metadata(ReplicaMetadata("cluster", 1, ""))
        storage.close()
        whole = (tmp_path / name).read_bytes()
        for position in range(len(whole)):
            flipped = bytearray(whole)
            flipped[position] ^= 0x20
            (tmp_path / name).write_bytes(flipped)
            with pytest.raises(StorageDamagedError):
                Storage(tmp_path, "control-1")

    def test_failed_sync_is_reported(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        storage = Storage(tmp_path, "control-1")
        storage.log.append([make_entry(1)])

        def fail(descriptor: int) -> None:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

        monkeypatch.setattr(os, "fdatasync", fail)
        with pytest.raises(StorageFailedError, match="restart"):
            storage.log.sync()
