"""The command line, `jujubeslip`."""

# Imported first: see its doc string for what it catches while the rest is loaded.
from jujubeslip import _reload_signal as _reload_signal
from jujubeslip.cli._main import main

__all__ = ["main"]
