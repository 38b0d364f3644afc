"""All forwarding policies, each registered by the import of its module."""

from jujubeslip.forwarding._choice import policies
from jujubeslip.forwarding._expected_time import ExpectedTime

__all__ = ["ExpectedTime", "policies"]
