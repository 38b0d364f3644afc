"""Decoding the head of an endpoint's answer."""

from __future__ import annotations

import pytest

from jujubeslip.platform._endpoint_calls import MINIMUM_LIMIT_PER_SECOND, read_head


class TestLimit:
    """Guards against a limit that is misread, or that invalidates its answer."""

    @pytest.mark.parametrize(
        ("text", "limit"),
        [("2.6", 2.6), ("12", 12.0), (" 3.0 ", 3.0), ("0", MINIMUM_LIMIT_PER_SECOND)],
    )
    def test_is_read(self, text: str, limit: float) -> None:
        assert read_head(200, [("Server-Limit", text)]).limit_per_second == limit

    @pytest.mark.parametrize("text", ["", "none", "-1", "nan", "inf", "1e9", "2,5"])
    def test_is_none_where_it_is_no_decimal(self, text: str) -> None:
        assert read_head(200, [("Server-Limit", text)]).limit_per_second is None

    def test_is_none_without_the_header(self) -> None:
        assert read_head(200, []).limit_per_second is None
