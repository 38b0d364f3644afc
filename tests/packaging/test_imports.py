"""Which packages import which."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.fakes.processes import ROOT

PRODUCT = "jujubeslip"
SOURCE = ROOT / "src" / PRODUCT


def package_of(module: str) -> str | None:
    """Return the product's package that a module belongs to, None if to none."""
    parts = module.split(".")
    return parts[1] if parts[0] == PRODUCT and len(parts) > 1 else None


def modules_imported(path: Path) -> Iterator[str]:
    """Return every module that a file names, also those for its types alone."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module == PRODUCT:
            yield from (f"{PRODUCT}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def packages_imported(package: str) -> set[str]:
    """Return the other packages that a package imports itself."""
    found = {
        package_of(module)
        for path in (SOURCE / package).rglob("*.py")
        for module in modules_imported(path)
    }
    return {name for name in found if name is not None} - {package}


def chain_back_to(package: str) -> list[str]:
    """Return a shortest chain of imports from a package to itself, empty if none."""
    chains = [[package]]
    seen: set[str] = set()
    for chain in chains:
        for name in sorted(packages_imported(chain[-1]) - seen):
            if name == package:
                return [*chain, name]
            seen.add(name)
            chains.append([*chain, name])
    return []


class TestCircle:
    """Packages that import each other can't be read, tested or changed one by one.

    A newcomer meets names under TYPE_CHECKING and imports within functions, which are
    there only because the module that is asked for is still being loaded.
    """

    @pytest.mark.parametrize("package", ["admission", "control", "interfaces"])
    def test_package_does_not_come_back_to_itself(self, package: str) -> None:
        assert (SOURCE / package / "__init__.py").is_file()
        assert packages_imported(package)
        assert not chain_back_to(package)
