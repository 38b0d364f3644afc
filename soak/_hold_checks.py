"""What endpoints asked for in their answers, checked on what reached them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR, count_between
from soak._observations import ClientCall, EndpointArrival, Observations, Violation

# A host may send so many requests to an endpoint that has asked it for backoff; those
# of the first moments, in seconds, are not counted.
BACKOFF_REQUESTS = 2
BACKOFF_SLACK_SECONDS = 0.5
# From when on an endpoint that has said that it leaves gets nothing, in seconds.
DRAIN_SECONDS = 2.0

# What an endpoint gets beyond its limit at most, and how long after the first request
# that a host sends to it the host keeps it, in seconds.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
TOLD_SECONDS = 1.0

Sender = tuple[str, str]
"""An endpoint's id, and the entry host that sent it requests."""


def check_limits(seen: Observations) -> Iterator[Violation]:
    """Check that an endpoint gets no more than it said, of hosts that it has told."""
    entry_by_id = {call.request_id: call.entry for call in list(seen.calls)}
    for limit in list(seen.limits):
        told_at_by_entry: dict[str, float] = {}
        times = []
        for run in sorted(list(seen.runs), key=lambda item: item.started_at):
            entry = entry_by_id.get(run.request_id, "")
            if run.endpoint_id != limit.endpoint_id or not limit.holds(run.started_at):
                continue
            told_at = told_at_by_entry.setdefault(entry, run.started_at)
            was_disturbed = seen.disturbed(entry, limit.begun_at, run.started_at)
            if run.started_at > told_at + TOLD_SECONDS and not was_disturbed:
                times.append(run.started_at)
        most = LIMIT_SHARE * limit.per_second * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        for until in times:
            count = count_between(times, until - LIMIT_WINDOW_SECONDS, until)
            if until > limit.begun_at + CONTACT_SECONDS and count > most:
                message = f"{count} in {LIMIT_WINDOW_SECONDS} s, {most} are allowed"
                when = f"{limit.endpoint_id} until {seen.offset(until)}"
                yield Violation("limits of endpoints", when, message)
                break


def check_backoff(seen: Observations) -> Iterator[Violation]:
    """Check that an endpoint gets no requests within a backoff that it asked for."""
    for sender, arrivals in _by_sender(seen).items():
        for told in arrivals:
            if not told.backoff_seconds:
                continue
            until = told.at + told.backoff_seconds
            since = told.at + BACKOFF_SLACK_SECONDS
            since += STALL_FACTOR * seen.stall(told.at, until)
            late = [item for item in arrivals if since < item.at < until]
            if len(late) <= BACKOFF_REQUESTS or _is_excused(seen, sender, told, until):
                continue
            yield Violation(
                "backoff of endpoints",
                f"{sender[0]} from {sender[1]}, {seen.offset(told.at)}",
                f"it asked for {told.backoff_seconds} s and got {_shown(seen, late)}",
            )


def check_leaving(seen: Observations) -> Iterator[Violation]:
    """Check that an endpoint gets nothing after it has said that it leaves."""
    call_by_id = _calls(seen)
    for sender, arrivals in _by_sender(seen).items():
        told = next((item for item in arrivals if item.told_leaving), None)
        if told is None:
            continue
        stalled = STALL_FACTOR * seen.stall(told.at, arrivals[-1].at)
        drained_at = told.at + DRAIN_SECONDS + stalled
        late = [
            item
            for item in arrivals
            if call_by_id[item.request_id].sent_at > drained_at
            and not _is_excused(seen, sender, told, item.at)
        ]
        if late:
            yield Violation(
                "nothing after it said that it leaves",
                f"{sender[0]} from {sender[1]}",
                f"it said so at {seen.offset(told.at)} and got {_shown(seen, late)}",
            )


def _by_sender(seen: Observations) -> Mapping[Sender, list[EndpointArrival]]:
    """Return what each endpoint got from each host, in order."""
    call_by_id = _calls(seen)
    found = defaultdict(list)
    for arrival in sorted(list(seen.arrivals), key=lambda item: item.at):
        call = call_by_id.get(arrival.request_id)
        if call is not None:
            found[arrival.endpoint_id, call.entry].append(arrival)
    return found


def _calls(seen: Observations) -> dict[str, ClientCall]:
    return {call.request_id: call for call in list(seen.calls)}


def _is_excused(
    seen: Observations, sender: Sender, told: EndpointArrival, until: float
) -> bool:
    """Say whether the host or its link was disturbed since before it was told."""
    begun_at = told.at - CONTACT_SECONDS
    link = f"entry>{told.slot}"
    return seen.disturbed(sender[1], begun_at, until) or seen.disturbed(
        link, begun_at, until
    )


def _shown(seen: Observations, arrivals: list[EndpointArrival]) -> str:
    return ", ".join(
        f"{item.request_id} at {seen.offset(item.at)}" for item in arrivals
    )
