"""The operations of a control host that protocol interfaces call."""

from jujubeslip.gateway._models import ControlGateway

__all__ = ["ControlGateway"]
