"""Warnings of a review name the entry, and stay silent where nothing is wrong."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from jujubeslip.accounts import ClientAccount, ClientAccounts, RateLimit, hash_key
from jujubeslip.declaration import parse_declaration
from jujubeslip.kernel import run_checks
from jujubeslip.routes import (
    ForwardService,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)

ROUTE = Route(
    name="one",
    host="a.example",
    path_prefix="/a/",
    kind=RouteKind.SAFE,
    shares=(ServiceShare("plain", 1),),
    timeout_ms=800,
    target_ms=150,
    maximum_attempts=2,
)
ACCOUNT = ClientAccount("boards", (hash_key("k"),), RateLimit(10.0, 5.0), False)


def table(*routes: Route, accounts: tuple[ClientAccount, ...] = ()) -> RouteTable:
    return RouteTable(
        version=3,
        routes=routes,
        service_by_name={"plain": ForwardService("plain")},
        accounts=ClientAccounts(accounts) if accounts else None,
    )


def found_in(subject: object) -> dict[str, str]:
    """Return the place of each message, by check id."""
    return {message.check_id: message.place for message in run_checks(subject)}


class TestRouteTables:
    def test_sound_table_has_no_warning(self) -> None:
        assert found_in(table(ROUTE, accounts=(ACCOUNT,))) == {}

    @pytest.mark.parametrize(
        ("check_id", "changes"),
        [
            ("routes.W001", {"path_prefix": "a/"}),
            ("routes.W001", {"host": ""}),
            (
                "routes.W002",
                {"shares": (ServiceShare("plain", 1), ServiceShare("other", 0))},
            ),
            ("routes.W010", {"timeout_ms": 100}),
            ("routes.W011", {"kind": RouteKind.UNSAFE}),
            (
                "routes.W012",
                {"kind": RouteKind.STREAM, "resumable": True, "maximum_attempts": 1},
            ),
            (
                "routes.W013",
                {"kind": RouteKind.STREAM, "resumable": True, "maximum_gap_ms": 900},
            ),
            ("routes.W014", {"public": True}),
        ],
    )
    def test_names_the_route(self, check_id: str, changes: dict[str, Any]) -> None:
        found = found_in(table(replace(ROUTE, **changes)))
        assert found == {check_id: "route one"}

    def test_service_without_a_route(self) -> None:
        subject = table(replace(ROUTE, shares=(ServiceShare("other", 1),)))
        assert found_in(subject) == {"routes.W003": "service plain"}

    @pytest.mark.parametrize(
        ("check_id", "changes"),
        [
            ("routes.W004", {"key_hashes": ()}),
            ("routes.W020", {"counts_tokens": True, "plain_tokens": 50}),
        ],
    )
    def test_names_the_account(self, check_id: str, changes: dict[str, Any]) -> None:
        found = found_in(table(ROUTE, accounts=(replace(ACCOUNT, **changes),)))
        assert found == {check_id: "account boards"}


class TestDeclarations:
    SERVICE = '[[service]]\nname = "s"\nmodel = "m"\nmaximum_prompt_tokens = 100\n'

    @pytest.mark.parametrize(
        ("check_id", "when", "then"),
        [
            ("review.W001", "prompt_tokens_min = 9, prompt_tokens_max = 8", ""),
            ("review.W002", 'service = "s", prompt_tokens_min = 101', ""),
            ("review.W003", 'service = "s"', "wait_ms = 200000"),
        ],
    )
    def test_rules_that_contradict_themselves(
        self, check_id: str, when: str, then: str
    ) -> None:
        rule = f'[[rule]]\nname = "r"\nwhen = {{ {when} }}\nthen = {{ {then} }}\n'
        every = '[[rule]]\nname = "last"\n'
        declaration = parse_declaration(self.SERVICE + rule + every).unwrap()
        assert found_in(declaration) == {check_id: "rule r"}
