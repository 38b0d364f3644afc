"""Entry hosts that forward HTTP requests by the routes of an operator."""

from jujubeslip.forwarding._process import run_forward

__all__ = ["run_forward"]
