"""Tests of the services and client accounts of the configuration in force."""

from __future__ import annotations

import json
from typing import Any

from jujubeslip.control._active_routes import ActiveRoutes
from jujubeslip.control._configurations import ConfigurationTable
from jujubeslip.peers import VersionedCommand
from jujubeslip.platform._configurations import read_routes
from tests.fakes.platform_system import ENGINE, PLAIN, configuration


def put(table: ConfigurationTable, version: int, *services: dict[str, Any]) -> None:
    content = json.dumps(configuration(version, [], services))
    table.put(VersionedCommand(version, content))


class TestEngineServices:
    def test_are_none_before_the_first_configuration(self) -> None:
        assert (
            ActiveRoutes(ConfigurationTable, read_routes).engine_services()
            == frozenset()
        )

    def test_are_those_with_engines_in_the_newest(self) -> None:
        table = ConfigurationTable()
        services = ActiveRoutes(lambda: table, read_routes)
        put(table, 1, PLAIN, ENGINE)
        assert services.engine_services() == {"model"}
        put(table, 5, PLAIN, {**ENGINE, "name": "other"})
        assert services.engine_services() == {"other"}

    def test_stay_when_a_configuration_is_invalid(self) -> None:
        table = ConfigurationTable()
        services = ActiveRoutes(lambda: table, read_routes)
        put(table, 1, ENGINE)
        assert services.engine_services() == {"model"}
        table.put(VersionedCommand(2, "{"))
        assert services.engine_services() == {"model"}
