"""Plug-ins that translate between an HTTP interface and the project's own types."""

from jujubeslip.interfaces._internal_requests import send_internal_request
from jujubeslip.interfaces._models import (
    EncodedRefusal,
    EndpointCall,
    EndpointHead,
    Environ,
    Headers,
    Interface,
    InternalRequest,
    RoleOrder,
    StartResponse,
    WsgiApp,
    interfaces,
)

__all__ = [
    "EncodedRefusal",
    "EndpointCall",
    "EndpointHead",
    "InternalRequest",
    "Environ",
    "Headers",
    "Interface",
    "RoleOrder",
    "StartResponse",
    "WsgiApp",
    "send_internal_request",
    "interfaces",
]
