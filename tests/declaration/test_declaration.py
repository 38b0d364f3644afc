"""Parsing and checks of declarations: problems name the entry and the remedy."""

from __future__ import annotations

import pytest

from jujubeslip.declaration import parse_declaration
from jujubeslip.kernel import run_checks
from tests.fakes.processes import ROOT

HASH = "0" * 64


def found_in(text: str) -> dict[str, str]:
    """Return the place of each message of the checks, by check id."""
    messages = run_checks(parse_declaration(text).unwrap())
    return {message.check_id: message.place for message in messages}


class TestChecks:
    def test_two_entries_of_one_name(self) -> None:
        rule = '[[rule]]\nname = "one"\n'
        found = found_in(rule + rule)
        assert found["declaration.E001"] == "rule one"

    def test_two_accounts_with_one_key(self) -> None:
        """Requests of one account would count against the limit of the other."""
        accounts = "".join(
            f'[[client]]\nname = "{name}"\nkey_sha256 = ["{HASH}"]\n' for name in "ab"
        )
        assert found_in(accounts)["declaration.E002"] == "client b"

    @pytest.mark.parametrize(
        "entry",
        [
            '[[rule]]\nname = "r"\nwhen = { service = "gone" }\n',
            '[[rule]]\nname = "r"\nthen = { pool = "gone" }\n',
            '[[placement]]\nservice = "gone"\nmodel = "m"\n',
        ],
    )
    def test_a_service_that_is_not_declared(self, entry: str) -> None:
        """A rule that keeps the old name of a renamed service never matches."""
        assert "declaration.E003" in found_in(entry)

    def test_a_model_service_without_a_model(self) -> None:
        found = found_in('[[service]]\nname = "s"\n')
        assert found["declaration.E004"] == "service s"


class TestParsing:
    @pytest.mark.parametrize(
        ("text", "key", "remedy"),
        [
            ('[[rule]]\nname = "r"\nwhen = { servce = "s" }', "rule[0].when.servce",
             "Did you mean 'service'?"),
            ('[[clients]]\nname = "c"', "clients", "Did you mean 'client'?"),
        ],
    )  # fmt: skip
    def test_names_the_nearest_key(self, text: str, key: str, remedy: str) -> None:
        (problem,) = parse_declaration(text, "file.toml").failure()
        assert (problem.file, problem.key) == ("file.toml", key)
        assert problem.remedy == remedy

    @pytest.mark.parametrize(
        ("text", "key"),
        [
            ('[[rule]]\nname = "r"\nthen = { wait_ms = 0 }', "rule[0].then.wait_ms"),
            ('[[rule]]\nname = "r"\nthen = { priority = "now" }',
             "rule[0].then.priority"),
            ('[[client]]\nname = "c"\nkey_sha256 = ["plain-key"]',
             "client[0].key_sha256[0]"),
            ('[[service]]\nname = "a name"\nmodel = "m"', "service[0].name"),
        ],
    )  # fmt: skip
    def test_refuses_invalid_values(self, text: str, key: str) -> None:
        problems = parse_declaration(text).failure()
        assert key in {problem.key for problem in problems}


class TestExamples:
    @pytest.mark.parametrize("deployment", ["northvane", "glanmor"])
    def test_pass_all_checks(self, deployment: str) -> None:
        text = (ROOT / "examples" / deployment / "declaration.toml").read_text()
        assert list(run_checks(parse_declaration(text).unwrap())) == []
