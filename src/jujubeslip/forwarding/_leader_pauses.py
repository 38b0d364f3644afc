"""Decides for how long a control host that failed a call as leader is not called.

It answers bursts of requests at a host whose leader is silent or has no valid lease
while other control hosts go on naming it: one request at a time finds out whether it
answers again, at growing intervals, and the others proceed without it. It has no lock;
callers synchronize access.
"""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel import Deadline

# How long a host that did not answer, or does not lead, is skipped, in seconds.
PAUSE_SECONDS = 0.7
# How long a leader whose lease has lapsed is skipped, in seconds: the next answer of
# its delayed followers renews the lease, perhaps for a tenth of a second only. A leader
# that has lost its followers steps down within a second. If it goes on without a lease,
# each further such answer doubles the pause, up to a maximum.
LAPSED_PAUSE_SECONDS = 0.1
FREQUENT_PROBES = 10
MAXIMUM_LAPSED_PAUSE_SECONDS = 0.4


@dataclass
class _Failure:
    paused_until: Deadline
    is_unresponsive: bool = False
    """Whether the latest call got no answer."""
    lapses: int = 0
    """Consecutive calls that were answered without a valid lease."""

    @property
    def has_failed_as_leader(self) -> bool:
        return self.is_unresponsive or self.lapses > 0


class LeaderPauses:
    """The control hosts that are skipped after failed calls, by address."""

    def __init__(self) -> None:
        self._failure_by_address: dict[str, _Failure] = {}

    def begin_call(self, address: str, timeout: float) -> bool:
        """Record a call; return whether it finds out if the host answers again.

        While such a call lasts, others skip the host. A host beyond a network partition
        counts as reachable until a watch request to it fails, which takes up to two
        seconds. In that time, each request that comes after the pause would wait for a
        call that cannot succeed.
        """
        failure = self._failure_by_address.get(address)
        if failure is None or not failure.has_failed_as_leader:
            return False
        is_probe = failure.paused_until.expired
        if is_probe:
            failure.paused_until = Deadline.after(timeout)
        return is_probe

    def pause(self, address: str, is_unresponsive: bool = False) -> None:
        """Skip a host that refused, does not lead or did not answer."""
        failure = self._failure_of(address)
        failure.paused_until = Deadline.after(PAUSE_SECONDS)
        failure.is_unresponsive |= is_unresponsive

    def pause_lapsed(self, address: str, was_probe: bool) -> None:
        """Skip a leader that has no valid lease, longer with each probe.

        Calls that were under way at the first such answer get it as well.
        """
        failure = self._failure_of(address)
        if failure.lapses and not was_probe:
            return
        failure.lapses += 1
        seconds = min(
            MAXIMUM_LAPSED_PAUSE_SECONDS,
            LAPSED_PAUSE_SECONDS * 2 ** max(0, failure.lapses - FREQUENT_PROBES),
        )
        failure.paused_until = Deadline.after(seconds)

    def forget(self, address: str) -> None:
        """Allow calls to a host at once."""
        self._failure_by_address.pop(address, None)

    def forget_lapsed(self, address: str) -> None:
        """Allow calls to a host whose latest answer was that it has no valid lease."""
        failure = self._failure_by_address.get(address)
        if failure is not None and failure.lapses and not failure.is_unresponsive:
            self.forget(address)

    def forget_answered(self, address: str) -> None:
        """Allow calls to a host that failed as leader and has answered."""
        if self.has_failed(address):
            self.forget(address)

    def is_paused(self, address: str) -> bool:
        """Return whether a host is skipped now."""
        failure = self._failure_by_address.get(address)
        return failure is not None and not failure.paused_until.expired

    def has_failed(self, address: str) -> bool:
        """Return whether a host was silent or without a lease at the latest call."""
        failure = self._failure_by_address.get(address)
        return failure is not None and failure.has_failed_as_leader

    @property
    def paused_addresses(self) -> list[str]:
        """Return the hosts that are skipped now."""
        return [item for item in self._failure_by_address if self.is_paused(item)]

    def _failure_of(self, address: str) -> _Failure:
        return self._failure_by_address.setdefault(address, _Failure(Deadline.after(0)))
