"""The `jujubeslip` command-line interface."""

# Imported first to handle SIGHUP while the other modules load; see its docstring.
from jujubeslip import _reload_signal as _reload_signal
from jujubeslip.cli._main import main

__all__ = ["main"]
