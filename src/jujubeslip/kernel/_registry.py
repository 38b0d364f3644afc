"""Registries of plug-ins, which register themselves when their package is imported."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import Generic, TypeVar

from jujubeslip.kernel._errors import ConfigurationInvalidError

T = TypeVar("T")

PLUGIN_PACKAGES = (
    "jujubeslip.declaration",
    "jujubeslip.rules",
    "jujubeslip.routing",
    "jujubeslip.endpoints",
    "jujubeslip.homes",
    "jujubeslip.membership",
    "jujubeslip.requests",
    "jujubeslip.control",
    "jujubeslip.platform",
)


class Registry(Generic[T]):
    """Plug-ins of one kind, by name."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in under this name."""

        def decorator(plugin: T) -> T:
            if name in self.by_name:
                raise ConfigurationInvalidError(
                    f"{self.kind} {name!r} is registered twice."
                )
            self.by_name[name] = plugin
            return plugin

        return decorator

    def get(self, name: str) -> T:
        """Return the plug-in of this name; the error lists the registered names."""
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise ConfigurationInvalidError(
                f"There is no {self.kind} named {name!r}.", f"Choose one of: {known}."
            )
        return self.by_name[name]


def load_plugins() -> None:
    """Import each plug-in package, so that its plug-ins register themselves."""
    for package in PLUGIN_PACKAGES:
        importlib.import_module(package)
