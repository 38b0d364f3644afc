"""The interface of the users' platform: translates its protocol, without policy."""

from jujubeslip.platform._plugin import PlatformInterface

__all__ = ["PlatformInterface"]
