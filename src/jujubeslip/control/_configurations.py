"""Accepted configurations, and the reply to each change."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    ChangeRecord,
    Configuration,
    PackedConfiguration,
    VersionedCommand,
)

# How many replies to changes are kept for resends.
MAXIMUM_CHANGES = 10_000
# How many configurations are kept, and how many bytes of them. The bytes are counted
# before compression, whose result may differ between two hosts' libraries: all
# replicas must drop the same ones.
MAXIMUM_HISTORY = 1000
MAXIMUM_HISTORY_BYTES = 32 * 1024 * 1024
DIGEST_BYTES = 16


@dataclass(frozen=True)
class ChangeIdReused:
    """The reply to a change whose id an earlier, different change has used."""

    change_id: str


@dataclass(frozen=True, slots=True)
class _StoredConfiguration:
    revision: int
    packed_declaration: bytes
    length: int
    change_id: str
    operator_name: str

    def unpack(self) -> Configuration:
        declaration = zlib.decompress(self.packed_declaration).decode()
        return Configuration(
            self.revision, declaration, self.change_id, self.operator_name
        )


@dataclass(frozen=True, slots=True)
class _Answer:
    digest: bytes
    accepted: bool
    revision: int


class ConfigurationTable:
    """The configuration in force, its history, and one reply for each change id."""

    def __init__(self) -> None:
        self.current = Configuration(0, "", "", "")
        self._stored_by_revision: dict[int, _StoredConfiguration] = {}
        self._answer_by_change_id: dict[str, _Answer] = {}
        self._history_bytes = 0

    def apply(self, request: ApplyRequest) -> ApplyReply | ChangeIdReused:
        """Accept the change if it is based on the current revision.

        A change id that was answered before gets the same reply again. Otherwise a
        resend after a lost reply would conflict with its own first copy.
        """
        answered = self.find_answer(request)
        if answered is not None:
            return answered
        accepted = request.base_revision == self.current.revision
        if accepted:
            revision = self.current.revision + 1
            self._store(
                Configuration(
                    revision,
                    request.declaration,
                    request.change_id,
                    request.operator_name,
                )
            )
        answer = _Answer(_digest(request), accepted, self.current.revision)
        self._remember(request.change_id, answer)
        return self._reply(answer)

    def put(self, command: VersionedCommand) -> int:
        """Put a configuration in force if its version is the highest.

        Returns the version then in force. A version that is not higher changes nothing,
        even if its content differs, so that the content of a version never changes.
        """
        if command.version > self.current.revision:
            self._store(Configuration(command.version, command.content, "", ""))
        return int(self.current.revision)

    def find_answer(self, request: ApplyRequest) -> ApplyReply | ChangeIdReused | None:
        """Return the earlier reply to this change, None without one."""
        answer = self._answer_by_change_id.get(request.change_id)
        if answer is None:
            return None
        if answer.digest != _digest(request):
            return ChangeIdReused(request.change_id)
        return self._reply(answer)

    def history(self, limit: int) -> list[Configuration]:
        """Return the newest configurations, newest first."""
        newest = reversed(self._stored_by_revision.values())
        return [
            stored.unpack() for stored, _ in zip(newest, range(limit), strict=False)
        ]

    def configurations(self) -> list[_StoredConfiguration]:
        """Return the kept configurations in order, packed."""
        return list(self._stored_by_revision.values())

    def changes(self) -> Iterator[ChangeRecord]:
        """Return the kept replies in order, as they were when called."""
        answers = self._answer_by_change_id.copy()
        return (
            ChangeRecord(change_id, answer.digest, answer.accepted, answer.revision)
            for change_id, answer in answers.items()
        )

    def packed_current(self) -> PackedConfiguration:
        """Return the configuration in force as it is stored, compressed."""
        revision = self.current.revision
        stored = self._stored_by_revision.get(revision)
        return PackedConfiguration(
            revision, stored.packed_declaration if stored else b""
        )

    def load_configuration(self, configuration: Configuration) -> None:
        """Load a configuration from a snapshot, in order."""
        self._store(configuration)

    def load_change(self, record: ChangeRecord) -> None:
        """Load a reply from a snapshot, in order."""
        answer = _Answer(record.digest, record.accepted, record.revision)
        self._remember(record.change_id, answer)

    def _reply(self, answer: _Answer) -> ApplyReply:
        """Return the reply with the change that created its revision."""
        stored = self._stored_by_revision.get(answer.revision)
        if stored is None:
            return ApplyReply(answer.accepted, answer.revision, "", "", "")
        winner = stored.unpack()
        declaration = "" if answer.accepted else winner.declaration
        return ApplyReply(
            answer.accepted,
            answer.revision,
            winner.change_id,
            winner.operator_name,
            declaration,
        )

    def _store(self, configuration: Configuration) -> None:
        content = configuration.declaration.encode()
        self._stored_by_revision[configuration.revision] = _StoredConfiguration(
            configuration.revision,
            zlib.compress(content),
            len(content),
            configuration.change_id,
            configuration.operator_name,
        )
        self._history_bytes += len(content)
        self.current = configuration
        while self._history_is_full():
            oldest = self._stored_by_revision.pop(next(iter(self._stored_by_revision)))
            self._history_bytes -= oldest.length

    def _history_is_full(self) -> bool:
        if len(self._stored_by_revision) <= 1:
            return False
        return (
            len(self._stored_by_revision) > MAXIMUM_HISTORY
            or self._history_bytes > MAXIMUM_HISTORY_BYTES
        )

    def _remember(self, change_id: str, answer: _Answer) -> None:
        self._answer_by_change_id[change_id] = answer
        if len(self._answer_by_change_id) > MAXIMUM_CHANGES:
            self._answer_by_change_id.pop(next(iter(self._answer_by_change_id)))


def _digest(request: ApplyRequest) -> bytes:
    content = f"{request.base_revision}\0{request.declaration}"
    return hashlib.sha256(content.encode()).digest()[:DIGEST_BYTES]
