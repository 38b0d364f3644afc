"""Checks that the quarantine stops request contents that crash endpoints."""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import pairwise

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR
from soak._observations import ClientCall, Observations, Violation
from soak._schedule import FATAL_KINDS

# A content is quarantined once it has crashed FATAL_CRASHES endpoints; FATAL_RUNS more
# runs of it may already be in transit then.
FATAL_CRASHES = 3
FATAL_RUNS = 3


def check_fatal_contents(observations: Observations) -> Iterator[Violation]:
    """Check that contents that crash endpoints are quarantined, and no others."""
    forgotten_at = {
        item.ended_at
        for item in list(observations.disturbances)
        if "AllKilled" in item.what
    }
    bounds = [-math.inf, *sorted(forgotten_at), math.inf]
    for kind in FATAL_KINDS:
        for begun_at, until in pairwise(bounds):
            ends = [
                end.ended_at
                for end in list(observations.endpoint_crashes)
                if end.content == kind and begun_at < end.ended_at < until
            ]
            if len(ends) >= FATAL_CRASHES:
                yield from _late_fatal_runs(observations, kind, sorted(ends), until)
    for call in list(observations.calls):
        if b"request_quarantined" in call.body and not is_fatal(call):
            yield Violation("harmless contents", call.request_id, "it was quarantined")


def _late_fatal_runs(
    observations: Observations, kind: str, ends: list[float], until: float
) -> Iterator[Violation]:
    third = ends[FATAL_CRASHES - 1]
    stalled = STALL_FACTOR * observations.stall(third, third + CONTACT_SECONDS)
    known_from = third + CONTACT_SECONDS + stalled
    ran = observations.runs_by_request_id()
    late = [
        call.request_id
        for call in list(observations.calls)
        if is_fatal(call)
        and call.kind.value == kind
        and known_from < call.sent_at < until
        and call.request_id in ran
        and not observations.disturbed(
            call.entry, call.sent_at - CONTACT_SECONDS, call.ended_at
        )
    ]
    if len(late) > FATAL_RUNS:
        message = (
            f"after {observations.offset(known_from)} endpoints ran {', '.join(late)}"
        )
        yield Violation("contents that end endpoints", f"{kind} {third}", message)


def is_fatal(call: ClientCall) -> bool:
    """Return whether the request crashes each endpoint that runs it."""
    return "-fatal-" in call.request_id
