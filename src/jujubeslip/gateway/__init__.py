"""What control hosts offer to whoever translates for operators and endpoints."""

from jujubeslip.gateway._models import ControlGateway

__all__ = ["ControlGateway"]
