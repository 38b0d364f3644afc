"""Requests that crash the endpoints which run them."""

from jujubeslip.quarantine._fingerprints import fingerprint_of

__all__ = ["fingerprint_of"]
