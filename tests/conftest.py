"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "


def _known_red() -> dict[str, str]:
    """Return the reason and issue by the listed test's id."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return dict(line.split(SEPARATOR, 1) for line in lines)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the listed tests run without deciding the verdict."""
    reason_by_id = _known_red()
    for item in items:
        reason = reason_by_id.get(item.nodeid)
        if reason:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is known to fail, whether it failed this time or not."""
    for test, reason in _known_red().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
