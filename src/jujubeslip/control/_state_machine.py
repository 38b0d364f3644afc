"""The replicated state machine: every replica applies the same entries in order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import singledispatchmethod
from itertools import chain, islice
from typing import Any, TypeAlias, TypeVar

from jujubeslip.control._claims import ClaimsFull, ClaimTable
from jujubeslip.control._commands import NoOp, command_of
from jujubeslip.control._configurations import ChangeIdReused, ConfigurationTable
from jujubeslip.control._engine_table import EngineTable
from jujubeslip.control._removal_table import RemovalTable
from jujubeslip.peers import (
    AbandonCommand,
    ApplyReply,
    ApplyRequest,
    EndpointRemoval,
    EndpointRemovalRecord,
    EngineLoads,
    EngineOrder,
    FinishCommand,
    KeyClaim,
    KeyReply,
    LogEntry,
    Membership,
    SnapshotPart,
    VersionedCommand,
)

T = TypeVar("T")

PART_SIZE = 100
# Configurations are large, so a part of a snapshot holds only a few of them.
CONFIGURATION_PART_SIZE = 4

Outcome: TypeAlias = ApplyReply | ChangeIdReused | KeyReply | ClaimsFull | int | None


class StateMachine:
    """The state of configurations, claims, engines and endpoint removals.

    It is identical on all replicas at the same index.
    """

    def __init__(self) -> None:
        self.configurations = ConfigurationTable()
        self.claims = ClaimTable()
        self.engines = EngineTable()
        self.removals = RemovalTable()
        self.stamp_ms = 0

    def apply(self, entry: LogEntry) -> Outcome:
        """Apply one committed entry and return its outcome for the proposer."""
        now_ms = max(self.stamp_ms, entry.stamp_ms)
        self.claims.advance_time(self.stamp_ms, now_ms)
        self.stamp_ms = now_ms
        return self._apply(command_of(entry))

    @singledispatchmethod
    def _apply(self, command: Any) -> Outcome:
        raise TypeError(f"{type(command).__name__} can't be applied")

    @_apply.register(NoOp)
    @_apply.register(Membership)
    def _(self, command: NoOp | Membership) -> Outcome:
        return None

    @_apply.register(ApplyRequest)
    def _(self, command: ApplyRequest) -> Outcome:
        return self.configurations.apply(command)

    @_apply.register(VersionedCommand)
    def _(self, command: VersionedCommand) -> Outcome:
        return self.configurations.put(command)

    @_apply.register(KeyClaim)
    def _(self, command: KeyClaim) -> Outcome:
        return self.claims.claim(command, self.stamp_ms)

    @_apply.register(FinishCommand)
    def _(self, command: FinishCommand) -> Outcome:
        self.claims.finish(command)
        return None

    @_apply.register(AbandonCommand)
    def _(self, command: AbandonCommand) -> Outcome:
        self.claims.abandon(command)
        return None

    @_apply.register(EngineOrder)
    def _(self, command: EngineOrder) -> Outcome:
        self.engines.add_order(command, self.stamp_ms)
        return None

    @_apply.register(EngineLoads)
    def _(self, command: EngineLoads) -> Outcome:
        self.engines.set_loads(command, self.stamp_ms)
        return None

    @_apply.register(EndpointRemoval)
    def _(self, command: EndpointRemoval) -> Outcome:
        self.removals.add(command, self.stamp_ms)
        return None

    def find_claim(self, claim: KeyClaim) -> KeyReply | None:
        """Return the reply for a claimed key, None if the key may be claimed."""
        return self.claims.find(claim, self.stamp_ms)

    def parts(self) -> Iterator[SnapshotPart]:
        """Return the parts of a snapshot of the state at the time of the call."""
        configurations = self.configurations.configurations()
        changes = self.configurations.changes()
        claims = self.claims.records()
        engines = self.engines.part()
        return chain(
            _to_parts((stored.unpack() for stored in configurations), changes, claims),
            _removal_parts(self.removals.records()),
            [engines, SnapshotPart([], [], [], True)],
        )

    def load_part(self, part: SnapshotPart) -> None:
        """Load a part of a snapshot; the parts have to be loaded in order."""
        for configuration in part.configurations:
            self.configurations.load_configuration(configuration)
        for change in part.changes:
            self.configurations.load_change(change)
        for claim in part.claims:
            self.claims.load(claim)
        self.engines.load_part(part)
        for removal in part.removals or ():
            self.removals.load(removal)
        if part.end:
            self.claims.finish_load()


def _to_parts(
    configurations: Iterator[Any], changes: Iterator[Any], claims: Iterator[Any]
) -> Iterator[SnapshotPart]:
    for batch in _batches(configurations, CONFIGURATION_PART_SIZE):
        yield SnapshotPart(batch, [], [], False)
    for batch in _batches(changes, PART_SIZE):
        yield SnapshotPart([], batch, [], False)
    for batch in _batches(claims, PART_SIZE):
        yield SnapshotPart([], [], batch, False)


def _removal_parts(removals: Iterator[EndpointRemovalRecord]) -> Iterator[SnapshotPart]:
    for batch in _batches(removals, PART_SIZE):
        yield SnapshotPart([], [], [], False, removals=batch)


def _batches(items: Iterable[T], size: int) -> Iterator[list[T]]:
    iterator = iter(items)
    while batch := list(islice(iterator, size)):
        yield batch
