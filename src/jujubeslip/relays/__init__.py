"""How requests reach endpoints when a host has lost its links to them."""

from jujubeslip.relays._reach import EndpointReach

__all__ = ["EndpointReach"]
