"""What endpoints say of themselves in the heads of their answers."""

from jujubeslip.notices._book import EndpointNotices
from jujubeslip.notices._models import Hold, HoldReason, NamedLimit, Notice

__all__ = ["EndpointNotices", "Hold", "HoldReason", "NamedLimit", "Notice"]
