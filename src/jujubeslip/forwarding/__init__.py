"""Forwarding hosts, which send HTTP requests to endpoints by an operator's routes."""

from jujubeslip.forwarding._process import run_forward

__all__ = ["run_forward"]
