"""Snapshot files: the state at one index, as checksummed records with an end record."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import chain, islice
from pathlib import Path

from jujubeslip.control._errors import StorageDamagedError
from jujubeslip.control._records import (
    decode,
    frame,
    rename_durably,
    storage_failed,
    stream_records,
    sync_file,
    sync_folder,
    to_bytes,
    write_all,
)
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.peers import SnapshotHeader, SnapshotPart, SnapshotPiece

SNAPSHOT_PREFIX = "snapshot-"
UNFINISHED_SUFFIX = ".new"
PARTIAL_SUFFIX = ".partial"


@dataclass(frozen=True)
class SnapshotFile:
    """A complete snapshot on disk; `checksum` is the SHA-256 of its bytes."""

    path: Path
    header: SnapshotHeader
    checksum: str
    length: int


def write_snapshot(
    folder: Path, header: SnapshotHeader, parts: Iterable[SnapshotPart]
) -> SnapshotFile:
    """Write a snapshot and make it durable under its final name.

    Raises StorageFailedError. A crash before the rename leaves an unfinished file,
    which the next start removes.
    """
    path = _path(folder, header.last_index)
    unfinished = path.with_name(path.name + UNFINISHED_SUFFIX)
    digest = hashlib.sha256()
    length = 0
    try:
        descriptor = os.open(unfinished, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    except OSError as error:
        raise storage_failed(path.name, error) from error
    try:
        for message in chain([header], parts):
            data = frame(to_bytes(message))
            write_all(descriptor, data, path.name)
            digest.update(data)
            length += len(data)
        sync_file(descriptor, path.name)
    finally:
        os.close(descriptor)
    rename_durably(unfinished, path)
    return SnapshotFile(path, header, digest.hexdigest(), length)


def newest_snapshot(folder: Path) -> SnapshotFile | None:
    """Return the newest snapshot of the folder, after removing older ones.

    Raises StorageDamagedError when it is damaged.
    """
    for path in folder.glob(f"{SNAPSHOT_PREFIX}*{UNFINISHED_SUFFIX}"):
        path.unlink()
    paths = sorted(folder.glob(f"{SNAPSHOT_PREFIX}{'[0-9]' * 20}"))
    if not paths:
        return None
    for path in paths[:-1]:
        path.unlink()
    return describe_snapshot(paths[-1])


def describe_snapshot(path: Path) -> SnapshotFile:
    """Return the description of a snapshot file, or raise StorageDamagedError."""
    with path.open("rb") as file:
        first = next(stream_records(file), None)
        file.seek(0)
        checksum = hashlib.file_digest(file, "sha256").hexdigest()
        length = file.tell()
    if first is None:
        raise StorageDamagedError(f"The snapshot {path.name} is damaged.")
    header = decode(path.name, SnapshotHeader, first)
    return SnapshotFile(path, header, checksum, length)


def load_machine(snapshot: SnapshotFile) -> StateMachine:
    """Return the state that the snapshot holds, or raise StorageDamagedError."""
    machine = StateMachine()
    machine.stamp_ms = snapshot.header.stamp_ms
    for part in _read_parts(snapshot.path):
        machine.load_part(part)
    return machine


def _read_parts(path: Path) -> Iterator[SnapshotPart]:
    with path.open("rb") as file:
        for body in islice(stream_records(file), 1, None):
            part = decode(path.name, SnapshotPart, body)
            yield part
            if part.end and not file.read(1):
                return
    raise StorageDamagedError(f"The snapshot {path.name} is damaged.")


def remove_older_snapshots(kept: SnapshotFile) -> None:
    """Remove the other snapshots and partial files.

    An unfinished snapshot stays, since its writer renames it when it is complete.
    """
    try:
        for path in kept.path.parent.glob(f"{SNAPSHOT_PREFIX}*"):
            if path != kept.path and path.suffix != UNFINISHED_SUFFIX:
                path.unlink(missing_ok=True)
    except OSError as error:
        raise storage_failed(kept.path.name, error) from error
    sync_folder(kept.path.parent)


class SnapshotReader:
    """Reads pieces of a snapshot, also after a newer one has replaced it."""

    def __init__(self, snapshot: SnapshotFile) -> None:
        self.snapshot = snapshot
        self._descriptor = os.open(snapshot.path, os.O_RDONLY)

    def read(self, offset: int, length: int) -> bytes:
        """Return up to this many bytes from the offset on."""
        return os.pread(self._descriptor, length, offset)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class SnapshotReceiver:
    """Collects the pieces of a leader's snapshot in a partial file.

    The file's name holds the index and the checksum, so that an interrupted transfer
    resumes, also after a restart or under another leader that has the same snapshot.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def receive(self, piece: SnapshotPiece) -> int:
        """Store the piece if it is the next one; return the next offset, in bytes.

        Raises StorageFailedError.
        """
        partial = self._partial(piece)
        held = partial.stat().st_size if partial.exists() else 0
        if piece.offset != held or not piece.data:
            return held
        try:
            descriptor = os.open(partial, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        except OSError as error:
            raise storage_failed(partial.name, error) from error
        try:
            write_all(descriptor, piece.data, partial.name)
            if held + len(piece.data) == piece.total_bytes:
                sync_file(descriptor, partial.name)
        finally:
            os.close(descriptor)
        return held + len(piece.data)

    def finish(self, piece: SnapshotPiece) -> tuple[SnapshotFile, StateMachine] | None:
        """Return the complete snapshot under its final name, and its state.

        Returns None and removes the partial file if its checksum is not the leader's.
        """
        partial = self._partial(piece)
        with partial.open("rb") as file:
            checksum = hashlib.file_digest(file, "sha256").hexdigest()
        if checksum != piece.checksum:
            partial.unlink()
            return None
        received = describe_snapshot(partial)
        machine = load_machine(received)
        path = _path(self._folder, piece.last_index)
        rename_durably(partial, path)
        return replace(received, path=path), machine

    def _partial(self, piece: SnapshotPiece) -> Path:
        path = _path(self._folder, piece.last_index)
        return path.with_name(f"{path.name}-{piece.checksum[:16]}{PARTIAL_SUFFIX}")


def _path(folder: Path, last_index: int) -> Path:
    return folder / f"{SNAPSHOT_PREFIX}{last_index:020d}"
