"""Which requests are refused on arrival."""

from __future__ import annotations

import pytest

from jujubeslip.admission import is_wait_unservable


class TestUnservableWait:
    @pytest.mark.parametrize(
        ("forecast", "limit", "refused"),
        [(0.7, 0.65, False), (1.9, 0.65, False), (2.0, 0.65, True), (0.1, -1.0, True)],
        ids=[
            "slightly too long",
            "twice too long",
            "certainly too long",
            "no time left",
        ],
    )
    def test_is_refused_only_if_certain(
        self, forecast: float, limit: float, refused: bool
    ) -> None:
        assert is_wait_unservable(forecast, limit) is refused
