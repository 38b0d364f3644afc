"""The steps of one request, and the cause of its end, from the logs of the hosts."""

from jujubeslip.tracing._causes import cause_of
from jujubeslip.tracing._log_files import lines_about
from jujubeslip.tracing._models import Line

__all__ = ["Line", "cause_of", "lines_about"]
