"""Notices of endpoints in the headers of their answers: limits, backoff, leaving."""

from jujubeslip.notices._models import (
    KEPT_SECONDS,
    Hold,
    HoldReason,
    NamedLimit,
    ServiceHolds,
)
from jujubeslip.notices._registry import EndpointNotices

__all__ = [
    "KEPT_SECONDS",
    "EndpointNotices",
    "Hold",
    "HoldReason",
    "NamedLimit",
    "ServiceHolds",
]
