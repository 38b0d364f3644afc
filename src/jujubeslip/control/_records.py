"""Checksummed records, the format of every file in the data folder."""

from __future__ import annotations

import logging
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO, TypeVar

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jujubeslip.control._errors import StorageDamagedError, StorageFailedError
from jujubeslip.kernel import steady_seconds

logger = logging.getLogger(__name__)

T = TypeVar("T")

MAGIC = b"JJS1"
# Magic, length of the body in bytes, CRC32 of the length and the body.
HEADER = struct.Struct(">4sII")
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
# A sync that takes longer is logged, in seconds.
SLOW_SYNC_SECONDS = 0.1

_PROTOCOL = TBinaryProtocolAcceleratedFactory()


def to_bytes(message: Any) -> bytes:
    """Return the Thrift binary encoding of a message."""
    return serialize(message, _PROTOCOL)


def from_bytes(kind: type[T], body: bytes) -> T:
    """Return the message of this kind, or raise ValueError."""
    try:
        return deserialize(kind(), body, _PROTOCOL)
    except (TException, EOFError, TypeError, ValueError, MemoryError) as error:
        raise ValueError(f"invalid {kind.__name__}: {error!r}") from error


def frame(body: bytes) -> bytes:
    """Return the record of a body: its header followed by the body."""
    return HEADER.pack(MAGIC, len(body), _checksum(body)) + body


def _checksum(body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(len(body).to_bytes(4, "big")))


@dataclass(frozen=True)
class ScannedRecord:
    """A valid record and its start and end offset in its file, in bytes."""

    start: int
    end: int
    body: bytes


def scan_records(data: bytes) -> Iterator[ScannedRecord]:
    """Yield valid records from the start on; end before the first invalid one."""
    position = 0
    while (record := record_at(data, position)) is not None:
        yield record
        position = record.end


def record_at(data: bytes, position: int) -> ScannedRecord | None:
    """Return the record at the position, or None if there is no valid one."""
    start = position + HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, position)
    end = start + length
    if magic != MAGIC or length > MAXIMUM_BODY_BYTES or end > len(data):
        return None
    body = data[start:end]
    if _checksum(body) != checksum:
        return None
    return ScannedRecord(position, end, body)


def stream_records(file: BinaryIO) -> Iterator[bytes]:
    """Yield the bodies of valid records up to the end of the file or to damage.

    Only one record is in memory at a time.
    """
    while len(head := file.read(HEADER.size)) == HEADER.size:
        magic, length, checksum = HEADER.unpack(head)
        if magic != MAGIC or length > MAXIMUM_BODY_BYTES:
            return
        body = file.read(length)
        if len(body) != length or _checksum(body) != checksum:
            return
        yield body


def has_record_after(data: bytes, position: int) -> bool:
    """Return whether a valid record begins anywhere after the position.

    If so, the bytes at the position are damage, and not the torn tail of a write that
    was never acknowledged.
    """
    found = data.find(MAGIC, position + 1)
    while found != -1:
        if record_at(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False


def write_all(descriptor: int, data: bytes, name: str) -> None:
    """Write all of the data, or raise StorageFailedError."""
    view = memoryview(data)
    try:
        while view:
            view = view[os.write(descriptor, view) :]
    except OSError as error:
        raise storage_failed(name, error) from error


def sync_file(descriptor: int, name: str) -> None:
    """Sync a file's data and length, or raise StorageFailedError.

    The caller must not retry: after a failed sync the kernel may have dropped the dirty
    pages, and a second sync would succeed although data is lost.
    """
    began = steady_seconds()
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise storage_failed(name, error) from error
    seconds = steady_seconds() - began
    if seconds > SLOW_SYNC_SECONDS:
        extra = {"file": name, "took_ms": int(seconds * 1000)}
        logger.info("slow sync of a file", extra=extra)


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder, or raise StorageFailedError."""
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        raise storage_failed(folder.name, error) from error


def write_file_atomically(path: Path, message: Any) -> None:
    """Replace a one-record file; a crash leaves either the old or the new content."""
    temporary = path.with_name(path.name + ".new")
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    except OSError as error:
        raise storage_failed(path.name, error) from error
    try:
        write_all(descriptor, frame(to_bytes(message)), path.name)
        sync_file(descriptor, path.name)
    finally:
        os.close(descriptor)
    rename_durably(temporary, path)


def rename_durably(source: Path, target: Path) -> None:
    """Rename a synced file and sync its folder, or raise StorageFailedError."""
    try:
        os.replace(source, target)
    except OSError as error:
        raise storage_failed(target.name, error) from error
    sync_folder(target.parent)


def read_file(path: Path, kind: type[T]) -> T | None:
    """Return the message in a one-record file, None if there is no file.

    Raises StorageDamagedError when the file is damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    record = record_at(data, 0)
    if record is None or record.end != len(data):
        raise StorageDamagedError(f"{path.name} in the data folder is damaged.")
    return decode(path.name, kind, record.body)


def decode(name: str, kind: type[T], body: bytes) -> T:
    """Return a record's message, or raise StorageDamagedError naming the file."""
    try:
        return from_bytes(kind, body)
    except ValueError as error:
        raise StorageDamagedError(f"{name} in the data folder: {error}.") from error


def storage_failed(name: str, error: OSError) -> StorageFailedError:
    """Return the error for a failed write or sync of this file."""
    return StorageFailedError(f"Writing {name} in the data folder failed: {error}.")
