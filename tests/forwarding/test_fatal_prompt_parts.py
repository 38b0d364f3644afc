"""Requests whose prompts share a part that crashes engines, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from tests.fakes.fatal_parts import (
    LEAST_SERVED_SHARE,
    MAXIMUM_LATE_REQUESTS,
    SYSTEM_PART,
    FatalSystem,
    fatal_system,
)


@pytest.fixture(
    scope="module",
    params=[(None, False), (0, False), (3, False), (3, True)],
    ids=["headless", "head", "events", "unframed"],
)
def fatal(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[FatalSystem]:
    folder = tmp_path_factory.mktemp("fatal-parts")
    with fatal_system(folder, *request.param) as running:
        yield running


class TestUnlikeRequestsWithAFatalPart:
    """Guards against counting the crashes of a part by the contents that hold it."""

    @pytest.mark.parametrize("shared", [["fa7a10"], [SYSTEM_PART, "fa7a11"]])
    def test_few_reach_engines_once_it_is_known(
        self, fatal: FatalSystem, shared: list[str]
    ) -> None:
        fatal.send_until_known(*shared)
        late = fatal.send_for(4.0, *shared)
        assert len(fatal.reached(late)) <= MAXIMUM_LATE_REQUESTS

    def test_sound_requests_with_the_same_first_part_are_served(
        self, fatal: FatalSystem
    ) -> None:
        fatal.send_until_known(SYSTEM_PART, "fa7a12")
        sound, late = [], []
        for _ in range(30):
            sound.append(fatal.clients.send([SYSTEM_PART]))
            late.append(fatal.clients.send([SYSTEM_PART, "fa7a12"]))
            time.sleep(0.05)
        served = [item for item in sound if item.reply.complete]
        assert len(fatal.reached(late)) <= MAXIMUM_LATE_REQUESTS
        assert len(served) >= LEAST_SERVED_SHARE * len(sound)
