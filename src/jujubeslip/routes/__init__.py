"""Routes, the requests that they match, and the services that they refer to."""

from jujubeslip.routes._checks import find_problem
from jujubeslip.routes._models import (
    EngineReport,
    EngineService,
    ForwardedRequest,
    ForwardService,
    PrefilledPrompt,
    PromptPart,
    PromptShape,
    Route,
    RouteKind,
    RouteTable,
    RunningAnswer,
    ServiceShare,
    rank_of,
)

__all__ = [
    "EngineReport",
    "EngineService",
    "ForwardService",
    "ForwardedRequest",
    "PrefilledPrompt",
    "PromptPart",
    "PromptShape",
    "Route",
    "RouteKind",
    "RouteTable",
    "RunningAnswer",
    "ServiceShare",
    "find_problem",
    "rank_of",
]
