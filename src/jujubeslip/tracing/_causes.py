"""Why a request ended as it did, in a sentence."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

from jujubeslip.tracing._models import Line, RequestEnd, read_end

END_MESSAGE = "request ended"
REFUSAL_MESSAGE = "no grant at an engine"
KEY_MESSAGE = "key not accepted"
LIMIT_MESSAGE = "request not within its account's limit"
ENDPOINT_LIMIT_MESSAGE = "request not within its endpoint's limit"
BACKOFF_MESSAGE = "request refused during backoff"
QUARANTINE_MESSAGE = "request quarantined"
CUT_MESSAGE = "run cut off"
_STEP = re.compile(r"(?P<ms>\d+) ms (?P<endpoint>\S+): (?P<what>.*)")

Explain = Callable[[RequestEnd, Sequence[Line]], str]


def cause_of(lines: Sequence[Line]) -> str:
    """Return the cause that the lines of one request show."""
    ends = [line for line in lines if line.message == END_MESSAGE]
    if not ends:
        return _without_end(lines)
    end = read_end(ends[-1])
    explain = _EXPLAIN_BY_OUTCOME.get(end.outcome, _other)
    return explain(end, lines)


def _without_end(lines: Sequence[Line]) -> str:
    if not lines:
        return "No line names this request: it reached none of these hosts."
    refusals = [line for line in lines if line.message == KEY_MESSAGE]
    if refusals:
        return _unknown_key(refusals[-1])
    return (
        "No host wrote its end: it is being served, its host stopped, or the line was "
        "left out (see left_out_before and dropped_before of later lines)."
    )


def _unknown_key(line: Line) -> str:
    fields = line.fields
    sent = "It sent a key" if fields.get("has_key") else "It sent no single key"
    return (
        f"Refused with 401, not run: {fields.get('reason')} in configuration "
        f"{fields.get('version')}. {sent}, and its route is not public."
    )


def _key_taken(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == KEY_MESSAGE]
    return _unknown_key(refusals[-1]) if refusals else _other(end, lines)


def _over_limit(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == LIMIT_MESSAGE]
    if not refusals:
        return "Refused, not run: its account's limit; no line says what was left."
    fields = refusals[-1].fields
    return (
        f"Refused, not run: it counts {fields.get('cost')} against the limit of "
        f"account {fields.get('account')!r}, and {fields.get('reason')}; enough would "
        f"be free after {fields.get('wait_ms')} ms."
    )


def _over_endpoint_limit(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == ENDPOINT_LIMIT_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: the limits that the endpoints of its service named were "
            "used a moment before; see `request not within its endpoint's limit` of "
            "other requests on this host."
        )
    fields = refusals[-1].fields
    asked = "the leader" if fields.get("leader") else "the hosts without a leader"
    return (
        f"Refused, not run: endpoint {fields.get('start_id')} takes "
        f"{fields.get('per_second')} requests a second from all hosts, as it said "
        f"{fields.get('named_ago_ms')} ms before, and {asked} had none left for "
        f"{fields.get('wait_ms')} ms."
    )


def _endpoints_in_backoff(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == BACKOFF_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: all endpoints of its service were in backoff; no line "
            "names them."
        )
    fields = refusals[-1].fields
    named = ", ".join(fields.get("start_ids") or ["of its service"])
    return (
        f"Refused, not run: no endpoint may be asked, and {named} had asked this host "
        f"for backoff, the first for {fields.get('wait_ms')} ms more; see its lines "
        "`endpoint asked for backoff` before that."
    )


def _quarantined(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == QUARANTINE_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: its content is in quarantine; no line says since when."
        )
    fields = refusals[-1].fields
    return (
        f"Refused, not run: its content {fields.get('fingerprint')} is in quarantine "
        f"for {fields.get('held_for_ms')} ms more, since equal requests have ended "
        f"{fields.get('crashes')} endpoints one after another; "
        "`jujubeslip quarantine lift` ends that."
    )


def _no_room(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == REFUSAL_MESSAGE]
    if refusals:
        fields = refusals[-1].fields
        return (
            "Refused, not run: the leader found no engine with room for its "
            f"{fields.get('prompt_tokens')} prompt tokens and for what all answers "
            f"there will grow by; it forecast a wait of {fields.get('forecast_ms')} ms."
        )
    return (
        "Refused, not run: no engine had room in time, and no leader was asked; "
        f"{_last_step(end)}."
    )


def _answer_lost(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, what = _failed_step(end)
    return (
        f"Its answer was lost: endpoint {endpoint} took it and ended with {what}"
        f"{_crash(lines)}. It may have run there, and was not sent again, since its "
        "route does not allow that or nothing was left for it."
    )


def _crash(lines: Sequence[Line]) -> str:
    cuts = [line for line in lines if line.message == CUT_MESSAGE]
    if not cuts or not cuts[-1].fields.get("endpoint_ended"):
        return ""
    return f", as its process had ended (content {cuts[-1].fields.get('fingerprint')})"


def _no_answer(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, _ = _failed_step(end)
    return (
        f"Endpoint {endpoint} took it and gave no answer in time; whether it ran is "
        "not known."
    )


def _refused_by_endpoints(end: RequestEnd, lines: Sequence[Line]) -> str:
    return f"Refused, not run: no endpoint took it; {_last_step(end)}."


def _no_endpoint(end: RequestEnd, lines: Sequence[Line]) -> str:
    return (
        "Refused, not run: its host knew no usable endpoint of the service; see its "
        "lines `endpoint changed` and `endpoint skipped` before that."
    )


def _client_left(end: RequestEnd, lines: Sequence[Line]) -> str:
    return f"Its client closed the connection; until then: {_last_step(end)}."


def _cut(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, what = _failed_step(end)
    return (
        f"Its answer broke off at endpoint {endpoint} with {what}, after some events; "
        "its client was shown that it is not whole."
    )


def _served(end: RequestEnd, lines: Sequence[Line]) -> str:
    late = _late_first_event(end)
    if late:
        return f"Answered whole, late: {late}"
    if end.maximum_gap_ms and end.longest_gap_ms > end.maximum_gap_ms:
        return (
            f"Answered whole, late: it paused for {end.longest_gap_ms} ms, "
            f"{end.maximum_gap_ms} ms are allowed. Its engine pushed it out, or read "
            "another prompt by itself meanwhile."
        )
    return "Answered whole and in time."


def _late_first_event(end: RequestEnd) -> str:
    first = end.first_event_ms
    if first is None or not end.target_ms or first <= end.target_ms:
        return ""
    longest, step = _longest_wait(end)
    return (
        f"its first event came after {first} ms, {end.target_ms} ms are allowed; "
        f"{longest} ms of it until `{step}`{_reread(end)}."
    )


def _reread(end: RequestEnd) -> str:
    read = any(step.endswith("prompt read") for step in end.steps)
    refused = any("endpoint_refused" in step for step in end.steps)
    if read and refused:
        return (
            "; its prompt had been read, its memory was gone when the answering engine "
            "fetched it, and the prompt was read again"
        )
    return ""


def _longest_wait(end: RequestEnd) -> tuple[int, str]:
    waits = []
    before = 0
    for step in end.steps:
        found = _STEP.match(step)
        if found is None:
            continue
        now = int(found["ms"])
        waits.append((now - before, found["what"]))
        before = now
    return max(waits, default=(0, "the request came"))


def _failed_step(end: RequestEnd) -> tuple[str, str]:
    for step in reversed(end.steps):
        found = _STEP.match(step)
        if found is not None and "ran=True" in found["what"]:
            return found["endpoint"], found["what"].split()[0]
    return "-", "no answer"


def _last_step(end: RequestEnd) -> str:
    return f"last step: {end.steps[-1]}" if end.steps else "nothing was sent"


def _other(end: RequestEnd, lines: Sequence[Line]) -> str:
    if end.outcome.isdigit():
        return (
            f"An endpoint answered {end.outcome}, which was passed on; "
            f"{_last_step(end)}."
        )
    return f"Ended as {end.outcome}, ran {end.ran}; {_last_step(end)}."


_EXPLAIN_BY_OUTCOME: dict[str, Explain] = {
    "no_room": _no_room,
    "request_quarantined": _quarantined,
    "endpoint_limit": _over_endpoint_limit,
    "endpoint_backoff": _endpoints_in_backoff,
    "client_unknown": _key_taken,
    "client_limit": _over_limit,
    "limit_unknown": _over_limit,
    "answer_lost": _answer_lost,
    "no_answer_in_time": _no_answer,
    "endpoints_refused": _refused_by_endpoints,
    "no_endpoint": _no_endpoint,
    "caller_gone": _client_left,
    "left": _client_left,
    "answer_cut": _cut,
    "whole": _served,
    "200": _served,
}
