"""Commands for the routes of a numbered configuration."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Failure

from jujubeslip.cli._connection import json_option
from jujubeslip.cli._output import exit_with_problems, print_fields
from jujubeslip.interfaces import Interface, interfaces
from jujubeslip.kernel import SettingsProblem, load_plugins
from jujubeslip.routes import Route, RouteTable

interface_option = click.option(
    "--interface",
    help="Interface that reads the routes; required if there are several.",
)


@click.command("explain-route")
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--host", required=True, help="Host that the request names.")
@click.option("--target", required=True, help="Path of the request.")
@interface_option
@json_option
def explain_route(
    path: Path, host: str, target: str, interface: str | None, as_json: bool
) -> None:
    """Print which route a request would match, and why no other route applies."""
    table = read_route_table(path, interface)
    matched_route = table.find_route(host.lower(), target)
    lines = [
        _explanation(route, matched_route, target)
        for route in table.routes_by_host.get(host.lower(), ())
    ]
    name = matched_route.name if matched_route else "none (refused as no_route)"
    shares = [
        f"{item.service_name}={item.weight}"
        for item in (matched_route.shares if matched_route else ())
    ]
    print_fields(
        {"version": table.version, "route": name, "services": shares, "why": lines},
        as_json,
    )


def read_route_table(path: Path, interface: str | None) -> RouteTable:
    """Return the routes of a file, or print its problem and exit."""
    load_plugins()
    try:
        content = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem(str(path), "-", f"{error}.", "Name a readable file.")
        exit_with_problems([problem])
    return read_routes(content, interface, str(path))


def read_routes(content: str, interface: str | None, source: str) -> RouteTable:
    """Return the routes of a text, or print its problem and exit."""
    result = _interface(interface).read_routes(content)
    if isinstance(result, Failure):
        problem = SettingsProblem(source, "-", result.failure(), "Correct the file.")
        exit_with_problems([problem])
    return result.unwrap()


def _interface(name: str | None) -> Interface:
    """Return the interface of this name; without a name, the only interface."""
    if name is not None:
        return interfaces.get(name)
    names = sorted(interfaces.by_name)
    if len(names) != 1:
        raise click.UsageError(f"Give --interface one of: {', '.join(names)}.")
    return interfaces.get(names[0])


def _explanation(route: Route, matched_route: Route | None, target: str) -> str:
    if route is matched_route:
        return f"{route.name}: {route.path_prefix} matches and decides"
    if target.startswith(route.path_prefix):
        return f"{route.name}: {route.path_prefix} would match, but is shorter"
    return f"{route.name}: {route.path_prefix} does not begin the path"
