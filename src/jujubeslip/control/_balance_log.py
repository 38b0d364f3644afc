"""Log lines on why no engine of a service is ordered to change role."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import StrEnum

from jujubeslip.kernel import Deadline

logger = logging.getLogger(__name__)

# How long the same reason is not logged again, in seconds.
REPEAT_INTERVAL_SECONDS = 5.0


class NoOrderReason(StrEnum):
    """Why the leader orders no engine of a service."""

    LOG_TOO_YOUNG = "orders that this log doesn't know may still be carried out"
    ORDERS_UNDER_WAY = "engines are still changing role"
    LOAD_UNKNOWN = "the load is not known yet"
    PREFILL_MAY_RETURN = "prefill engines may return"
    BALANCED = "no other balance serves more"


@dataclass(frozen=True)
class BalanceInputs:
    """The inputs of a decision on the roles of a service's engines."""

    prefill_engines: int
    """Engines that run prefill, or are ordered to."""
    decode_engines: int
    changing: int
    """Engines that may still be carrying out an order."""
    kept_prefill_engines: int | None
    """Prefill engines to keep, None while unknown."""
    useful_prefill_engines: int | None
    """The most whose output the other engines have memory to decode."""
    minimum_prefill_engines: int
    """Prefill engines to keep at any load."""
    peak_prefill_load: float | None
    """Peak load of the observation window, in fully busy prefill engines."""
    sustained_prefill_load: float
    """Lowest load of the last seconds, in fully busy prefill engines."""
    prefill_share: float | None
    """Share of engines that requests need for prefill, None while unknown."""
    lacks_memory: bool
    waited: int
    """Requests of all hosts that recently waited for free capacity."""


@dataclass(frozen=True)
class _LoggedState:
    reason: NoOrderReason
    prefill_engines: int
    decode_engines: int
    expires: Deadline


class BalanceLog:
    """Logs the reason when it or the engine counts change, and periodically."""

    def __init__(self) -> None:
        self._logged_by_service: dict[str, _LoggedState] = {}

    def record(
        self, service_name: str, reason: NoOrderReason, inputs: BalanceInputs
    ) -> None:
        """Log why no engine of a service was ordered, unless logged recently."""
        if self._is_logged(service_name, reason, inputs):
            return
        self._logged_by_service[service_name] = _LoggedState(
            reason,
            inputs.prefill_engines,
            inputs.decode_engines,
            Deadline.after(REPEAT_INTERVAL_SECONDS),
        )
        extra = {
            "service": service_name,
            "reason": reason,
            "reading": inputs.prefill_engines,
            "answering": inputs.decode_engines,
            "changing": inputs.changing,
            "kept_readers": inputs.kept_prefill_engines,
            "useful_readers": inputs.useful_prefill_engines,
            "readers_at_least": inputs.minimum_prefill_engines,
            "busiest_readers": inputs.peak_prefill_load,
            "steadily_busy_readers": inputs.sustained_prefill_load,
            "reading_share": inputs.prefill_share,
            "lacks_memory": inputs.lacks_memory,
            "waited": inputs.waited,
        }
        logger.info("no engine ordered", extra=extra)

    def _is_logged(
        self, service_name: str, reason: NoOrderReason, inputs: BalanceInputs
    ) -> bool:
        logged = self._logged_by_service.get(service_name)
        if logged is None or logged.expires.expired:
            return False
        state = (logged.reason, logged.prefill_engines, logged.decode_engines)
        return state == (reason, inputs.prefill_engines, inputs.decode_engines)
