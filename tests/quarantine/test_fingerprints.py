"""Which requests have the same fingerprint."""

from __future__ import annotations

import pytest

from jujubeslip.quarantine import (
    fingerprint_of,
    part_fingerprint_of,
    part_fingerprints_of,
)
from jujubeslip.quarantine._fingerprints import (
    FINGERPRINT_DIGITS,
    MAXIMUM_PROMPT_PARTS,
)

FIRST = ("account", "POST", "host.example", "/path?query", b"body")


class TestFingerprint:
    def test_is_equal_for_equal_requests(self) -> None:
        assert fingerprint_of(*FIRST) == fingerprint_of(*FIRST)

    @pytest.mark.parametrize(
        "other",
        [
            ("other", "POST", "host.example", "/path?query", b"body"),
            ("account", "GET", "host.example", "/path?query", b"body"),
            ("account", "POST", "other.example", "/path?query", b"body"),
            ("account", "POST", "host.example", "/path?other", b"body"),
            ("account", "POST", "host.example", "/path?query", b"other"),
        ],
    )
    def test_depends_on_each_part(
        self, other: tuple[str, str, str, str, bytes]
    ) -> None:
        assert fingerprint_of(*other) != fingerprint_of(*FIRST)

    def test_depends_on_the_boundaries_of_parts(self) -> None:
        moved = ("accountP", "OST", *FIRST[2:])
        assert fingerprint_of(*moved) != fingerprint_of(*FIRST)

    def test_depends_on_the_prompt(self) -> None:
        """Guards against equal bodies of unlike prompts that count as one content."""
        assert fingerprint_of(*FIRST, ["one"]) != fingerprint_of(*FIRST, ["other"])
        assert fingerprint_of(*FIRST, ["one"]) != fingerprint_of(*FIRST)


class TestPartFingerprints:
    def test_the_last_part_has_none(self) -> None:
        assert part_fingerprints_of(["system", "tools", "own"]) == (
            part_fingerprint_of("system"),
            part_fingerprint_of("tools"),
        )
        assert part_fingerprints_of(["own"]) == ()
        assert part_fingerprints_of([]) == ()

    def test_a_part_has_the_same_one_in_all_prompts(self) -> None:
        (first,) = part_fingerprints_of(["tools", "own"])
        other = part_fingerprints_of(["system", "tools", "next"])
        assert first in other
        assert len(first) == FINGERPRINT_DIGITS

    def test_repeated_parts_count_once(self) -> None:
        assert len(part_fingerprints_of(["tools", "tools", "tools"])) == 1

    def test_prompts_of_many_parts_are_limited(self) -> None:
        """Guards against memory and messages that grow with what clients name."""
        ids = [f"part-{number}" for number in range(10 * MAXIMUM_PROMPT_PARTS)]
        assert len(part_fingerprints_of(ids)) == MAXIMUM_PROMPT_PARTS
