"""Which endpoint starts many entry hosts find slow or failing.

Answers the load of dozens of entry hosts that each see one or two answers a second of
a service: together they see within a second what one host sees in ten. Hosts report
only starts that look slow or failing to them, and those that are listed, so that
nothing is sent while all endpoints are even.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Hosts that must report a start, so that one host alone changes nothing.
MINIMUM_HOSTS = 3
# Share of failed answers from which on an endpoint is listed.
LISTED_FAILURE_SHARE = 0.2
# Largest number of starts in one report, and in one list.
MAXIMUM_LISTED = 16


@dataclass(frozen=True)
class AnswerReport:
    """What one entry host has seen of one start within the latest seconds."""

    start_id: str
    seconds: float
    """Median time of its answers."""
    slow_from_seconds: float
    """The time from which on answers of the service are slow at this host."""
    answers: int
    failures: int

    @property
    def is_slow(self) -> bool:
        """Return whether the answers took far longer than usual."""
        return self.seconds >= self.slow_from_seconds

    @property
    def failure_share(self) -> float:
        """Return the share of the answers that failed."""
        return self.failures / self.answers if self.answers else 0.0


@dataclass(frozen=True)
class SlowEndpoint:
    """What the entry hosts together have seen of one start."""

    start_id: str
    seconds: float
    """Median over the hosts, 0 if the start is only listed for its failures."""
    failure_share: float


def slow_endpoints(
    reports_by_host: Iterable[Sequence[AnswerReport]],
) -> tuple[SlowEndpoint, ...]:
    """Return the starts that are slow or failing by the reports of all hosts."""
    reports_by_start: dict[str, list[AnswerReport]] = {}
    for reports in reports_by_host:
        for report in reports[:MAXIMUM_LISTED]:
            reports_by_start.setdefault(report.start_id, []).append(report)
    listed = (
        _combined(start_id, reports)
        for start_id, reports in sorted(reports_by_start.items())
        if len(reports) >= MINIMUM_HOSTS
    )
    found = [endpoint for endpoint in listed if endpoint is not None]
    found.sort(key=lambda item: (-item.failure_share, -item.seconds))
    return tuple(found[:MAXIMUM_LISTED])


def _combined(start_id: str, reports: Sequence[AnswerReport]) -> SlowEndpoint | None:
    seconds = _median(report.seconds for report in reports)
    is_slow = seconds >= _median(report.slow_from_seconds for report in reports)
    share = _failure_share(reports)
    if not is_slow and share < LISTED_FAILURE_SHARE:
        return None
    return SlowEndpoint(start_id, seconds if is_slow else 0.0, share)


def _failure_share(reports: Sequence[AnswerReport]) -> float:
    """Return the share without the host that has seen the most failures."""
    counted = sorted(reports, key=lambda report: report.failures)[:-1]
    answers = sum(report.answers for report in counted)
    return sum(report.failures for report in counted) / answers if answers else 0.0


def _median(values: Iterable[float]) -> float:
    """Return the median, the lower one of two."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]
