"""Reviews a declaration or a numbered configuration before it is sent."""

# Imported so that the checks are registered.
from jujubeslip.review import _declaration_checks as _declaration_checks
from jujubeslip.review import _route_checks as _route_checks
from jujubeslip.review._differences import Difference, differences, entries

__all__ = ["Difference", "differences", "entries"]
