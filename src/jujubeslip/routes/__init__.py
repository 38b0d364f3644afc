"""Routes, the requests that they match, and the services that they name."""

from jujubeslip.routes._checks import find_problem
from jujubeslip.routes._models import (
    ClientBounds,
    EngineService,
    ForwardedRequest,
    ForwardService,
    PrefilledPrompt,
    PromptPart,
    PromptShape,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)

__all__ = [
    "ClientBounds",
    "EngineService",
    "ForwardService",
    "ForwardedRequest",
    "PrefilledPrompt",
    "PromptPart",
    "PromptShape",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
    "find_problem",
]
