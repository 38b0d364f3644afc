"""Tests of the figures that the load tool computes."""

from __future__ import annotations

import json
from dataclasses import replace

from bench._answers import AnswerReader
from bench._measure import RunMeasure
from bench._outcomes import Outcome, RequestOutcome
from bench._plan import PlannedRequest, make_prompt, plan_requests
from bench._scenarios import northvane
from tests.fakes._records import answer_text

SCENARIO = northvane()
PLANNED = PlannedRequest("board-poll-1-0", "board-poll", 0.5, 200, 3, -1)


def complete_outcome() -> RequestOutcome:
    prompt = make_prompt(PLANNED, SCENARIO.class_by_name["board-poll"])
    return RequestOutcome(
        planned_id=PLANNED.request_id,
        request_id=PLANNED.request_id,
        entry_address="127.0.0.1:1",
        class_name=PLANNED.class_name,
        outcome=Outcome.COMPLETE,
        status=200,
        sent_late=0.0,
        finished=0.3,
        first_token=0.2,
        gaps_ms=(20.0, 20.0),
        tokens=3,
        text=answer_text(prompt, 3),
    )


def prefill_run(kv_id: str, tokens: int) -> dict:
    return {
        "kind": "prefill",
        "request_id": PLANNED.request_id,
        "kv_id": kv_id,
        "computed_tokens": tokens,
        "last_index": -1,
        "outcome": "done",
    }


def measure(outcome: RequestOutcome, runs: list[dict]) -> RunMeasure:
    counted = frozenset({PLANNED.request_id})
    return RunMeasure(SCENARIO, [PLANNED], [outcome], [{"runs": runs}], counted)


class TestGoodput:
    """Requests that count as goodput."""

    def test_a_complete_answer_within_both_targets_is_good(self) -> None:
        assert measure(complete_outcome(), []).figures().goodput == 1.0

    def test_a_late_slow_or_interrupted_answer_is_not_good(self) -> None:
        good = complete_outcome()
        for bad in (
            replace(good, first_token=1.1),
            replace(good, gaps_ms=(20.0, 200.0)),
            replace(good, outcome=Outcome.INTERRUPTED),
        ):
            assert measure(bad, []).figures().goodput == 0.0

    def test_a_request_of_the_warm_up_is_not_counted(self) -> None:
        early = replace(PLANNED, request_id="board-poll-1-1", at=0.1)
        late = replace(complete_outcome(), planned_id=early.request_id, first_token=9.0)
        figures = RunMeasure(
            SCENARIO,
            [early, PLANNED],
            [late, complete_outcome()],
            [],
            counted=frozenset({PLANNED.request_id}),
        ).figures()
        assert (figures.offered, figures.goodput) == (1, 1.0)

    def test_the_text_of_another_prompt_is_a_wrong_answer(self) -> None:
        wrong_answer = replace(
            complete_outcome(), text=answer_text("another prompt", 3)
        )
        assert measure(wrong_answer, []).figures().wrong_answers == 1


class TestWastedPrefill:
    """Computed tokens that count as wasted."""

    def test_a_prefill_without_a_served_answer_is_wasted(self) -> None:
        decode = {**prefill_run("kv-2", 0), "kind": "decode", "last_index": 2}
        runs = [prefill_run("kv-1", 100), prefill_run("kv-2", 300), decode]
        assert measure(complete_outcome(), runs).figures().wasted_prefill == 0.25
        gave_up = replace(
            complete_outcome(), outcome=Outcome.ABANDONED, tokens=0, text=""
        )
        assert measure(gave_up, runs).figures().wasted_prefill == 1.0


class TestPlan:
    """The open-loop load that a seed determines."""

    def test_the_same_seed_gives_the_same_plan(self) -> None:
        first = plan_requests(SCENARIO, 1.0, 10.0, seed=3)
        assert first == plan_requests(SCENARIO, 1.0, 10.0, seed=3)
        assert first != plan_requests(SCENARIO, 1.0, 10.0, seed=4)


class TestAnswerReader:
    """Answers that arrive in chunks of any size."""

    def test_a_chunked_stream_is_parsed_from_single_bytes(self) -> None:
        events = [
            f"event: token\ndata: {json.dumps({'index': 0, 'token': 'w1 '})}\n\n",
            f"event: end\ndata: {json.dumps({'tokens': 1})}\n\n",
        ]
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        chunks = "".join(f"{len(event):x}\r\n{event}\r\n" for event in events)
        reader = AnswerReader()
        for byte in f"{head}{chunks}0\r\n\r\n".encode():
            reader.feed(bytes([byte]), 1.0)
        assert (reader.tokens, reader.ended, reader.out_of_order) == (
            ["w1 "],
            True,
            False,
        )
