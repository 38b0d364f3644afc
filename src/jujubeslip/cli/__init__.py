"""The command line, `jujubeslip`."""

from jujubeslip.cli._main import main

__all__ = ["main"]
