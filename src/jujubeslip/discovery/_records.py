"""Validates the records of endpoints and removals that other hosts send."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field
from returns.result import Failure

from jujubeslip.discovery._models import (
    MILLISECONDS,
    Endpoint,
    RelayHost,
    endpoint_from_record,
)
from jujubeslip.discovery._removals import Removal
from jujubeslip.kernel import (
    EndpointAddress,
    Id,
    StrictModel,
    Text,
    Whole,
    read_fields,
    steady_seconds,
)
from jujubeslip.peers import (
    EndpointRecord,
    EndpointRemoval,
    EndpointRole,
    RelayRecord,
    RemovalScope,
)

logger = logging.getLogger(__name__)

# Maximum number of concurrent requests that an endpoint may announce: it fits into the
# 32 bits of a message between hosts, with headroom for sums.
MAXIMUM_SLOTS = 1_000_000
# Maximum length of an id in a log line, in characters.
MAXIMUM_LOGGED = 300

Slots = Annotated[int, Field(ge=1, le=MAXIMUM_SLOTS)]


class _EndpointFields(StrictModel):
    """The fields of an endpoint record; Thrift itself requires none of them."""

    endpoint_id: Id
    service_name: Text
    address: EndpointAddress
    availability_zone: Text
    sequence: Whole
    leaving: bool
    slots: Slots
    role: Annotated[int, Field(ge=min(EndpointRole), le=max(EndpointRole))]
    silent_ms: Whole
    cold_remaining_ms: Whole
    # Hosts of an earlier version don't send these fields.
    started_at_ms: Whole | None
    restarted: bool | None
    removed_ago_ms: Whole | None


class _RemovalFields(StrictModel):
    """The fields of a removal record."""

    endpoint_id: Id
    started_at_ms: Whole
    removed_ago_ms: Whole
    # Hosts of an earlier version don't send it.
    scope: Annotated[int, Field(ge=min(RemovalScope), le=max(RemovalScope))] | None


class _RelayFields(StrictModel):
    """The fields of the record of a relay."""

    host_id: Text
    address: EndpointAddress
    availability_zone: Text


def usable_endpoints(
    sender: str, records: Sequence[EndpointRecord]
) -> Iterator[Endpoint]:
    """Yield the endpoints of a reply's valid records; invalid ones are logged.

    A host of another version may report a new role or leave a field out. One such
    record must not affect the others: the task that follows this host would end.
    """
    for record in records:
        read = read_fields(_EndpointFields, vars(record))
        if isinstance(read, Failure):
            _log_invalid(sender, record, read.failure())
        else:
            yield endpoint_from_record(record)


def _log_invalid(
    sender: str, record: EndpointRecord | EndpointRemoval, problem: str
) -> None:
    extra = {
        "teller": sender,
        "endpoint_id": str(record.endpoint_id)[:MAXIMUM_LOGGED],
        "problem": problem,
    }
    logger.info("endpoint record invalid", extra=extra)


def usable_relays(sender: str, records: Sequence[RelayRecord]) -> Iterator[RelayHost]:
    """Yield the relays of the valid records; invalid ones are logged."""
    for record in records:
        read = read_fields(_RelayFields, vars(record))
        if isinstance(read, Failure):
            extra = {"teller": sender, "problem": read.failure()}
            logger.info("relay record invalid", extra=extra)
        else:
            yield RelayHost(record.host_id, record.address, record.availability_zone)


def usable_removals(
    sender: str, records: Sequence[EndpointRemoval]
) -> Iterator[Removal]:
    """Yield the removals of a reply's valid records; invalid ones are logged."""
    for record in records:
        problem = removal_problem(record)
        if problem:
            _log_invalid(sender, record, problem)
            continue
        yield removal_from_record(record, record.removed_ago_ms)


def removal_problem(record: EndpointRemoval) -> str:
    """Return what is wrong with the fields of a removal, or "" if they are valid."""
    read = read_fields(_RemovalFields, vars(record))
    return read.failure() if isinstance(read, Failure) else ""


def removal_from_record(record: EndpointRemoval, removed_ago_ms: int) -> Removal:
    """Return a removal of this age in milliseconds, dated on this host's clock."""
    named = RemovalScope.NAMED_START if record.started_at_ms else RemovalScope.ANY_START
    return Removal(
        record.endpoint_id,
        steady_seconds() - removed_ago_ms / MILLISECONDS,
        record.started_at_ms,
        scope=named if record.scope is None else RemovalScope(record.scope),
    )


def to_removal_record(removal: Removal) -> EndpointRemoval:
    """Return the record that reports a removal to other hosts."""
    removed_ago = max(0.0, steady_seconds() - removal.removed_at)
    return EndpointRemoval(
        removal.endpoint_id,
        removal.started_at_ms,
        int(removed_ago * MILLISECONDS),
        removal.scope,
    )
