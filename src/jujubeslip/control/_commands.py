"""Commands of the replicated log: Thrift structs, each with its own entry kind."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TypeAlias

from jujubeslip.control._records import decode, to_bytes
from jujubeslip.peers import (
    AbandonCommand,
    ApplyRequest,
    EndpointRemoval,
    EngineLoads,
    EngineOrder,
    EntryKind,
    FinishCommand,
    KeyClaim,
    LogEntry,
    Membership,
    VersionedCommand,
)


@dataclass(frozen=True)
class NoOp:
    """Changes nothing; a new leader commits it, and with it all earlier entries."""


Command: TypeAlias = (
    NoOp
    | ApplyRequest
    | KeyClaim
    | FinishCommand
    | AbandonCommand
    | Membership
    | VersionedCommand
    | EngineOrder
    | EngineLoads
    | EndpointRemoval
)

_TYPE_BY_KIND: dict[EntryKind, type] = {
    EntryKind.CONFIGURATION: ApplyRequest,
    EntryKind.CLAIM: KeyClaim,
    EntryKind.FINISH: FinishCommand,
    EntryKind.MEMBERSHIP: Membership,
    EntryKind.ABANDON: AbandonCommand,
    EntryKind.VERSIONED_CONFIGURATION: VersionedCommand,
    EntryKind.ENGINE_ORDER: EngineOrder,
    EntryKind.ENGINE_LOADS: EngineLoads,
    EntryKind.ENDPOINT_REMOVAL: EndpointRemoval,
}


@singledispatch
def kind_of(command: object) -> EntryKind:
    """Return the kind of entry that carries the command."""
    raise TypeError(f"{type(command).__name__} is not a command of the log")


@kind_of.register
def _(command: NoOp) -> EntryKind:
    return EntryKind.NO_OP


@kind_of.register(ApplyRequest)
def _(command: ApplyRequest) -> EntryKind:
    return EntryKind.CONFIGURATION


@kind_of.register(KeyClaim)
def _(command: KeyClaim) -> EntryKind:
    return EntryKind.CLAIM


@kind_of.register(FinishCommand)
def _(command: FinishCommand) -> EntryKind:
    return EntryKind.FINISH


@kind_of.register(AbandonCommand)
def _(command: AbandonCommand) -> EntryKind:
    return EntryKind.ABANDON


@kind_of.register(Membership)
def _(command: Membership) -> EntryKind:
    return EntryKind.MEMBERSHIP


@kind_of.register(VersionedCommand)
def _(command: VersionedCommand) -> EntryKind:
    return EntryKind.VERSIONED_CONFIGURATION


@kind_of.register(EngineOrder)
def _(command: EngineOrder) -> EntryKind:
    return EntryKind.ENGINE_ORDER


@kind_of.register(EngineLoads)
def _(command: EngineLoads) -> EntryKind:
    return EntryKind.ENGINE_LOADS


@kind_of.register(EndpointRemoval)
def _(command: EndpointRemoval) -> EntryKind:
    return EntryKind.ENDPOINT_REMOVAL


def make_entry(index: int, term: int, stamp_ms: int, command: Command) -> LogEntry:
    """Return the log entry that carries the command."""
    kind = kind_of(command)
    payload = b"" if kind == EntryKind.NO_OP else to_bytes(command)
    return LogEntry(index, term, stamp_ms, kind, payload)


def command_of(entry: LogEntry) -> Command:
    """Return the command that the entry carries."""
    if entry.kind == EntryKind.NO_OP:
        return NoOp()
    kind = _TYPE_BY_KIND[EntryKind(entry.kind)]
    return decode(f"log entry {entry.index}", kind, entry.payload)
