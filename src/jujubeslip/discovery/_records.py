"""What other hosts tell of endpoints, checked before any of it is believed."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field
from returns.result import Failure

from jujubeslip.discovery._models import Endpoint, endpoint_from_record
from jujubeslip.kernel import EndpointAddress, Id, StrictModel, Text, Whole, read_fields
from jujubeslip.peers import EndpointRecord, EndpointRole

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


def _note_unusable(teller: str, record: EndpointRecord, problem: str) -> None:
    extra = {
        "teller": teller,
        "endpoint_id": str(record.endpoint_id)[:MAXIMUM_LOGGED],
        "problem": problem,
    }
    logger.info("endpoint's record not usable", extra=extra)
