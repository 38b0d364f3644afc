"""Contents that end endpoints, checked on what endpoints have run."""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import pairwise

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR
from soak._observations import ClientCall, Observations, Violation
from soak._schedule import FATAL_KINDS

# Endpoints that a content ends before it is held back, and runs of it after that.
FATAL_ENDS = 3
FATAL_RUNS = 3


def check_fatal_contents(seen: Observations) -> Iterator[Violation]:
    """Check that what ends endpoints is held back, and nothing else is."""
    forgotten_at = {
        item.ended_at for item in list(seen.disturbances) if "AllKilled" in item.what
    }
    bounds = [-math.inf, *sorted(forgotten_at), math.inf]
    for kind in FATAL_KINDS:
        for begun_at, until in pairwise(bounds):
            ends = [
                end.ended_at
                for end in list(seen.endpoint_ends)
                if end.content == kind and begun_at < end.ended_at < until
            ]
            if len(ends) >= FATAL_ENDS:
                yield from _late_fatal_runs(seen, kind, sorted(ends), until)
    for call in list(seen.calls):
        if b"request_quarantined" in call.body and not is_fatal(call):
            yield Violation("harmless contents", call.request_id, "it was held back")


def _late_fatal_runs(
    seen: Observations, kind: str, ends: list[float], until: float
) -> Iterator[Violation]:
    third = ends[FATAL_ENDS - 1]
    stalled = STALL_FACTOR * seen.stall(third, third + CONTACT_SECONDS)
    known_from = third + CONTACT_SECONDS + stalled
    ran = seen.runs_by_request_id()
    late = [
        call.request_id
        for call in list(seen.calls)
        if is_fatal(call)
        and call.kind.value == kind
        and known_from < call.sent_at < until
        and call.request_id in ran
        and not seen.disturbed(
            call.entry, call.sent_at - CONTACT_SECONDS, call.ended_at
        )
    ]
    if len(late) > FATAL_RUNS:
        message = f"after {seen.offset(known_from)} endpoints ran {', '.join(late)}"
        yield Violation("contents that end endpoints", f"{kind} {third}", message)


def is_fatal(call: ClientCall) -> bool:
    """Say whether the request ends each endpoint that runs it."""
    return "-fatal-" in call.request_id
