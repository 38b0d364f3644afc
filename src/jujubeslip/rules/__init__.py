"""Ordered rules: the first rule whose condition holds decides."""

from jujubeslip.rules import _checks as _checks
from jujubeslip.rules._match import Explanation, RequestFacts, explain, first_match

__all__ = ["Explanation", "RequestFacts", "explain", "first_match"]
