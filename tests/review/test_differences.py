"""Differences name what changes, and never a key or its hash."""

from __future__ import annotations

from dataclasses import replace

from jujubeslip.accounts import hash_key
from jujubeslip.declaration import parse_declaration
from jujubeslip.review import differences
from tests.review.test_checks import ACCOUNT, ROUTE, table


def texts(before: object, after: object) -> list[str]:
    return [str(item) for item in differences(before, after)]


class TestRouteTables:
    def test_same_table_has_none(self) -> None:
        assert texts(table(ROUTE), table(ROUTE)) == []

    def test_tells_fields_and_entries(self) -> None:
        before = table(ROUTE, replace(ROUTE, name="gone", path_prefix="/g/"))
        added = replace(ROUTE, name="new", path_prefix="/n/")
        after = table(replace(ROUTE, timeout_ms=600), added)
        assert texts(before, after) == [
            "route one: timeout_ms 800 -> 600",
            "route gone: removed",
            "route new: added",
        ]

    def test_keys_are_counted_and_not_shown(self) -> None:
        """A report of a review may be kept where keys must not be."""
        rotated = replace(ACCOUNT, key_hashes=(hash_key("a"), hash_key("b")))
        (text,) = texts(
            table(ROUTE, accounts=(ACCOUNT,)), table(ROUTE, accounts=(rotated,))
        )
        assert text == "account boards: keys 1 removed -> 2 added"


class TestDeclarations:
    def test_order_of_rules_counts(self) -> None:
        first, second = ('[[rule]]\nname = "a"\n', '[[rule]]\nname = "b"\n')
        before = parse_declaration(first + second).unwrap()
        after = parse_declaration(second + first).unwrap()
        assert texts(before, after) == ["rules: order a, b -> b, a"]

    def test_nested_fields(self) -> None:
        before = parse_declaration('[[rule]]\nname = "a"\n').unwrap()
        text = '[[rule]]\nname = "a"\nwhen = { client = "c" }\n'
        after = parse_declaration(text).unwrap()
        assert texts(before, after) == ["rule a: when.client none -> c"]
