"""Entry hosts that record crashes and refuse requests, in virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.forwarding._crash_detector import CrashDetector
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.quarantine import CrashRegistry, HarmlessContents
from tests.fakes.clock import Clock

CLOCKS = (
    "jujubeslip.kernel._deadlines",
    "jujubeslip.quarantine._registry",
    "jujubeslip.quarantine._harmless_contents",
    "jujubeslip.quarantine._records",
    "jujubeslip.forwarding._crash_detector",
)


def use_clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return a clock that all that decides on quarantines reads from now on."""
    clock = Clock()
    for module in CLOCKS:
        monkeypatch.setattr(f"{module}.steady_seconds", clock.steady_seconds)
    return clock


def context_of(content: str, parts: Sequence[str] = ()) -> Any:
    """Return the context of a request of this content, with parts of its prompt."""
    request = SimpleNamespace(
        request_id=f"request-{content[0]}", prompt=SimpleNamespace()
    )
    return SimpleNamespace(
        fingerprint=content,
        part_fingerprints=tuple(parts),
        service_name="model",
        request=request,
    )


class EndedEndpoints:
    """Reports each endpoint with an interrupted run as ended."""

    def is_superseded(self, endpoint: object) -> bool:
        return True


class Host:
    """An entry host, with its crash registry and its quarantine."""

    def __init__(self) -> None:
        endpoints: Any = EndedEndpoints()
        self.registry = CrashRegistry()
        harmless = HarmlessContents()
        self.quarantine = Quarantine(self.registry, harmless)
        self.crashes = CrashDetector(endpoints, self.registry, harmless, lambda: None)

    def refuses(self, content: str, parts: Sequence[str] = ()) -> bool:
        try:
            self.quarantine.check(context_of(content, parts))
        except RequestRefusedError:
            return True
        return False
