"""What endpoints say of themselves in the heads of their answers."""

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
