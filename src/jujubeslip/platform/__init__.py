"""The interface of the users' platform: it translates, and decides nothing."""

from jujubeslip.platform._plugin import PlatformInterface

__all__ = ["PlatformInterface"]
