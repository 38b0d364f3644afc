"""Retry-After times of requests that found no free capacity."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from jujubeslip.forwarding._models import CLIENT_RETRY_SHARE, Attempts
from jujubeslip.forwarding._retry_after import (
    EARLIEST_SECONDS,
    HONORED_SHARE,
    MAXIMUM_SECONDS,
    MINIMUM_SECONDS,
    SPREAD_SHARE,
    Caller,
    retry_after_seconds,
)
from jujubeslip.forwarding._stream_path import no_capacity_refusal

# Forecast waits of the refused requests of a recorded burst, in seconds: their places
# in the queue, with 11.5 grants a second.
FORECASTS = [place / 11.5 for place in range(8, 48)]


class TestBurstOfRefusals:
    """Guards against clients that all retry at the same moment.

    Forty streams are refused at once. When all got a Retry-After of 1.5 s, seven
    refused requests of a burst were queued again within 20 ms, were late by then, and
    delayed each other.
    """

    def test_clients_retry_one_after_another(self) -> None:
        positions = random.Random(1)
        times = [
            retry_after_seconds(forecast, positions.random()) for forecast in FORECASTS
        ]
        retries_by_tenth = Counter(int(seconds * 10) for seconds in times)
        assert max(retries_by_tenth.values()) <= 11

    def test_refusal_takes_the_time_from_the_forecast(self) -> None:
        attempts = Attempts()
        attempts.note_no_capacity("no grant in time", 4.0)
        seconds = no_capacity_refusal(attempts).retry_after
        assert seconds is not None
        assert abs(seconds - 4.0) <= 4.0 * SPREAD_SHARE


class TestRetryAfterSeconds:
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
        assert retry_after_seconds(forecast, 0.5) == middle
        assert retry_after_seconds(forecast, 0.0) == middle * (1 - SPREAD_SHARE)
        assert retry_after_seconds(forecast, 1.0) == middle * (1 + SPREAD_SHARE)

    def test_show_that_the_client_is_retrying(self) -> None:
        """The time lost by then is more than a short client timeout explains."""
        timeout_seconds = 14.0
        earliest = retry_after_seconds(0.0, 0.0)
        assert earliest >= CLIENT_RETRY_SHARE * timeout_seconds


class TestCallersOfSeveralPriorities:
    """Guards against callers of a lower priority that retry before the others.

    They are refused together, and the first to retry get the engines that are free.
    """

    REMAINING = 13.8

    def seconds(self, place: int, forecast: float, position: float) -> float:
        caller = Caller(place, 2, self.REMAINING)
        return retry_after_seconds(forecast, position, caller)

    def test_retry_by_priority(self) -> None:
        first = [self.seconds(0, wait, at) for wait in FORECASTS for at in (0.0, 1.0)]
        second = [self.seconds(1, wait, at) for wait in FORECASTS for at in (0.0, 1.0)]
        assert EARLIEST_SECONDS <= min(first) < max(first) <= min(second)
        assert max(second) <= self.REMAINING * HONORED_SHARE

    def test_retry_the_later_the_longer_the_forecast(self) -> None:
        seconds = [self.seconds(0, wait, 0.5) for wait in FORECASTS]
        assert seconds == sorted(seconds)

    @pytest.mark.parametrize("remaining", [0.0, 1.0, 5.0, 8.4])
    def test_keep_their_order_with_little_time_left(self, remaining: float) -> None:
        times = [
            retry_after_seconds(4.0, 0.5, Caller(place, 3, remaining))
            for place in range(3)
        ]
        assert times == sorted(times)
        assert 0 <= times[0] and times[-1] <= remaining * HONORED_SHARE

    @pytest.mark.parametrize("forecast", [0.0, 3.9, 60.0])
    def test_of_one_priority_retry_as_before(self, forecast: float) -> None:
        caller = Caller(0, 1, self.REMAINING)
        expected = retry_after_seconds(forecast, 0.3)
        assert retry_after_seconds(forecast, 0.3, caller) == expected
