"""Plug-ins that translate between an HTTP interface and the project's own types."""

from jujubeslip.interfaces._models import (
    EncodedRefusal,
    EndpointCall,
    EndpointHead,
    EndpointQuestion,
    Environ,
    Headers,
    Interface,
    RoleOrder,
    WsgiApp,
    interfaces,
)
from jujubeslip.interfaces._questions import ask_endpoint

__all__ = [
    "EncodedRefusal",
    "EndpointCall",
    "EndpointHead",
    "EndpointQuestion",
    "Environ",
    "Headers",
    "Interface",
    "RoleOrder",
    "WsgiApp",
    "ask_endpoint",
    "interfaces",
]
