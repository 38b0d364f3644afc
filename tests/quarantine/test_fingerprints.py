"""Which requests have the same fingerprint."""

from __future__ import annotations

import pytest

from jujubeslip.quarantine import fingerprint_of

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
