"""Ordered rules: the first match decides, and rules that can't match are detected."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujubeslip.declaration import (
    Condition,
    Declaration,
    PriorityClass,
    Rule,
    parse_declaration,
)
from jujubeslip.kernel import run_checks
from jujubeslip.rules import RequestFacts, explain, first_match
from jujubeslip.rules._checks import covers

FACTS = RequestFacts(
    service="bulletin-llm",
    model="bulletin-large",
    adapter="",
    client="dispatch",
    priority=PriorityClass.STANDARD,
    prompt_tokens=100,
    repeatable=True,
    queue_wait_ms=0,
    load=0.0,
    availability_zone="regina-hall",
)

conditions = st.builds(
    Condition,
    service=st.sampled_from([None, "a", "b"]),
    client=st.sampled_from([None, "c", "d"]),
    prompt_tokens_min=st.sampled_from([None, 10, 20]),
    prompt_tokens_max=st.sampled_from([None, 15, 30]),
    repeatable=st.sampled_from([None, True, False]),
    load_min=st.sampled_from([None, 0.5, 0.9]),
)
facts = st.builds(
    lambda **changed: replace(FACTS, **changed),
    service=st.sampled_from(["a", "b"]),
    client=st.sampled_from(["c", "d"]),
    prompt_tokens=st.integers(5, 35),
    repeatable=st.booleans(),
    load=st.sampled_from([0.1, 0.5, 0.95]),
)


def rule_named(name: str, **keys: object) -> Rule:
    return Rule(name, Condition(**keys))  # type: ignore[arg-type]


class TestFirstMatch:
    def test_the_first_of_two_matching_rules_decides(self) -> None:
        rules = [rule_named("one", client="dispatch"), rule_named("two")]
        assert first_match(rules, FACTS) is rules[0]

    def test_all_keys_must_hold(self) -> None:
        rules = [
            rule_named("one", client="dispatch", repeatable=False),
            rule_named("two"),
        ]
        assert first_match(rules, FACTS) is rules[1]

    def test_no_matching_rule_returns_none(self) -> None:
        assert first_match([rule_named("one", client="boards")], FACTS) is None

    @pytest.mark.parametrize(
        ("keys", "holds"),
        [
            ({"prompt_tokens_min": 100}, True),
            ({"prompt_tokens_min": 101}, False),
            ({"prompt_tokens_max": 100}, True),
            ({"prompt_tokens_max": 99}, False),
            ({"queue_wait_ms_min": 1}, False),
            ({"repeatable": False}, False),
            ({"adapter": ""}, True),
            ({"load_min": 0.0}, True),
        ],
    )
    def test_bounds_include_their_value(
        self, keys: dict[str, object], holds: bool
    ) -> None:
        rule = rule_named("one", **keys)
        assert (first_match([rule], FACTS) is rule) is holds

    @given(st.lists(conditions, max_size=6), facts)
    def test_explain_agrees_with_the_decision(
        self, found: list[Condition], request: RequestFacts
    ) -> None:
        rules = [Rule(f"r{number}", item) for number, item in enumerate(found)]
        matching = [item.rule for item in explain(rules, request) if item.matches]
        decided = first_match(rules, request)
        assert (matching[0] if matching else None) is decided


class TestUnreachableRules:
    """Guards against rules without effect that no warning mentions.

    A dispatcher adds a rule for urgent requests after a general rule. The new rule is
    correct by itself, but the earlier one matches all of its requests first, so
    bulletins stay slow.
    """

    def test_are_reported_with_both_names(self) -> None:
        text = """
        [[service]]
        name = "bulletin-llm"
        model = "m"
        [[rule]]
        name = "all-bulletins"
        when = { service = "bulletin-llm" }
        [[rule]]
        name = "short-bulletins"
        when = { service = "bulletin-llm", prompt_tokens_max = 50 }
        [[rule]]
        name = "last"
        """
        (message,) = run_checks(parse_declaration(text).unwrap())
        assert message.check_id == "rules.W001"
        assert "short-bulletins" in message.place
        assert "all-bulletins" in message.message
        assert message.hint

    def test_missing_catch_all_rule_is_reported(self) -> None:
        declaration = Declaration(rule=(rule_named("one", client="c"),))
        assert [item.check_id for item in run_checks(declaration)] == ["rules.W002"]

    @given(conditions, conditions, facts)
    def test_covering_rule_matches_whenever_the_covered_one_does(
        self, general: Condition, special: Condition, request: RequestFacts
    ) -> None:
        if not covers(general, special):
            return
        if first_match([Rule("special", special)], request):
            assert first_match([Rule("general", general)], request)
