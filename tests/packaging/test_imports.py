"""Import cycles between the packages."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.fakes.processes import ROOT

PRODUCT = "jujubeslip"
SOURCE = ROOT / "src" / PRODUCT


def package_of(module: str) -> str | None:
    """Return the package of a module of the product, None for other modules."""
    parts = module.split(".")
    return parts[1] if parts[0] == PRODUCT and len(parts) > 1 else None


def modules_imported(path: Path) -> Iterator[str]:
    """Yield all modules that a file imports, also those for type checking only."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module == PRODUCT:
            yield from (f"{PRODUCT}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def packages_imported(package: str) -> set[str]:
    """Return the other packages that a package imports directly."""
    found = {
        package_of(module)
        for path in (SOURCE / package).rglob("*.py")
        for module in modules_imported(path)
    }
    return {name for name in found if name is not None} - {package}


def shortest_cycle(package: str) -> list[str]:
    """Return a shortest import cycle through a package, empty if there is none."""
    chains = [[package]]
    seen: set[str] = set()
    for chain in chains:
        for name in sorted(packages_imported(chain[-1]) - seen):
            if name == package:
                return [*chain, name]
            seen.add(name)
            chains.append([*chain, name])
    return []


class TestImportCycles:
    """Guards against packages that can't be read, tested or changed independently.

    Packages that import each other need imports under TYPE_CHECKING and within
    functions, only since the imported module is not fully loaded yet.
    """

    @pytest.mark.parametrize("package", ["admission", "control", "interfaces"])
    def test_package_is_in_no_cycle(self, package: str) -> None:
        assert (SOURCE / package / "__init__.py").is_file()
        assert packages_imported(package)
        assert not shortest_cycle(package)
