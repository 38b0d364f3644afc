"""What a process speaks over HTTP: plug-ins that translate to the product's types."""

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
    "interfaces",
]
