"""What other hosts tell of endpoints, checked before any of it is believed."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field
from returns.result import Failure

from jujubeslip.discovery._models import (
    MILLISECONDS,
    Endpoint,
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
    RemovalScope,
)

logger = logging.getLogger(__name__)

# Most requests at a time that an endpoint may claim to work on: it fits into the 32
# bits of a message between hosts, with room for sums.
MAXIMUM_SLOTS = 1_000_000
# Longest id in a log line, in characters.
MAXIMUM_LOGGED = 300

Slots = Annotated[int, Field(ge=1, le=MAXIMUM_SLOTS)]


class _ToldEndpoint(StrictModel):
    """The fields of a record, none of which Thrift itself insists on."""

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
    # Hosts of an earlier version don't tell these.
    started_at_ms: Whole | None
    restarted: bool | None
    removed_ago_ms: Whole | None


class _ToldRemoval(StrictModel):
    """The fields of a told removal."""

    endpoint_id: Id
    started_at_ms: Whole
    removed_ago_ms: Whole
    # Hosts of an earlier version don't tell it.
    scope: Annotated[int, Field(ge=min(RemovalScope), le=max(RemovalScope))] | None


def usable_endpoints(
    teller: str, records: Sequence[EndpointRecord]
) -> Iterator[Endpoint]:
    """Yield the endpoints of an answer's usable records; each other one is logged.

    A host of another version may tell of a role that is new, or leave a field out. One
    such record must not cost the others: the task that follows this host would end.
    """
    for record in records:
        read = read_fields(_ToldEndpoint, vars(record))
        if isinstance(read, Failure):
            _note_unusable(teller, record, read.failure())
        else:
            yield endpoint_from_record(record)


def _note_unusable(
    teller: str, record: EndpointRecord | EndpointRemoval, problem: str
) -> None:
    extra = {
        "teller": teller,
        "endpoint_id": str(record.endpoint_id)[:MAXIMUM_LOGGED],
        "problem": problem,
    }
    logger.info("endpoint's record not usable", extra=extra)


def usable_removals(
    teller: str, records: Sequence[EndpointRemoval]
) -> Iterator[Removal]:
    """Yield the removals of an answer that can be used; each other one is logged."""
    for record in records:
        problem = removal_problem(record)
        if problem:
            _note_unusable(teller, record, problem)
            continue
        yield removal_from_record(record, record.removed_ago_ms)


def removal_problem(record: EndpointRemoval) -> str:
    """Return what is wrong with the fields of a removal, nothing if it can be used."""
    read = read_fields(_ToldRemoval, vars(record))
    return read.failure() if isinstance(read, Failure) else ""


def removal_from_record(record: EndpointRemoval, removed_ago_ms: int) -> Removal:
    """Return a removal of this age, in milliseconds, by this host's clock."""
    named = RemovalScope.NAMED_START if record.started_at_ms else RemovalScope.ANY_START
    return Removal(
        record.endpoint_id,
        steady_seconds() - removed_ago_ms / MILLISECONDS,
        record.started_at_ms,
        scope=named if record.scope is None else RemovalScope(record.scope),
    )


def to_removal_record(removal: Removal) -> EndpointRemoval:
    """Return what this host tells others of a removal."""
    removed_ago = max(0.0, steady_seconds() - removal.removed_at)
    return EndpointRemoval(
        removal.endpoint_id,
        removal.started_at_ms,
        int(removed_ago * MILLISECONDS),
        removal.scope,
    )
