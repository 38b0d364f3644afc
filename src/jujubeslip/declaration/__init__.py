"""The shared declaration: services, rules, clients and placements, as TOML."""

from jujubeslip.declaration import _checks as _checks
from jujubeslip.declaration._models import (
    Action,
    Client,
    Condition,
    Declaration,
    Placement,
    PriorityClass,
    Rule,
    Service,
    ServiceKind,
    Spread,
    parse_declaration,
)

__all__ = [
    "Action",
    "Client",
    "Condition",
    "Declaration",
    "Placement",
    "PriorityClass",
    "Rule",
    "Service",
    "ServiceKind",
    "Spread",
    "parse_declaration",
]
