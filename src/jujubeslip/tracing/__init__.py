"""One request's way through the system, read back from the lines that hosts wrote."""

from jujubeslip.tracing._causes import cause_of
from jujubeslip.tracing._models import Line
from jujubeslip.tracing._reader import lines_about

__all__ = ["Line", "cause_of", "lines_about"]
