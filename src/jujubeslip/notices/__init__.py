"""Notices of endpoints in the headers of their answers: limits, backoff, leaving."""

from jujubeslip.notices._book import EndpointNotices
from jujubeslip.notices._models import (
    KEPT_SECONDS,
    Hold,
    HoldReason,
    NamedLimit,
    ServiceHolds,
)

__all__ = [
    "KEPT_SECONDS",
    "EndpointNotices",
    "Hold",
    "HoldReason",
    "NamedLimit",
    "ServiceHolds",
]
