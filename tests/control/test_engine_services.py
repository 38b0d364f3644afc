"""The services that have engines, as the configuration in force says."""

from __future__ import annotations

import json
from typing import Any

from jujubeslip.control._configurations import ConfigurationTable
from jujubeslip.control._engine_services import EngineServices
from jujubeslip.peers import VersionedCommand
from jujubeslip.platform._configurations import read_routes
from tests.fakes.platform_system import ENGINE, PLAIN, configuration


def put(table: ConfigurationTable, version: int, *services: dict[str, Any]) -> None:
    content = json.dumps(configuration(version, [], services))
    table.put(VersionedCommand(version, content))


class TestNames:
    def test_are_none_before_the_first_configuration(self) -> None:
        assert EngineServices(ConfigurationTable, read_routes).names() == frozenset()

    def test_are_those_with_engines_in_the_newest(self) -> None:
        table = ConfigurationTable()
        services = EngineServices(lambda: table, read_routes)
        put(table, 1, PLAIN, ENGINE)
        assert services.names() == {"model"}
        put(table, 5, PLAIN, {**ENGINE, "name": "other"})
        assert services.names() == {"other"}

    def test_stay_when_a_configuration_can_t_be_read(self) -> None:
        table = ConfigurationTable()
        services = EngineServices(lambda: table, read_routes)
        put(table, 1, ENGINE)
        assert services.names() == {"model"}
        table.put(VersionedCommand(2, "{"))
        assert services.names() == {"model"}
