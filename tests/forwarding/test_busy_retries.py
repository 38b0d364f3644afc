"""When clients return whose requests found all endpoints full."""

from __future__ import annotations

import pytest

from jujubeslip.forwarding._busy_retries import (
    HONOURED_SHARE,
    MAXIMUM_SECONDS,
    busy_retry_seconds,
)

TARGET = 0.155


class TestBusyRetry:
    """Guards against clients that were refused together and return together."""

    @pytest.mark.parametrize("client_seconds", [0.0, 0.1, 0.65, 1.6, 14.0])
    @pytest.mark.parametrize("target_seconds", [0.0, 0.02, TARGET])
    def test_is_within_what_clients_wait_for(
        self, client_seconds: float, target_seconds: float
    ) -> None:
        for position in (0.0, 0.5, 1.0):
            seconds = busy_retry_seconds(0.11, target_seconds, client_seconds, position)
            assert 0 <= seconds <= client_seconds * HONOURED_SHARE

    def test_client_that_can_be_in_time_returns_in_time(self) -> None:
        latest = busy_retry_seconds(0.11, TARGET, 1.6, 1.0)
        assert 0.02 < latest < TARGET - 0.11
        assert busy_retry_seconds(0.11, TARGET, 1.6, 0.0) == 0.01

    def test_so_does_one_at_endpoints_without_measured_times(self) -> None:
        assert 0.02 < busy_retry_seconds(None, TARGET, 1.6, 1.0) < 0.05

    def test_late_client_returns_when_a_queue_has_emptied(self) -> None:
        assert busy_retry_seconds(0.11, 0.0, 1.6, 0.0) == pytest.approx(0.11)
        assert busy_retry_seconds(0.11, 0.0, 1.6, 1.0) > 0.5

    def test_slow_queue_leaves_a_spread(self) -> None:
        first, last = (busy_retry_seconds(9.0, 0.1, 1.6, at) for at in (0.0, 1.0))
        assert last > 1.9 * first

    def test_long_deadline_does_not_delay_it_without_bound(self) -> None:
        assert busy_retry_seconds(0.1, 0.0, 600.0, 1.0) == MAXIMUM_SECONDS

    def test_client_without_time_left_is_told_to_return_at_once(self) -> None:
        assert busy_retry_seconds(0.1, 0.0, -1.0, 1.0) == 0.0
