"""Computes the figures of one run from the callers' outcomes and engines' records.

Goodput, latencies and refusals cover only the requests of the measured period, not
those of the warm-up and the cool-down. Errors such as wrong answers, and wasted
prefill, cover all requests.

- goodput: the share of the offered requests that are answered completely and meet
  both targets of their class. The time to the first token counts from the intended
  start. The between-token target is met when the 95th percentile of the request's own
  gaps is within it.
- incomplete answers: answers that began but did not finish. Those whose own entry
  host was killed are counted separately as `cut_with_entry`, because no other host
  holds the caller's connection.
- wasted prefill: the share of the computed prefill tokens from which no caller
  received a token. A prefill result counts as used when an engine streamed it and the
  caller of that request received at least one token.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

from bench._outcomes import Outcome, RequestOutcome
from bench._plan import PlannedRequest, make_prompt
from bench._scenarios import RequestClass, Scenario
from tests.fakes._records import answer_text


@dataclass(frozen=True)
class Percentiles:
    """Percentiles in milliseconds, None if there are no values."""

    p50: float | None
    p95: float | None
    p99: float | None

    @classmethod
    def of(cls, values: Iterable[float]) -> Percentiles:
        """Return the percentiles by the nearest rank."""
        ordered = sorted(values)
        return cls(*(percentile(ordered, share) for share in (0.5, 0.95, 0.99)))


@dataclass(frozen=True)
class ClassFigures:
    """The figures of one request class; times in milliseconds."""

    offered: int
    goodput: float
    whole: int
    met_first_token: int
    met_between_tokens: int
    outcomes: Mapping[str, int]
    errors: Mapping[str, int]
    refusal_after_ms: Percentiles
    ttft_ms: Percentiles
    itl_ms: Percentiles
    incomplete_begun: int


@dataclass(frozen=True)
class RetryAfterFigures:
    """How well the Retry-After of refusals predicted when a request is served.

    Of the refused requests, `probed` were sent again at the given time, and
    `answered` of these were served.
    """

    given: int
    missing: int
    probed: int
    answered: int
    median_seconds: float | None


@dataclass(frozen=True)
class RunFigures:
    """The figures of one run."""

    goodput: float
    wasted_prefill: float
    ttft_p95: float | None
    itl_p95: float | None
    offered: int
    refused: int
    urgent_goodput: float
    incomplete_begun: int
    incomplete_long: int
    cut_with_entry: int
    wrong_answers: int
    ran_twice: int
    refused_but_ran: int
    computed_tokens: int
    wasted_tokens: int
    client_late_ms_p99: float | None
    retry_after: RetryAfterFigures
    classes: Mapping[str, ClassFigures]


def percentile(ordered: Sequence[float], share: float) -> float | None:
    """Return the value at the nearest rank of sorted values, rounded."""
    if not ordered:
        return None
    rank = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[rank], 1)


def meets_first_token_target(item: RequestClass, outcome: RequestOutcome) -> bool:
    """Return whether the first token came within the class's target."""
    first = outcome.first_token
    return first is not None and first * 1000 <= item.first_token_ms


def meets_between_tokens_target(item: RequestClass, outcome: RequestOutcome) -> bool:
    """Return whether the 95th percentile of gaps is within the class's target."""
    gap = percentile(sorted(outcome.gaps_ms), 0.95)
    return gap is None or gap <= item.between_tokens_ms


def counts_for_goodput(item: RequestClass, outcome: RequestOutcome) -> bool:
    """Return whether a request counts for goodput."""
    return (
        outcome.outcome is Outcome.COMPLETE
        and meets_first_token_target(item, outcome)
        and meets_between_tokens_target(item, outcome)
    )


class RunMeasure:
    """Computes the figures of one run."""

    def __init__(
        self,
        scenario: Scenario,
        planned: Sequence[PlannedRequest],
        outcomes: Sequence[RequestOutcome],
        records: Sequence[dict],
        counted: frozenset[str],
        lost_entry: str = "",
    ) -> None:
        self._class_by_name = scenario.class_by_name
        self._planned_by_id = {item.request_id: item for item in planned}
        self._planned = [item for item in planned if item.request_id in counted]
        self._original_outcomes = [item for item in outcomes if not item.probe]
        self._counted_outcomes = [
            item for item in self._original_outcomes if item.planned_id in counted
        ]
        self._probes = [item for item in outcomes if item.probe]
        self._engine_runs = [
            run for record in records for run in record["runs"] if "kind" in run
        ]
        self._lost_entry = lost_entry
        self._plain_records = [item for item in records if "runs_by_key" in item]

    def figures(self) -> RunFigures:
        """Return the figures."""
        computed, wasted = self._prefill_tokens()
        refused = _refused(self._counted_outcomes)
        late = sorted(item.sent_late * 1000 for item in self._original_outcomes)
        return RunFigures(
            goodput=self._goodput(self._class_by_name),
            wasted_prefill=_ratio(wasted, computed),
            ttft_p95=_first_token_percentiles(self._counted_outcomes).p95,
            itl_p95=_token_gap_percentiles(self._counted_outcomes).p95,
            offered=len(self._planned),
            refused=len(refused),
            urgent_goodput=self._goodput(self._names_of_priority("urgent")),
            incomplete_begun=self._incomplete(self._original_outcomes),
            incomplete_long=self._incomplete(
                item
                for item in self._original_outcomes
                if self._class_by_name[item.class_name].long_answer
            ),
            cut_with_entry=sum(
                _is_incomplete(item) and item.entry_address == self._lost_entry
                for item in self._original_outcomes
            ),
            wrong_answers=self._wrong_answers(),
            ran_twice=self._ran_twice(),
            refused_but_ran=self._refused_but_ran(),
            computed_tokens=computed,
            wasted_tokens=wasted,
            client_late_ms_p99=percentile(late, 0.99),
            retry_after=self._retry_after(refused),
            classes={
                name: self._class_figures(item)
                for name, item in self._class_by_name.items()
            },
        )

    def _incomplete(self, outcomes: Iterable[RequestOutcome]) -> int:
        """Count answers that began but were not finished, though the host survived."""
        return sum(
            _is_incomplete(item) and item.entry_address != self._lost_entry
            for item in outcomes
        )

    def _names_of_priority(self, priority: str) -> set[str]:
        return {
            name
            for name, item in self._class_by_name.items()
            if item.priority == priority
        }

    def _goodput(self, class_names: Iterable[str]) -> float:
        names = set(class_names)
        offered = sum(item.class_name in names for item in self._planned)
        good = sum(
            counts_for_goodput(self._class_by_name[item.class_name], item)
            for item in self._counted_outcomes
            if item.class_name in names
        )
        return _ratio(good, offered)

    def _prefill_tokens(self) -> tuple[int, int]:
        """Return the number of computed prefill tokens and of wasted ones."""
        served = {item.request_id for item in self._all_outcomes() if item.begun}
        decoded = {
            run["kv_id"]
            for run in self._engine_runs
            if run["kind"] == "decode"
            and run["request_id"] in served
            and (run["last_index"] >= 0 or run["outcome"] == "running")
        }
        prefills = [run for run in self._engine_runs if run["kind"] == "prefill"]
        computed = sum(run["computed_tokens"] for run in prefills)
        used = sum(
            run["computed_tokens"] for run in prefills if run["kv_id"] in decoded
        )
        return computed, computed - used

    def _all_outcomes(self) -> list[RequestOutcome]:
        return self._original_outcomes + self._probes

    def _wrong_answers(self) -> int:
        """Count answers whose text does not match their own prompt."""
        wrong = 0
        for item in self._original_outcomes:
            planned = self._planned_by_id[item.planned_id]
            if not item.tokens:
                continue
            prompt = make_prompt(planned, self._class_by_name[item.class_name])
            text = answer_text(prompt, item.tokens)
            short = item.outcome is Outcome.COMPLETE and (
                item.tokens != planned.output_tokens
            )
            wrong += item.text != text or item.out_of_order or short
        return wrong

    def _ran_twice(self) -> int:
        """Count idempotency keys that ran more than once at a plain service."""
        runs: Counter[str] = Counter()
        for record in self._plain_records:
            runs.update(record["runs_by_key"])
        return sum(count > 1 for count in runs.values())

    def _refused_but_ran(self) -> int:
        """Count refusals that report "not run" for requests that an endpoint ran."""
        ran = {
            run["request_id"] for run in self._engine_runs if run["computed_tokens"] > 0
        }
        for record in self._plain_records:
            ran |= set(record["runs_by_request_id"])
        return sum(
            item.ran == "no" and item.request_id in ran
            for item in _refused(self._original_outcomes)
        )

    def _retry_after(self, refused: Sequence[RequestOutcome]) -> RetryAfterFigures:
        given = sorted(
            item.retry_after for item in refused if item.retry_after is not None
        )
        return RetryAfterFigures(
            given=len(given),
            missing=len(refused) - len(given),
            probed=len(self._probes),
            answered=sum(item.outcome is Outcome.COMPLETE for item in self._probes),
            median_seconds=percentile(given, 0.5),
        )

    def _class_figures(self, item: RequestClass) -> ClassFigures:
        class_outcomes = [
            found for found in self._counted_outcomes if found.class_name == item.name
        ]
        by_outcome: defaultdict[Outcome, list[RequestOutcome]] = defaultdict(list)
        for found in class_outcomes:
            by_outcome[found.outcome].append(found)
        complete = by_outcome.get(Outcome.COMPLETE, [])
        refused = by_outcome.get(Outcome.REFUSED, [])
        return ClassFigures(
            offered=sum(planned.class_name == item.name for planned in self._planned),
            goodput=self._goodput([item.name]),
            whole=len(complete),
            met_first_token=sum(
                meets_first_token_target(item, found) for found in complete
            ),
            met_between_tokens=sum(
                meets_between_tokens_target(item, found) for found in complete
            ),
            outcomes={kind.value: len(found) for kind, found in by_outcome.items()},
            errors=dict(
                Counter(found.error_id for found in class_outcomes if found.error_id)
            ),
            refusal_after_ms=Percentiles.of(found.finished * 1000 for found in refused),
            ttft_ms=_first_token_percentiles(class_outcomes),
            itl_ms=_token_gap_percentiles(class_outcomes),
            incomplete_begun=self._incomplete(class_outcomes),
        )


def _refused(outcomes: Iterable[RequestOutcome]) -> list[RequestOutcome]:
    return [item for item in outcomes if item.outcome is Outcome.REFUSED]


def _is_incomplete(outcome: RequestOutcome) -> bool:
    return outcome.begun and outcome.outcome is not Outcome.COMPLETE


def _first_token_percentiles(outcomes: Iterable[RequestOutcome]) -> Percentiles:
    return Percentiles.of(
        item.first_token * 1000 for item in outcomes if item.first_token is not None
    )


def _token_gap_percentiles(outcomes: Iterable[RequestOutcome]) -> Percentiles:
    return Percentiles.of(gap for item in outcomes for gap in item.gaps_ms)


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0


def as_json(figures: RunFigures) -> dict:
    """Return the figures as JSON values."""
    return asdict(figures)
