"""The promises, checked on what callers, operators and endpoints have seen."""

from __future__ import annotations

import math
import re
import time
from collections import defaultdict
from collections.abc import Callable, Iterator

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR, count_between
from soak._crash_checks import check_fatal_contents, is_fatal
from soak._endpoints import STREAM_EVENTS
from soak._hold_checks import check_backoff, check_leaving, check_limits
from soak._observations import (
    ClientCall,
    Departure,
    Kind,
    Observations,
    Outcome,
    Run,
    Violation,
)
from soak._operator import MAXIMUM_ATTEMPTS
from soak._system import (
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_MS,
    STOP_LIMIT_MS,
)

# How long after the acknowledgement of its leaving an endpoint may still be sent
# requests, and a configuration may be unknown to a host in touch, in seconds. Both
# take milliseconds; the rest is for a busy machine, with what it is seen to stall.
LEAVE_SECONDS = 1.5
APPLY_SECONDS = 5.0
# How long after its client has left an endpoint is told, in seconds; a stream that
# lasts for longer must not be worked on to its end.
GONE_SECONDS = 4.0
# How long a host may take to see that a client has left, in seconds. An endpoint that
# ends in that time need not be told.
NOTICE_SECONDS = 0.5
# A stop may cut off what began early in it and is not done by now, in its limits.
LATE_SHARE = 5 / 6
EARLY_SECONDS = 3.0
# How much longer than its limit a stop may take, in seconds.
STOP_MARGIN_SECONDS = 10.0
NOT_RUN = frozenset({408, 421, 429, 503})
EVENT = re.compile(rb"id: (\d+)\ndata: token-(\d+)\n\n")
WINDOW_SECONDS = RETRY_WINDOW_MS / 1000
Check = Callable[[Observations], Iterator[Violation]]


def find_violations(seen: Observations) -> list[Violation]:
    """Return every promise that was not kept so far."""
    return [violation for check in CHECKS for violation in check(seen)]


def check_runs(seen: Observations) -> Iterator[Violation]:
    """Check that a request runs once at most, or as often as its route allows."""
    runs_by_id = seen.runs_by_request_id()
    kind_by_name = {kind.value: kind for kind in Kind}
    for request_id, runs in runs_by_id.items():
        kind = kind_by_name.get(request_id.partition("-")[0])
        if kind is None or not all(run.intact for run in runs):
            yield Violation(
                "nothing that was not asked",
                request_id or "a request without an id",
                f"no client has sent it so: {_shown(seen, runs)}",
            )
            continue
        allowed = 1 if kind.runs_once else MAXIMUM_ATTEMPTS
        if len(runs) > allowed:
            yield Violation(
                "at most once" if kind.runs_once else "attempts of a request",
                request_id,
                f"it ran {len(runs)} times: {_shown(seen, runs)}",
            )


def check_refusals(seen: Observations) -> Iterator[Violation]:
    """Check that a refusal which says "not run" is true, also later on."""
    runs_by_id = seen.runs_by_request_id()
    for call in list(seen.calls):
        runs = runs_by_id.get(call.request_id)
        answered = call.outcome is Outcome.ANSWERED and call.status in NOT_RUN
        if answered and runs and call.kind.runs_once:
            yield Violation(
                "true refusals",
                call.request_id,
                f"{call.entry} answered {call.status} at {seen.offset(call.ended_at)}, "
                f"and it ran: {_shown(seen, runs)}",
            )


def check_answers(seen: Observations) -> Iterator[Violation]:
    """Check that answers are whole, in order, and of an endpoint that ran them."""
    runs_by_id = seen.runs_by_request_id()
    for call in list(seen.calls):
        problem = _problem_of(seen, call, runs_by_id.get(call.request_id, []))
        if problem:
            yield Violation(
                "whole answers in order",
                call.request_id,
                f"{call.entry}, {seen.offset(call.sent_at)} to "
                f"{seen.offset(call.ended_at)}, {call.outcome.value}: {problem}",
            )


def _problem_of(seen: Observations, call: ClientCall, runs: list[Run]) -> str:
    if call.status == 404 and call.kind is not Kind.PROBE:
        return "a route that every configuration has was denied"
    if call.status != 200:
        return ""
    if call.echoed_id != call.request_id:
        return f"the answer is for {call.echoed_id!r}"
    endpoint_id = call.stamp.partition(".")[0]
    if endpoint_id not in {run.endpoint_id for run in runs}:
        return f"{endpoint_id!r} has answered and not run it"
    whole = call.outcome is Outcome.ANSWERED
    if call.kind.is_stream:
        return _problem_of_events(call.body, whole)
    if whole and call.body != seen.answer_by_endpoint[endpoint_id]:
        return f"the body is not that of {endpoint_id}: {call.body[:60]!r}"
    return ""


def _problem_of_events(body: bytes, whole: bool) -> str:
    numbers = [int(number) for number, _ in EVENT.findall(body)]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events out of order: {numbers}"
    rest = EVENT.sub(b"", body)
    if rest and (whole or body.endswith(b"\n\n")):
        return f"bytes that are no event: {rest[:60]!r}"
    if whole and len(numbers) != STREAM_EVENTS:
        return f"it ended as if whole after event {len(numbers)}"
    return ""


def check_losses(seen: Observations) -> Iterator[Violation]:
    """Check that what an endpoint runs is answered, also while its host stops."""
    runs_by_id = seen.runs_by_request_id()
    for call in list(seen.calls):
        runs = runs_by_id.get(call.request_id, [])
        if call.outcome not in (Outcome.CUT, Outcome.SILENT) or is_fatal(call):
            continue
        if call.outcome is Outcome.CUT and not runs:
            continue
        if _is_excused(seen, call, runs) or _ends_late_in_a_stop(seen, call):
            continue
        yield Violation(
            "requests that are lost",
            call.request_id,
            f"{call.entry} gave no whole answer from {seen.offset(call.sent_at)} to "
            f"{seen.offset(call.ended_at)} ({call.outcome.value}, {call.error}, "
            f"{len(call.body)} bytes): {_shown(seen, runs)}",
        )


def _is_excused(seen: Observations, call: ClientCall, runs: list[Run]) -> bool:
    """Say whether a fault explains that the answer didn't come."""
    begun_at = call.sent_at - CONTACT_SECONDS
    link = f"client>{call.entry}"
    if seen.disturbed(link, call.connected_at, call.ended_at):
        return True
    if seen.disturbed(call.entry, begun_at, call.ended_at, planned=False):
        return True
    return any(_is_endpoint_disturbed(seen, run, call.ended_at) for run in runs)


def _is_endpoint_disturbed(seen: Observations, run: Run, ended_at: float) -> bool:
    begun_at = run.started_at - CONTACT_SECONDS
    return seen.disturbed(run.slot, begun_at, ended_at) or seen.disturbed(
        f"entry>{run.slot}", begun_at, ended_at
    )


def _ends_late_in_a_stop(seen: Observations, call: ClientCall) -> bool:
    for end in list(seen.ends):
        if end.host != call.entry or end.asked_at is None:
            continue
        late_at = end.asked_at + LATE_SHARE * STOP_LIMIT_MS / 1000
        early = call.sent_at <= end.asked_at + EARLY_SECONDS
        if early and late_at <= call.ended_at <= end.ended_at + CONTACT_SECONDS:
            return True
    return False


def check_departures(seen: Observations) -> Iterator[Violation]:
    """Check that nothing is sent to an endpoint whose leaving was acknowledged."""
    departure_by_id = {item.endpoint_id: item for item in list(seen.departures)}
    call_by_id = {call.request_id: call for call in list(seen.calls)}
    for run in list(seen.runs):
        departure = departure_by_id.get(run.endpoint_id)
        call = call_by_id.get(run.request_id)
        if departure is None or call is None:
            continue
        if _is_late(seen, run, departure, call):
            yield Violation(
                "nothing after leaving",
                f"{run.endpoint_id} from {call.entry}",
                f"it left by {departure.manner}, acknowledged by {departure.control} "
                f"at {seen.offset(departure.acknowledged_at)}, and was sent "
                f"{run.request_id} at {seen.offset(run.started_at)}",
            )


def _is_late(
    seen: Observations, run: Run, departure: Departure, call: ClientCall
) -> bool:
    acknowledged_at = departure.acknowledged_at
    stalled = STALL_FACTOR * seen.stall(acknowledged_at, run.started_at)
    if run.started_at < acknowledged_at + LEAVE_SECONDS + stalled:
        return False
    in_touch_from = run.started_at - CONTACT_SECONDS
    held_up = seen.disturbed(f"entry>{run.slot}", call.sent_at, run.started_at)
    return not (held_up or seen.disturbed(call.entry, in_touch_from, run.started_at))


def check_configurations(seen: Observations) -> Iterator[Violation]:
    """Check that what was acknowledged, or read once, is never lost nor goes back."""
    puts = list(seen.put_by_version.values())
    acknowledged = sorted(
        (put.acknowledged_at, put.version)
        for put in puts
        if put.acknowledged_at < math.inf
    )
    reads = sorted(list(seen.reads), key=lambda read: read.begun_at)
    known = sorted([*acknowledged, *((read.ended_at, read.version) for read in reads)])
    newest, position = 0, 0
    for read in reads:
        while position < len(known) and known[position][0] < read.begun_at:
            newest = max(newest, known[position][1])
            position += 1
        put = seen.put_by_version.get(read.version)
        subject = f"version {read.version} at {read.control}"
        when = f"{seen.offset(read.begun_at)} to {seen.offset(read.ended_at)}"
        if read.version < newest:
            yield Violation(
                "configuration never goes back",
                f"{subject}, {when}",
                f"version {newest} had been acknowledged or read before",
            )
        if put is None or put.content != read.content:
            yield Violation(
                "one content for each version",
                f"{subject}, {when}",
                "what was read is not what was sent under its number",
            )


def check_routes(seen: Observations) -> Iterator[Violation]:
    """Check that an entry host obeys what was acknowledged, and never goes back."""
    newest_by_boot: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    probes = [call for call in list(seen.calls) if call.kind is Kind.PROBE]
    for call in probes:
        answered = call.outcome is Outcome.ANSWERED and call.boot
        if answered and call.status != 404:
            served = (call.ended_at, call.version)
            newest_by_boot[call.entry, call.boot].append(served)
    for call in probes:
        if call.status != 404:
            continue
        earlier = [
            version
            for ended_at, version in newest_by_boot[call.entry, call.boot]
            if ended_at < call.sent_at and version >= call.version
        ]
        if earlier and call.boot:
            yield Violation(
                "configuration never goes back",
                call.request_id,
                f"{call.entry} denied the route of version {call.version} at "
                f"{seen.offset(call.ended_at)}, and had served that of {earlier[-1]}",
            )
        elif _should_know(seen, call):
            yield Violation(
                "configuration in force",
                call.request_id,
                f"{call.entry} denied the route of version {call.version} at "
                f"{seen.offset(call.ended_at)}",
            )


def _should_know(seen: Observations, call: ClientCall) -> bool:
    acknowledged_at = seen.put_by_version[call.version].acknowledged_at
    stalled = STALL_FACTOR * seen.stall(acknowledged_at, call.ended_at)
    if call.sent_at < acknowledged_at + APPLY_SECONDS + stalled:
        return False
    begun_at = call.sent_at - APPLY_SECONDS - stalled
    return not seen.disturbed(call.entry, begun_at, call.ended_at)


def check_budget(seen: Observations) -> Iterator[Violation]:
    """Check that further sends stay within the ratio and the allowance."""
    requests: dict[str, list[float]] = {"plain": [], "model": []}
    for call in list(seen.calls):
        service = "model" if call.kind.is_stream else "plain"
        requests[service].append(call.sent_at)
    further: dict[str, list[float]] = {"plain": [], "model": []}
    for runs in seen.runs_by_request_id().values():
        further[runs[0].service].extend(run.started_at for run in runs[1:])
    for service, times in further.items():
        times.sort()
        sent = sorted(requests[service])
        for until in times:
            count = count_between(times, until - WINDOW_SECONDS, until)
            most = max(
                count_between(sent, until - back - WINDOW_SECONDS, until - back)
                for back in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
            )
            if count > RETRY_RATIO * most + RETRY_ALLOWANCE:
                yield Violation(
                    "retry budget",
                    f"{service} until {seen.offset(until)}",
                    f"{count} further runs in {WINDOW_SECONDS} s for {most} requests",
                )
                break


def check_gone(seen: Observations) -> Iterator[Violation]:
    """Check that no endpoint works to the end for a client that has left."""
    runs_by_id = seen.runs_by_request_id()
    now = time.monotonic()
    for call in list(seen.calls):
        if call.outcome is not Outcome.LEFT or call.ended_at + GONE_SECONDS > now:
            continue
        runs = runs_by_id.get(call.request_id, [])
        if call.request_id in seen.gone_by_request_id:
            continue
        judged_by = call.ended_at + GONE_SECONDS
        if seen.stall(call.sent_at, judged_by) * STALL_FACTOR > 0.5:
            continue
        if seen.disturbed(call.entry, call.sent_at - CONTACT_SECONDS, judged_by):
            continue
        if _is_excused(seen, call, runs):
            continue
        noticed_by = call.ended_at + NOTICE_SECONDS
        if any(_is_endpoint_disturbed(seen, run, noticed_by) for run in runs):
            continue
        yield Violation(
            "callers that are gone",
            call.request_id,
            f"its client left {call.entry} at {seen.offset(call.ended_at)}, and the "
            f"endpoint was never told: {_shown(seen, runs)}",
        )


def check_ends(seen: Observations) -> Iterator[Violation]:
    """Check that processes end when told to, within their limit, and never else."""
    for end in list(seen.ends):
        when = seen.offset(end.ended_at)
        if end.asked_at is None:
            yield Violation(
                "processes that go on", f"{end.host}, {when}", f"status {end.status}"
            )
            continue
        seconds = end.ended_at - end.asked_at
        limit = STOP_LIMIT_MS / 1000 + STOP_MARGIN_SECONDS
        limit += STALL_FACTOR * seen.stall(end.asked_at, end.ended_at)
        if end.status != 0 or seconds > limit:
            yield Violation(
                "planned stops",
                f"{end.host}, {when}",
                f"status {end.status} {seconds:.2f} s after SIGTERM",
            )


def check_recovery(seen: Observations) -> Iterator[Violation]:
    """Check that everything is served again once the faults are over."""
    for problem in list(seen.unrecovered):
        yield Violation("recovery", problem, "not within its bound")


def _shown(seen: Observations, runs: list[Run]) -> str:
    return ", ".join(
        f"{run.endpoint_id} at {seen.offset(run.started_at)}" for run in runs
    )


CHECKS: tuple[Check, ...] = (
    check_runs,
    check_refusals,
    check_answers,
    check_losses,
    check_departures,
    check_configurations,
    check_routes,
    check_budget,
    check_gone,
    check_ends,
    check_fatal_contents,
    check_limits,
    check_backoff,
    check_leaving,
    check_recovery,
)
