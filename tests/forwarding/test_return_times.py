"""When clients are told to come back that found no room."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from jujubeslip.forwarding._models import CLIENT_RETRY_SHARE, Attempts
from jujubeslip.forwarding._return_times import (
    MAXIMUM_SECONDS,
    MINIMUM_SECONDS,
    SPREAD_SHARE,
    return_seconds,
)
from jujubeslip.forwarding._stream_path import no_capacity_refusal

# How long each of a burst's refused requests was expected to wait, in seconds: the
# queue of a recorded burst, in which grants came at 11.5 a second.
FORECASTS = [place / 11.5 for place in range(8, 48)]


class TestBurstOfRefusals:
    """Forty summaries are refused within a moment, and come back as one crowd.

    All were told 1.5 s: in the log of a burst, seven requests that had been refused
    stood in the queue again within 20 ms, were late by then, and held up each other.
    """

    def test_clients_come_back_one_after_another(self) -> None:
        lots = random.Random(1)
        told = [return_seconds(forecast, lots.random()) for forecast in FORECASTS]
        returns_by_tenth = Counter(int(seconds * 10) for seconds in told)
        assert max(returns_by_tenth.values()) <= 11

    def test_refusal_tells_the_time_from_the_forecast(self) -> None:
        attempts = Attempts()
        attempts.note_no_room("no grant in time", 4.0)
        seconds = no_capacity_refusal(attempts).retry_after
        assert seconds is not None
        assert abs(seconds - 4.0) <= 4.0 * SPREAD_SHARE


class TestReturnSeconds:
    @pytest.mark.parametrize(
        ("forecast", "middle"),
        [
            (0.0, MINIMUM_SECONDS),
            (1.0, MINIMUM_SECONDS),
            (4.0, 4.0),
            (60.0, MAXIMUM_SECONDS),
        ],
    )
    def test_follow_the_forecast_within_bounds(
        self, forecast: float, middle: float
    ) -> None:
        assert return_seconds(forecast, 0.5) == middle
        assert return_seconds(forecast, 0.0) == middle * (1 - SPREAD_SHARE)
        assert return_seconds(forecast, 1.0) == middle * (1 + SPREAD_SHARE)

    def test_show_that_the_client_asked_before(self) -> None:
        """The time that it has lost by then is more than its own patience explains."""
        timeout_seconds = 14.0
        earliest = return_seconds(0.0, 0.0)
        assert earliest >= CLIENT_RETRY_SHARE * timeout_seconds
