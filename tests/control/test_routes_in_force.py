"""What the configuration in force says of services and client accounts."""

from __future__ import annotations

import json
from typing import Any

from jujubeslip.control._configurations import ConfigurationTable
from jujubeslip.control._routes_in_force import RoutesInForce
from jujubeslip.peers import VersionedCommand
from jujubeslip.platform._configurations import read_routes
from tests.fakes.platform_system import ENGINE, PLAIN, configuration


def put(table: ConfigurationTable, version: int, *services: dict[str, Any]) -> None:
    content = json.dumps(configuration(version, [], services))
    table.put(VersionedCommand(version, content))


class TestNames:
    def test_are_none_before_the_first_configuration(self) -> None:
        assert (
            RoutesInForce(ConfigurationTable, read_routes).engine_services()
            == frozenset()
        )

    def test_are_those_with_engines_in_the_newest(self) -> None:
        table = ConfigurationTable()
        services = RoutesInForce(lambda: table, read_routes)
        put(table, 1, PLAIN, ENGINE)
        assert services.engine_services() == {"model"}
        put(table, 5, PLAIN, {**ENGINE, "name": "other"})
        assert services.engine_services() == {"other"}

    def test_stay_when_a_configuration_can_t_be_read(self) -> None:
        table = ConfigurationTable()
        services = RoutesInForce(lambda: table, read_routes)
        put(table, 1, ENGINE)
        assert services.engine_services() == {"model"}
        table.put(VersionedCommand(2, "{"))
        assert services.engine_services() == {"model"}
