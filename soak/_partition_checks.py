"""Checks that entry hosts without links to endpoints serve clients like others."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from soak._bounds import CONTACT_SECONDS
from soak._crash_checks import is_fatal
from soak._observations import (
    ClientCall,
    Observations,
    Outcome,
    Partition,
    Violation,
)

# How often first tries at these hosts must be served compared with those at others, and
# how many may fail in any case: a number, and a share of all.
SERVED_SHARE = 2 / 3
FAILED_COUNT = 10
FAILED_SHARE = 1 / 50


def check_partitions(observations: Observations) -> Iterator[Violation]:
    """Check that calls at partitioned hosts are served about as often as at others."""
    calls = [call for call in list(observations.calls) if not is_fatal(call)]
    for partition in list(observations.partitions):
        counted = [
            call
            for call in calls
            if _is_counted(observations, partition, call)
            and _has_served_hosts(observations, partition, call, calls)
        ]
        at_cut = [call for call in counted if call.entry in partition.hosts]
        at_others = [call for call in counted if call.entry not in partition.hosts]
        if not at_cut or not at_others:
            continue
        failed = sum(not _is_served(call) for call in at_cut)
        may_fail = FAILED_COUNT + FAILED_SHARE * len(counted)
        bound = SERVED_SHARE * _served_share(at_others)
        if failed > may_fail and _served_share(at_cut) < bound:
            yield Violation(
                "service without links to endpoints",
                f"{', '.join(partition.hosts)} from "
                f"{observations.offset(partition.begun_at)}",
                f"{failed} of {len(at_cut)} calls failed, "
                f"{_served_share(at_others):.2f} of the others were served",
            )


def _is_counted(
    observations: Observations, partition: Partition, call: ClientCall
) -> bool:
    """Return whether a call was sent while it must be served.

    By then hosts must have noticed the partition. Other faults of the host exclude the
    call, also those shortly before.
    """
    noticed_at = partition.begun_at + CONTACT_SECONDS
    if not noticed_at <= call.sent_at <= partition.ended_at:
        return False
    begun_at = call.sent_at - CONTACT_SECONDS
    return not observations.disturbed(
        call.entry, begun_at, call.ended_at, except_for=partition.fault
    )


def _has_served_hosts(
    observations: Observations,
    partition: Partition,
    call: ClientCall,
    calls: Sequence[ClientCall],
) -> bool:
    """Return whether the call's host was up, and another one could help.

    A process that has just been started may take some seconds on a busy machine, and
    one that stops answers its own clients but relays no calls.
    """
    begun_at = call.sent_at - CONTACT_SECONDS
    around = [
        item for item in calls if abs(item.sent_at - call.sent_at) <= CONTACT_SECONDS
    ]
    is_up = any(
        item.entry == call.entry and item.boot == call.boot and item.status
        for item in around
        if begun_at <= item.sent_at < call.sent_at
    )
    helpers = {
        item.entry
        for item in around
        if item.entry not in partition.hosts and _is_served(item)
    }
    return is_up and any(
        not observations.disturbed(slot, begun_at, call.ended_at) for slot in helpers
    )


def _is_served(call: ClientCall) -> bool:
    complete = call.outcome in (Outcome.ANSWERED, Outcome.LEFT)
    return complete and call.status == 200


def _served_share(calls: Sequence[ClientCall]) -> float:
    return sum(map(_is_served, calls)) / len(calls)
